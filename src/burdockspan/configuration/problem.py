"""What is wrong with a file that a person wrote."""

from __future__ import annotations

import dataclasses

_SHOWN_LENGTH = 60


@dataclasses.dataclass(frozen=True)
class Problem:
    """One fault of a settings file or questionnaire.

    Attributes:
      file: file as the user named it.
      field: path of the field, such as `clients[2].burst`; empty for the file.
      value: the value found, as text; empty when it is missing.
      allowed: what is allowed there.
    """

    file: str
    field: str
    value: str
    allowed: str

    def __str__(self) -> str:
        place = f"{self.file}: {self.field}" if self.field else self.file
        if not self.value:
            return f"{place}: {self.allowed}"
        return f"{place}: {self.value} is not allowed; {self.allowed}"


def show_value(value: object) -> str:
    """Returns a value as short text for a message."""
    text = repr(value)
    if len(text) <= _SHOWN_LENGTH:
        return text
    return text[: _SHOWN_LENGTH - 3] + "..."


__all__ = ["Problem", "show_value"]
