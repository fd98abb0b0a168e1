"""Relays requests to other VMs while a service is out of reach here."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from result import Err

from burdockspan.endpoints.failures import EndpointError
from burdockspan.gateway.callers.messages import Response, TruncatedError
from burdockspan.gateway.context import Context
from burdockspan.gateway.endpoints import passive_health
from burdockspan.gateway.fleet.peers import Peer
from burdockspan.gateway.fleet.reachability import OUT_OF_REACH
from burdockspan.gateway.fleet.relay_messages import make_declined
from burdockspan.gateway.ports import EndpointResponse, RelayOptions
from burdockspan.gateway.requests.attempts import (
    NOT_STARTED,
    RETRY_AFTER_S,
    Attempts,
    RoutedRequest,
)
from burdockspan.gateway.streams.sse import StreamProgress, split_events
from burdockspan.gateway.values import RelayNote, RequestKind
from burdockspan.values.placement import Failure, FailureKind

# VMs that are asked for one request. A VM that cannot serve it says so within
# a round trip.
_MAX_PEERS = 8


def can_hand_over(
    context: Context, request: RoutedRequest, attempts: Attempts
) -> bool:
    """Returns whether `hand_over` would find a VM for a request.

    A request that may have run goes to another VM only if it may run again. One
    that another VM has relayed goes back to that VM, unless it has reached an
    endpoint, and is never relayed twice.
    """
    if not _may_hand_over(context, request, attempts):
        return False
    return (
        request.relay is not None
        or _choose_peer(context, request, attempts) is not None
    )


def _may_hand_over(
    context: Context, request: RoutedRequest, attempts: Attempts
) -> bool:
    """Returns whether a request goes to another VM if there is one."""
    if not context.reachability.is_out_of_reach(request.service):
        return False
    if request.relay is not None:
        return not attempts.has_called_here
    return attempts.explain_no_run() is None


def can_leave(
    context: Context, request: RoutedRequest, attempts: Attempts
) -> bool:
    """Returns whether a request may leave a silent endpoint for another VM.

    It does so only if its own connection seems to be lost as well, and while
    the other VM has time to begin: until then the endpoint may go on.
    """
    return (
        attempts.remaining_s() > request.route.objective_s
        and context.reachability.has_lost_connections(request.service)
        and can_hand_over(context, request, attempts)
    )


def hand_over(
    context: Context,
    request: RoutedRequest,
    attempts: Attempts,
    after_event: str | None = None,
) -> Response | None:
    """Lets another VM serve a request whose service is out of reach here.

    Args:
      context: dependencies.
      request: the request.
      attempts: its attempts.
      after_event: id of the last event that its caller has received in this
        response; None if it has received none.

    Returns:
      The response of the other VM; None if the request stays here, because the
      service is in reach or no VM takes the request.
    """
    if not _may_hand_over(context, request, attempts):
        return None
    if request.relay is not None:
        context.registry.count("relay", "declined_here")
        context.log(
            "relayed request declined",
            request_id=request.call.request_id,
            service=request.service,
            reason=OUT_OF_REACH,
        )
        return make_declined(OUT_OF_REACH, RETRY_AFTER_S)
    while peer := _choose_peer(context, request, attempts, asks_again=True):
        if attempts.explain_no_run() is not None:
            return None
        attempts.asked_peers.add(peer.vm)
        response = _ask(context, request, attempts, peer, after_event)
        if response is not None:
            return response
    _log_no_peer(context, request, attempts)
    return None


def _choose_peer(
    context: Context,
    request: RoutedRequest,
    attempts: Attempts,
    asks_again: bool = False,
) -> Peer | None:
    """Returns the VM to ask next; see `Peers.choose`."""
    if len(attempts.asked_peers) >= _MAX_PEERS:
        return None
    return context.peers.choose(
        request.service, attempts.asked_peers, asks_again
    )


def _log_no_peer(
    context: Context, request: RoutedRequest, attempts: Attempts
) -> None:
    """Says why no further VM is asked."""
    state_by_vm = context.peers.describe(request.service)
    declined_ages_s = [
        state.declined_age_s
        for state in state_by_vm.values()
        if state.declined_age_s is not None
    ]
    suspicions = [state.suspicion for state in state_by_vm.values()]
    context.registry.count("relay", "no_peer")
    context.log(
        "no vm to relay to",
        request_id=request.call.request_id,
        service=request.service,
        known=len(state_by_vm),
        asked=len(attempts.asked_peers),
        suspects=sum(
            weight >= passive_health.SUSPECT_WEIGHT for weight in suspicions
        ),
        max_suspicion=round(max(suspicions, default=0.0), 2),
        min_declined_age_s=round(min(declined_ages_s), 3)
        if declined_ages_s
        else None,
    )


def _ask(
    context: Context,
    request: RoutedRequest,
    attempts: Attempts,
    peer: Peer,
    after_event: str | None,
) -> Response | None:
    """Returns the response of a VM; None if another one may be asked."""
    context.log(
        "relay",
        request_id=request.call.request_id,
        service=request.service,
        peer=peer.vm,
        address=peer.address,
        asked=len(attempts.asked_peers),
        runs=attempts.run_count,
        after_event=after_event,
        waited_s=round(context.clock() - request.call.arrived_s, 3),
    )
    options = RelayOptions(
        remaining_s=attempts.remaining_s(),
        abort=request.abort,
        note=RelayNote(
            request.configuration_version,
            attempts.run_count,
            attempts.call_count,
            request.call.account,
            request.call.key,
        ),
        expects_events=request.route.kind is RequestKind.STREAM,
        after_event=after_event,
        resumed_request_id=_find_first_request(request, attempts, after_event),
    )
    end_work = context.peers.begin_work(peer)
    end_ask = context.peers.begin_ask(peer)
    try:
        outcome = context.platform.relay(peer, request.call, options)
    finally:
        end_ask()
    if isinstance(outcome, Err):
        end_work()
        failure = outcome.err_value
        attempts.record_relay_failure(peer, failure)
        if failure.kind is FailureKind.REFUSED:
            context.peers.record_declined(peer, request.service)
        elif not request.caller.gone:
            weight = passive_health.failure_weight(failure.kind)
            context.peers.record_failure(peer, weight)
        if failure.kind in NOT_STARTED or request.route.repeatable:
            return None
        return attempts.make_error_response("relay failed", RETRY_AFTER_S)
    context.peers.record_served(peer)
    context.registry.count("relay", "served")
    if not attempts.call_count:
        # The other VM counts the request.
        context.retry_budget.withdraw_request(request.service)
    return _make_response(
        context,
        request,
        attempts,
        peer,
        outcome.ok_value,
        end_work,
        after_event,
    )


def _find_first_request(
    request: RoutedRequest, attempts: Attempts, after_event: str | None
) -> str | None:
    """Returns the request that may have begun the stream.

    A stream that may have begun is bound to its version before its first event
    as well: other VMs know that version, and a caller may resume at them.
    """
    may_have_begun = (
        request.software_version is not None
        or attempts.may_have_begun_elsewhere
    )
    if after_event is None and not (
        may_have_begun
        and request.route.kind is RequestKind.STREAM
        and request.route.resumable
    ):
        return None
    return request.call.resumed_request_id or request.call.request_id


def _make_response(
    context: Context,
    request: RoutedRequest,
    attempts: Attempts,
    peer: Peer,
    answer: EndpointResponse,
    end_work: Callable[[], None],
    after_event: str | None,
) -> Response:
    """Returns the response of another VM.

    A resumable stream that breaks off goes on at a further VM, if one takes it.
    """
    rest: list[Response] = []
    is_resumable = (
        request.route.kind is RequestKind.STREAM
        and request.route.repeatable
        and answer.succeeded
    )

    def iterate() -> Iterator[bytes]:
        progress = StreamProgress(last_event_id=after_event)
        try:
            for part in answer.iterate(lambda: math.inf, lambda: None):
                if not is_resumable:
                    yield part
                    continue
                progress, events = split_events(progress, part)
                if events:
                    yield events
            if progress.partial_event:
                yield progress.partial_event
        except EndpointError as error:
            _record_broken_relay(context, request, peer, error.failure)
            attempts.record_relay_failure(peer, error.failure)
            attempts.may_have_begun_elsewhere = True
            resumed = None
            if is_resumable and progress.is_resumable:
                event = progress.last_event_id
                resumed = hand_over(context, request, attempts, event)
            if resumed is None:
                raise TruncatedError(error.failure.detail) from error
            rest.append(resumed)
            if not 200 <= resumed.status < 300:
                detail = f"resumed with {resumed.status}"
                raise TruncatedError(detail) from error
            yield from resumed.body

    def close() -> None:
        answer.close()
        end_work()
        for response in rest:
            response.close()

    return Response(answer.status, answer.headers, iterate(), close)


def _record_broken_relay(
    context: Context, request: RoutedRequest, peer: Peer, failure: Failure
) -> None:
    """Records that the rest of an answer was lost.

    The VM may have passed on what its endpoint broke off, which looks the same
    here. Only silence beyond the deadline is its own: it ends each answer then.
    If the VM is lost, the next request that asks it shows that.
    """
    context.registry.count("relay", "broke_off")
    is_silent = failure.kind is FailureKind.UNRESPONSIVE
    if is_silent and not request.caller.gone:
        weight = passive_health.failure_weight(failure.kind)
        context.peers.record_failure(peer, weight)
    context.log(
        "relay broke off",
        request_id=request.call.request_id,
        peer=peer.vm,
        kind=failure.kind.value,
        detail=failure.detail,
        is_blamed=is_silent,
        caller_gone=request.caller.gone,
    )


__all__ = ["can_hand_over", "can_leave", "hand_over"]
