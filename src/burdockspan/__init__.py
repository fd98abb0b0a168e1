"""Router between callers and separate prefill and decode pools."""

from __future__ import annotations

__version__ = "0.1.0"

__all__ = ["__version__"]
