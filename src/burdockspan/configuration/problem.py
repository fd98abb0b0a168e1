"""Problems in settings files and questionnaires."""

from __future__ import annotations

import dataclasses

_SHOWN_CHARACTERS = 60


@dataclasses.dataclass(frozen=True)
class Problem:
    """One problem in a settings file or questionnaire.

    Attributes:
      file: path of the file as the user gave it.
      field: path of the field, such as `clients[2].burst`, or a line; empty
        for a problem with the whole file.
      value: the value found, as text; empty when it is missing.
      allowed: description of what is allowed.
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
    """Returns a value as text for a message, shortened if it is long."""
    text = repr(value)
    if len(text) <= _SHOWN_CHARACTERS:
        return text
    return text[: _SHOWN_CHARACTERS - 3] + "..."


__all__ = ["Problem", "show_value"]
