"""Hypothesis strategies for JSON values that other programs may write."""

from __future__ import annotations

import copy
import math
from collections.abc import Iterator
from typing import Any

from hypothesis import strategies as st

Path = tuple[str | int, ...]


def _nest(depth: int) -> Any:
    value: Any = []
    for level in range(depth):
        value = [value] if level % 2 else {"a": value}
    return value


EXTREME_VALUES: tuple[Any, ...] = (
    None,
    True,
    -1,
    0.5,
    2**53 + 1,
    2**63,
    10**400,
    -(10**400),
    1e308,
    math.inf,
    math.nan,
    "",
    "9" * 5000,
    "٣",
    "10.0.0.1:" + "9" * 5000,
    "ü" * 70 + ":80",
    "\x00",
    "\r\nA: b",
    "x" * 70_000,
    [],
    {},
    [[]],
    _nest(400),
)
"""Values of each type, of sizes and depths that programs rarely write."""

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=12)
    | st.sampled_from(EXTREME_VALUES),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=8,
)
"""Values of any type, extreme ones included."""


def list_paths(value: Any, path: Path = ()) -> Iterator[Path]:
    """Yields the path of each part of a JSON value, its own included."""
    yield path
    if isinstance(value, dict):
        for key, part in value.items():
            yield from list_paths(part, (*path, key))
    if isinstance(value, list):
        for index, part in enumerate(value):
            yield from list_paths(part, (*path, index))


def replace_part(value: Any, path: Path, part: Any) -> Any:
    """Returns a copy of a JSON value with the part at a path replaced."""
    if not path:
        return part
    copied = copy.copy(value)
    copied[path[0]] = replace_part(value[path[0]], path[1:], part)
    return copied


def list_variants(value: Any) -> Iterator[Any]:
    """Yields a valid value with each part replaced by each extreme value."""
    for path in list_paths(value):
        for part in EXTREME_VALUES:
            yield replace_part(value, path, part)


def nearly(value: Any) -> st.SearchStrategy[Any]:
    """Returns a strategy of a valid value with one part replaced by any."""
    return st.builds(
        lambda path, part: replace_part(value, path, part),
        st.sampled_from(tuple(list_paths(value))),
        JSON_VALUES,
    )


__all__ = [
    "EXTREME_VALUES",
    "JSON_VALUES",
    "list_paths",
    "list_variants",
    "nearly",
    "replace_part",
]
