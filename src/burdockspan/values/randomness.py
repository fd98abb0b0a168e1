"""The type of the random numbers that are passed to functions."""

from __future__ import annotations

from collections.abc import Callable

RandomFloat = Callable[[], float]
"""Returns uniform floats in [0, 1)."""


__all__ = ["RandomFloat"]
