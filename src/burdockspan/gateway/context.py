"""What the handlers of requests share."""

from __future__ import annotations

import dataclasses

from burdockspan.gateway.admission_queue import AdmissionQueues
from burdockspan.gateway.crash_records import CrashRecordStore
from burdockspan.gateway.full_engines import FullEngines
from burdockspan.gateway.graceful_stop import GracefulStop
from burdockspan.gateway.ports import Platform
from burdockspan.gateway.prefill_delays import PrefillDelays
from burdockspan.gateway.retry_budget import RetryBudget
from burdockspan.gateway.stages import DemandMeter
from burdockspan.gateway.state import GatewayState
from burdockspan.observe.event_log import WriteEvent
from burdockspan.observe.registry import Registry
from burdockspan.placement.sampling import RandomFloat
from burdockspan.values.clock import Clock


@dataclasses.dataclass(frozen=True)
class Context:
    """Collaborators of the handlers.

    Attributes:
      platform: adapter to the platform.
      state: what this process believes.
      retry_budget: budget of repeated arrivals.
      crash_records: requests that crash endpoints.
      demand: prompts that arrive at this VM.
      prefill_delays: waits of prompts at prefill engines.
      full_engines: engines that lately had no room.
      admission_queues: generations that wait for decode memory, by service.
      graceful_stop: the graceful stop of this process.
      clock: monotonic clock, in seconds.
      random_float: uniform floats from 0 to 1.
      log: writes a line about a decision.
      registry: counters and histograms.
    """

    platform: Platform
    state: GatewayState
    retry_budget: RetryBudget
    crash_records: CrashRecordStore
    demand: DemandMeter
    prefill_delays: PrefillDelays
    full_engines: FullEngines
    admission_queues: AdmissionQueues
    graceful_stop: GracefulStop
    clock: Clock
    random_float: RandomFloat
    log: WriteEvent
    registry: Registry


__all__ = ["Context"]
