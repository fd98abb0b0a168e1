"""Construction of a platform client from a URL."""

from __future__ import annotations

import random

from burdockspan.object_api.calls import make_call_limiter
from burdockspan.object_api.client import PlatformClient, make_platform_client
from burdockspan.object_api.transport import VM_HEADER, make_transport
from burdockspan.values.clock import Clock, make_monotonic_clock
from burdockspan.values.randomness import RandomFloat


def connect_platform(
    url: str,
    caller: str,
    clock: Clock | None = None,
    random_float: RandomFloat | None = None,
) -> PlatformClient:
    """Returns a client; nothing is sent before its first call.

    Args:
      url: base URL of the platform, `http://ip:port`.
      caller: name of this VM or operator, sent with each call.
      clock: monotonic seconds; the process's clock by default.
      random_float: jitter of retries; unseeded by default.
    """
    monotonic_clock = clock or make_monotonic_clock()
    address = url.removeprefix("http://").rstrip("/")
    return make_platform_client(
        make_transport(address, {VM_HEADER: caller}, monotonic_clock),
        make_call_limiter(monotonic_clock),
        monotonic_clock,
        random_float or random.Random().random,
    )


__all__ = ["connect_platform"]
