"""Dependencies that the request handlers share."""

from __future__ import annotations

import dataclasses

from burdockspan.gateway.accounts.configuration_proof import ConfigurationProof
from burdockspan.gateway.accounts.identification import ProofLimits
from burdockspan.gateway.accounts.quotas import AccountQuotas
from burdockspan.gateway.admission.admission_queue import AdmissionQueues
from burdockspan.gateway.admission.full_engines import FullEngines
from burdockspan.gateway.admission.retry_budget import RetryBudget
from burdockspan.gateway.admission.waiting_statements import WaitingStatements
from burdockspan.gateway.callers.response_buffers import ResponseBuffers
from burdockspan.gateway.choice.endpoint_capacity import EndpointCapacity
from burdockspan.gateway.choice.prefill_delays import PrefillDelays
from burdockspan.gateway.choice.stages import DemandMeter
from burdockspan.gateway.endpoints.crash_records import CrashRecordStore
from burdockspan.gateway.endpoints.part_quarantine import PartQuarantine
from burdockspan.gateway.fleet.exchange import Exchange
from burdockspan.gateway.fleet.peers import Peers
from burdockspan.gateway.fleet.reachability import Reachability
from burdockspan.gateway.graceful_stop import GracefulStop
from burdockspan.gateway.ports import Platform
from burdockspan.gateway.state import GatewayState
from burdockspan.gateway.streams.latest_versions import LatestVersions
from burdockspan.gateway.streams.origin_records import OriginRecords
from burdockspan.gateway.streams.origin_sharing import OriginSharing
from burdockspan.observe.event_log import WriteEvent
from burdockspan.observe.registry import Registry
from burdockspan.placement.sampling import RandomFloat
from burdockspan.values.clock import Clock


@dataclasses.dataclass(frozen=True)
class Context:
    """Dependencies of the request handlers.

    Attributes:
      platform: adapter to the platform.
      state: configuration, endpoints and load, as this process knows them.
      reachability: services that this VM reaches.
      peers: the other VMs that may serve a request.
      retry_budget: limits repeated calls to endpoints.
      crash_records: finds requests that crash endpoints.
      part_quarantine: finds parts of prompts that crash engines.
      demand: measures the prompts that arrive at this VM.
      prefill_delays: recent queueing delays at prefill engines.
      endpoint_capacity: orders endpoints by how much each takes well.
      full_engines: engines that recently lacked free memory.
      admission_queues: generations that wait for decode memory, by service.
      waiting_statements: tells the other VMs who waits for decode memory here.
      origins: shares the software versions that began streams.
      origin_records: keeps them in the store while several versions serve.
      latest_versions: versions of the endpoints that the store lists now.
      response_buffers: counts responses that callers have not read yet.
      exchange: tells the other VMs what this VM knows.
      configuration_proof: since when the configuration in force is certainly
        the newest.
      proof_limits: limits of the age of that proof.
      account_quotas: limits of what accounts may use.
      endpoints_max_age_s: age above which the endpoint table may lack changes.
      graceful_stop: state of the graceful stop of this process.
      clock: monotonic clock, in seconds.
      boot_clock: clock that includes time suspended, in seconds.
      random_float: returns uniform floats in [0, 1).
      log: writes a log event.
      registry: counters and histograms.
    """

    platform: Platform
    state: GatewayState
    reachability: Reachability
    peers: Peers
    retry_budget: RetryBudget
    crash_records: CrashRecordStore
    part_quarantine: PartQuarantine
    demand: DemandMeter
    prefill_delays: PrefillDelays
    endpoint_capacity: EndpointCapacity
    full_engines: FullEngines
    admission_queues: AdmissionQueues
    waiting_statements: WaitingStatements
    origins: OriginSharing
    origin_records: OriginRecords
    latest_versions: LatestVersions
    response_buffers: ResponseBuffers
    exchange: Exchange
    configuration_proof: ConfigurationProof
    proof_limits: ProofLimits
    account_quotas: AccountQuotas
    endpoints_max_age_s: float
    graceful_stop: GracefulStop
    clock: Clock
    boot_clock: Clock
    random_float: RandomFloat
    log: WriteEvent
    registry: Registry


__all__ = ["Context"]
