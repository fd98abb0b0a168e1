"""The other VMs that may serve a request which this VM cannot."""

from __future__ import annotations

import dataclasses
import threading
from collections import Counter
from collections.abc import Callable, Collection, Mapping

from burdockspan.gateway.endpoints import passive_health
from burdockspan.gateway.endpoints.passive_health import Suspicion
from burdockspan.placement.sampling import RandomFloat
from burdockspan.values.address import parse_address
from burdockspan.values.clock import Clock

# A VM that declined a request for a service is not asked again for this time
# while there are others.
_DECLINED_S = 1.0
# If all VMs have declined, each is asked again after this time: what a VM lacks
# may be there after milliseconds, such as a newer configuration.
_ASK_AGAIN_S = 0.1
# A VM that served a relayed request within this time is preferred once another
# one has declined.
_SERVED_S = 5.0
# A VM is asked for this time after its last heartbeat; one that is gone costs a
# connection attempt each few seconds.
_KEPT_S = 30.0
# In requests in flight. A VM of another zone ranks like one of this zone that
# serves one more request of this VM.
_OTHER_ZONE_PENALTY = 1.0


@dataclasses.dataclass(frozen=True)
class Peer:
    """Another VM.

    Attributes:
      vm: its name.
      address: `ip:port` for relayed requests.
      zone: its availability zone; empty if unknown.
    """

    vm: str
    address: str
    zone: str = ""


@dataclasses.dataclass(frozen=True)
class PeerState:
    """What this VM believes of another one.

    Attributes:
      suspicion: present weight of the suspicion against it.
      declined_age_s: time since it last declined a request for a service; None
        if it has not.
      asked: requests that wait for its answer.
    """

    suspicion: float
    declined_age_s: float | None
    asked: int


class Peers:
    """The other VMs, with what this VM has learned of them by relaying."""

    def __init__(
        self, vm: str, zone: str, clock: Clock, random_float: RandomFloat
    ) -> None:
        self._vm = vm
        self._zone = zone
        self._clock = clock
        self._random_float = random_float
        self._lock = threading.Lock()
        self._peer_by_vm: dict[str, Peer] = {}
        self._seen_s_by_vm: dict[str, float] = {}
        self._suspicion_by_vm: dict[str, Suspicion] = {}
        self._in_flight_by_vm: Counter[str] = Counter()
        self._asked_by_vm: Counter[str] = Counter()
        self._declined_s_by_key: dict[tuple[str, str], float] = {}
        self._served_s_by_vm: dict[str, float] = {}

    def set_values(
        self, value_by_vm: Mapping[str, Mapping[str, object]]
    ) -> None:
        """Adds the VMs of recent heartbeats; malformed ones are left out.

        A VM without a recent heartbeat is kept for a while: it may have been
        restarted, or only be cut off from the store.
        """
        now_s = self._clock()
        peers = {}
        for vm, value in value_by_vm.items():
            address, zone = value.get("relay_address"), value.get("zone")
            if vm == self._vm or parse_address(address) is None:
                continue
            peers[vm] = Peer(
                vm, str(address), zone if isinstance(zone, str) else ""
            )
        with self._lock:
            self._seen_s_by_vm |= dict.fromkeys(peers, now_s)
            kept = {
                vm: peer
                for vm, peer in self._peer_by_vm.items()
                if now_s - self._seen_s_by_vm[vm] < _KEPT_S
            }
            peers = {**kept, **peers}
            self._peer_by_vm = peers
            for vm in self._suspicion_by_vm.keys() - peers.keys():
                del self._suspicion_by_vm[vm]

    def choose(
        self, service: str, tried: Collection[str], asks_again: bool = False
    ) -> Peer | None:
        """Returns the VM to ask next, the least loaded by this VM first.

        A VM under suspicion comes last, and one request at a time waits for its
        answer: it may be the only VM that reaches the service.

        Args:
          service: service of the request.
          tried: VMs that have been asked already.
          asks_again: whether VMs that have declined are asked again if there
            are no others.
        """
        now_s = self._clock()
        with self._lock:
            state_by_vm = {
                vm: self._describe(vm, service, now_s)
                for vm in self._peer_by_vm
                if vm not in tried
            }
            vms = _list_askable(state_by_vm, _DECLINED_S)
            if not vms and asks_again:
                vms = _list_askable(state_by_vm, _ASK_AGAIN_S)
            return min(
                (self._peer_by_vm[vm] for vm in vms),
                key=lambda peer: self._rank(
                    peer, state_by_vm[peer.vm], bool(tried), now_s
                ),
                default=None,
            )

    def describe(self, service: str) -> dict[str, PeerState]:
        """Returns what this VM believes of the others, by VM."""
        now_s = self._clock()
        with self._lock:
            return {
                vm: self._describe(vm, service, now_s)
                for vm in self._peer_by_vm
            }

    def _describe(self, vm: str, service: str, now_s: float) -> PeerState:
        declined_s = self._declined_s_by_key.get((vm, service))
        return PeerState(
            passive_health.current_weight(self._suspicion_by_vm.get(vm), now_s),
            None if declined_s is None else now_s - declined_s,
            self._asked_by_vm[vm],
        )

    def _rank(
        self, peer: Peer, state: PeerState, prefers_proven: bool, now_s: float
    ) -> tuple[bool, bool, float, float]:
        served_s = self._served_s_by_vm.get(peer.vm)
        is_proven = served_s is not None and now_s - served_s < _SERVED_S
        load = float(self._in_flight_by_vm[peer.vm])
        if peer.zone != self._zone:
            load += _OTHER_ZONE_PENALTY
        return (
            _is_suspect(state),
            prefers_proven and not is_proven,
            load,
            self._random_float(),
        )

    def begin_work(self, peer: Peer) -> Callable[[], None]:
        """Counts a request in flight at a VM.

        Returns:
          A function that records its end; only the first call has an effect.
        """
        return self._count(self._in_flight_by_vm, peer)

    def begin_ask(self, peer: Peer) -> Callable[[], None]:
        """Counts a request that waits for the answer of a VM.

        Returns:
          A function that records the answer, or that there is none.
        """
        return self._count(self._asked_by_vm, peer)

    def _count(
        self, count_by_vm: Counter[str], peer: Peer
    ) -> Callable[[], None]:
        with self._lock:
            count_by_vm[peer.vm] += 1
        ended = threading.Lock()

        def end() -> None:
            if not ended.acquire(blocking=False):
                return
            with self._lock:
                count_by_vm[peer.vm] -= 1
                if count_by_vm[peer.vm] <= 0:
                    del count_by_vm[peer.vm]

        return end

    def record_served(self, peer: Peer) -> None:
        """Records that a VM took a request, which ends the suspicion."""
        with self._lock:
            self._served_s_by_vm[peer.vm] = self._clock()
            self._suspicion_by_vm.pop(peer.vm, None)

    def record_declined(self, peer: Peer, service: str) -> None:
        """Records that a VM cannot serve requests for a service either."""
        with self._lock:
            self._declined_s_by_key[peer.vm, service] = self._clock()
            self._served_s_by_vm.pop(peer.vm, None)

    def record_failure(self, peer: Peer, weight: float) -> None:
        """Raises the suspicion against a VM by a weight."""
        with self._lock:
            self._suspicion_by_vm[peer.vm] = passive_health.add_failure(
                self._suspicion_by_vm.get(peer.vm), weight, self._clock()
            )


def _is_suspect(state: PeerState) -> bool:
    return state.suspicion >= passive_health.SUSPECT_WEIGHT


def _list_askable(
    state_by_vm: Mapping[str, PeerState], pause_s: float
) -> list[str]:
    """Returns the VMs that may be asked now.

    Args:
      state_by_vm: what this VM believes of them.
      pause_s: how long a VM that has declined is not asked again.
    """
    return [
        vm
        for vm, state in state_by_vm.items()
        if (state.declined_age_s is None or state.declined_age_s >= pause_s)
        and not (_is_suspect(state) and state.asked)
    ]


__all__ = ["Peer", "PeerState", "Peers"]
