"""Messages about calls to the owner of a pool or to a requester."""

from __future__ import annotations

from burdockspan.membership.calls import CallMessage, CallStep
from burdockspan.membership.values import Message, MessageKind, Outgoing
from burdockspan.node.effects import Effects, SendDatagram
from burdockspan.node.tables import Tables
from burdockspan.values.ids import AttemptId


def make_call_effect(
    tables: Tables, address: str, call: CallMessage
) -> SendDatagram:
    """Returns the effect that sends a message about a call."""
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
    """Tells the owner how far an attempt has come that it granted.

    A lost report does no harm: load reports of the engine tell the same, later.
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
