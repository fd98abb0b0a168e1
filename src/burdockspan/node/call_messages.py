"""Datagrams about delegated calls, between requester and pool owner."""

from __future__ import annotations

from burdockspan.membership.calls import CallMessage, CallStep
from burdockspan.membership.values import Message, MessageKind, Outgoing
from burdockspan.node.effects import Effects, SendDatagram
from burdockspan.node.tables import Tables
from burdockspan.values.ids import AttemptId


def make_call_effect(
    tables: Tables, address: str, call: CallMessage
) -> SendDatagram:
    """Returns the effect that sends a message about a delegated call."""
    members = tables.members
    message = Message(
        MessageKind.CALL, 0, members.me, members.region, call=call
    )
    return SendDatagram(Outgoing(address, message))


def report_progress(
    tables: Tables,
    attempt: AttemptId,
    step: CallStep,
    decode: str | None = None,
) -> Effects:
    """Reports the progress of an attempt to the pool owner that granted it.

    Does nothing for an attempt that no other VM granted. A report may be lost:
    the owner learns the same later, from the engine's load reports.
    """
    addresses = tables.owner_addresses_by_attempt
    address = addresses.get(attempt)
    if address is None:
        return ()
    if step is CallStep.ENDED:
        del addresses[attempt]
    return (
        make_call_effect(
            tables, address, CallMessage(step, attempt, decode=decode)
        ),
    )


__all__ = ["report_progress", "make_call_effect"]
