"""What the handlers of requests share."""

from __future__ import annotations

import dataclasses

from burdockspan.gateway.admission import WaitingLines
from burdockspan.gateway.budget import RetryLedger
from burdockspan.gateway.crashes import Crashes
from burdockspan.gateway.full import FullMarks
from burdockspan.gateway.ports import Platform
from burdockspan.gateway.queues import Queues
from burdockspan.gateway.stages import DemandMeter
from burdockspan.gateway.stopping import Stopping
from burdockspan.gateway.tables import Tables
from burdockspan.observe.event_log import WriteEvent
from burdockspan.observe.registry import Registry
from burdockspan.placement.sampling import RandomFloat
from burdockspan.values.clock import Clock


@dataclasses.dataclass(frozen=True)
class Context:
    """Collaborators of the handlers.

    Attributes:
      platform: adapter to the platform.
      tables: what this process believes.
      budget: budget of repeated arrivals.
      crashes: requests that crash endpoints.
      demand: prompts that arrive at this VM.
      queues: waits of prompts at prefill engines.
      full: engines that lately had no room.
      lines: generations that wait for decode memory, by service.
      stopping: the graceful stop of this process.
      clock: monotonic clock, in seconds.
      random_float: uniform floats from 0 to 1.
      log: writes a line about a decision.
      registry: counters and histograms.
    """

    platform: Platform
    tables: Tables
    budget: RetryLedger
    crashes: Crashes
    demand: DemandMeter
    queues: Queues
    full: FullMarks
    lines: WaitingLines
    stopping: Stopping
    clock: Clock
    random_float: RandomFloat
    log: WriteEvent
    registry: Registry


__all__ = ["Context"]
