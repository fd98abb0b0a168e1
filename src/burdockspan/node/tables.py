"""All state of a node, in tables named by their key.

Only the node's thread reads and writes them.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping

from burdockspan.admission.forecast import Rate
from burdockspan.admission.limits import Bucket
from burdockspan.admission.queue import PriorityShares, WaitingCall
from burdockspan.configuration.adoption import Adoption, InitialFetch
from burdockspan.configuration.document import Policy
from burdockspan.endpoints.desired_state import OrderState
from burdockspan.membership.calls import CallMessage
from burdockspan.membership.table import Members
from burdockspan.membership.values import Member
from burdockspan.node.catalog import Catalog
from burdockspan.node.endpoint_table import EndpointRow
from burdockspan.node.messages import PlacementFuture
from burdockspan.object_api.vms import VmList
from burdockspan.placement.prefix import PrefixIndex, make_prefix_index
from burdockspan.placement.transfer import Link
from burdockspan.requests.lifecycle import RequestRow
from burdockspan.resilience.retries import Budget, make_budget
from burdockspan.values.endpoint import Pool
from burdockspan.values.ids import AttemptId
from burdockspan.values.placement import Placement


@dataclasses.dataclass(frozen=True)
class PendingRelease:
    """A release that an endpoint has not confirmed yet.

    Attributes:
      started_s: when the release was queued, monotonic seconds.
      next_s: when to send it next; infinite while a request is pending.
      tries: requests sent so far.
    """

    started_s: float
    next_s: float
    tries: int = 0


@dataclasses.dataclass(frozen=True)
class RemoteCall:
    """A call of another entry VM that this node queues and places.

    Attributes:
      attempt: identity of the attempt that it will make.
      address: `ip:port` of the entry VM.
      request: the call, as if a caller of this node had sent it.
      last_received_s: when its request last arrived, monotonic seconds.
      response: grant or refusal, once decided; sent again when the request is
        repeated.
      responded_s: when it was decided, monotonic seconds.
      placement: granted endpoints.
      acknowledged: whether the requester has reported that it uses the grant.
    """

    attempt: AttemptId
    address: str
    request: RequestRow
    last_received_s: float
    response: CallMessage | None = None
    responded_s: float = 0.0
    placement: Placement | None = None
    acknowledged: bool = False


@dataclasses.dataclass(frozen=True)
class PlacementRequest:
    """A request to the owner of a pool to place a call of this node.

    Attributes:
      request_id: the call.
      service: its service.
      owner: VM that owns the pool.
      address: `ip:port` of that VM.
      pieces: pieces of decode memory that the call needs.
      next_s: when to send it again, monotonic seconds.
      repetitions: how often it was sent again since the first request or the
        last response.
    """

    request_id: str
    service: str
    owner: str
    address: str
    pieces: int
    next_s: float
    repetitions: int = 0


@dataclasses.dataclass(frozen=True)
class RoleDifferences:
    """Engines whose reported role differs from the VM list or configuration.

    Attributes:
      reported_pools_by_vm: reported pool, in which the engine is used, of each
        engine that the VM list has in another one.
      changing: engines that the configuration wants in another pool than they
        report; they get no new work until they report it.
    """

    reported_pools_by_vm: Mapping[str, Pool] = dataclasses.field(
        default_factory=dict
    )
    changing: frozenset[str] = frozenset()


@dataclasses.dataclass
class Timers:
    """Next run times of the periodic tasks that do not run on every tick.

    All fields are monotonic seconds.
    """

    next_cache_poll_s: float = 0.0
    next_poll_s: float = 0.0
    next_orphan_sweep_s: float = 0.0
    next_planned_changes_s: float = 0.0
    next_request_scan_s: float = 0.0
    next_shed_s: float = 0.0
    next_prune_s: float = 0.0
    next_pull_s: float = 0.0
    next_document_request_s: float = 0.0
    next_orders_s: float = 0.0
    next_platform_read_s: float = 0.0


class Tables:
    """State of one node."""

    def __init__(self, members: Members) -> None:
        self.members = members
        # The incarnation may rise while the process runs. An attempt of this VM
        # with a lower incarnation than the first belongs to an earlier process.
        self.first_incarnation = members.me.incarnation
        self.next_sequence = 1
        # `stopping`: the process received a signal to stop. `draining`: the
        # configuration takes this VM out of new work.
        self.stopping = False
        self.draining = False
        self.draining_since_s = 0.0
        self.drained_vms: frozenset[str] = frozenset()
        self.initial_fetch: InitialFetch | None = InitialFetch(
            members.last_tick_s
        )
        self.adoption = Adoption()
        self.vm_list = VmList(0)
        self.catalog: Catalog | None = None
        self.requests_by_id: dict[str, RequestRow] = {}
        self.request_id_by_attempt: dict[AttemptId, str] = {}
        self.futures_by_request: dict[str, PlacementFuture] = {}
        self.caller_gone_by_request: dict[str, Callable[[], bool]] = {}
        self.aborts_by_attempt: dict[AttemptId, Callable[[], None]] = {}
        self.waiting_by_service: dict[str, dict[str, WaitingCall]] = {}
        self.shares_by_service: dict[str, PriorityShares] = {}
        self.release_rate_by_service: dict[str, Rate] = {}
        self.urgent_rate_by_service: dict[str, Rate] = {}
        self.endpoints_by_name: dict[str, EndpointRow] = {}
        self.links_by_endpoint: dict[str, Link] = {}
        self.remote_calls_by_id: dict[str, RemoteCall] = {}
        self.placement_requests_by_attempt: dict[
            AttemptId, PlacementRequest
        ] = {}
        self.owner_addresses_by_attempt: dict[AttemptId, str] = {}
        self.unresponsive_owners_until_s: dict[str, float] = {}
        self.pool_owners_cache_key: Mapping[str, Member] | None = None
        self.pool_owners_by_service: dict[str, str | None] = {}
        self.releases: dict[tuple[AttemptId, str], PendingRelease] = {}
        self.buckets_by_client: dict[str, Bucket] = {}
        self.retry_budget: Budget = make_budget(
            Policy().retry_ratio, Policy().retry_burst
        )
        self.prefixes: PrefixIndex = make_prefix_index()
        self.cache_positions_by_endpoint: dict[str, tuple[str, int]] = {}
        self.order_states_by_endpoint: dict[str, OrderState] = {}
        self.roles = RoleDifferences()
        # Listed and desired pool of each engine that checks fencing tokens.
        self.pools_by_vm: dict[str, tuple[Pool, Pool]] = {}
        self.pools_cache_key: tuple[object, ...] = (None, None)
        # For each engine whose role change is pending: the active generation,
        # and since when (monotonic seconds) the change is pending in it.
        self.role_changes_by_vm: dict[str, tuple[int, float]] = {}
        self.owned_endpoints: frozenset[str] = frozenset()
        self.ownership_cache_key: tuple[object, ...] = (None, None, None)
        self.timers = Timers()


def make_attempt_id(tables: Tables) -> AttemptId:
    """Returns a new attempt identity of this process."""
    me = tables.members.me
    attempt = AttemptId(me.vm, me.incarnation, tables.next_sequence)
    tables.next_sequence += 1
    return attempt


__all__ = [
    "PlacementRequest",
    "PendingRelease",
    "RemoteCall",
    "RoleDifferences",
    "Tables",
    "Timers",
    "make_attempt_id",
]
