"""Endpoint views for placement tests."""

from __future__ import annotations

import random

from burdockspan.placement.sampling import RandomFloat
from burdockspan.values.endpoint import Endpoint, EndpointView, Pool


def make_view(name: str, pool: Pool, **view: object) -> EndpointView:
    """Returns a view of an endpoint with 20 pieces and a concurrency of 4."""
    endpoint = Endpoint(name, "127.0.0.1:1", "s", pool, "z", 20, 4)
    return EndpointView(endpoint, **view)  # type: ignore[arg-type]


def make_random_float(seed: int = 1) -> RandomFloat:
    """Returns a seeded source of uniform floats."""
    return random.Random(seed).random


__all__ = ["make_random_float", "make_view"]
