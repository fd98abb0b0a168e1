"""Messages in which VMs ask each other for units of quotas, and lend them.

Accounts are named by a short identity, so that a datagram has room for several.
"""

from __future__ import annotations

import dataclasses
import hashlib
import math
from collections.abc import Iterable, Mapping
from typing import Any

from result import Err, Ok, Result

# A datagram has room for this many accounts.
MAX_ACCOUNTS = 20
_ID_BYTES = 5
_MAX_ID_CHARACTERS = 2 * _ID_BYTES
# Units are told in thousandths, rounded down: a loan is never larger for its
# borrower than for its lender.
_PARTS = 1000


@dataclasses.dataclass(frozen=True)
class Want:
    """A VM asks for units.

    Attributes:
      run: number that tells runs of its process apart.
      asked_ms: when it asks, on its own boot clock; rises with each want.
      units_by_id: units that it asks for.
      room_by_id: room that it needs for 1,000 units.
      waited_ms: how long its first waiting request has waited, by account;
        0 if none waits.
    """

    run: int
    asked_ms: int
    units_by_id: Mapping[str, float]
    room_by_id: Mapping[str, int]
    waited_ms_by_id: Mapping[str, int]


@dataclasses.dataclass(frozen=True)
class Loan:
    """A VM lends units in answer to a want.

    Attributes:
      run: number that tells runs of the lender's process apart.
      number: rises with each loan of the run.
      borrower_run: `run` of the want.
      asked_ms: `asked_ms` of the want.
      units_by_id: lent units.
      room_by_id: room that is lent with 1,000 units.
    """

    run: int
    number: int
    borrower_run: int
    asked_ms: int
    units_by_id: Mapping[str, float]
    room_by_id: Mapping[str, int]


@dataclasses.dataclass(frozen=True)
class CountStatement:
    """A VM says how many VMs it counts."""

    vm_count: int


Message = Want | Loan | CountStatement


def make_id(account: str) -> str:
    """Returns the short identity of an account."""
    return hashlib.blake2s(account.encode(), digest_size=_ID_BYTES).hexdigest()


def encode(message: Message) -> dict[str, Any]:
    """Returns a message as a JSON value."""
    match message:
        case CountStatement():
            return {"vms": message.vm_count}
        case Want():
            return {
                "want": [message.run, message.asked_ms],
                "units": _encode_units(message.units_by_id),
                "room": dict(message.room_by_id),
                "waited": dict(message.waited_ms_by_id),
            }
        case Loan():
            return {
                "loan": [message.run, message.number],
                "want": [message.borrower_run, message.asked_ms],
                "units": _encode_units(message.units_by_id),
                "room": dict(message.room_by_id),
            }


def decode(value: Any) -> Result[Message, str]:
    """Returns the message in a JSON value, or an error text."""
    if not isinstance(value, dict):
        return Err("not an object")
    if "vms" in value:
        vm_count = value["vms"]
        if type(vm_count) is not int or not 0 < vm_count < 2**31:
            return Err("not a number of VMs")
        return Ok(CountStatement(vm_count))
    want = _decode_pair(value.get("want"))
    units = _decode_numbers(value.get("units"))
    room = _decode_numbers(value.get("room"))
    if want is None or units is None or room is None:
        return Err("neither a want nor a loan")
    units_by_id = {id_: parts / _PARTS for id_, parts in units.items()}
    if "loan" in value:
        loan = _decode_pair(value["loan"])
        if loan is None:
            return Err("not a loan")
        return Ok(Loan(*loan, *want, units_by_id, room))
    waited = _decode_numbers(value.get("waited"))
    if waited is None:
        return Err("not a time")
    return Ok(Want(*want, units_by_id, room, waited))


def _encode_units(units_by_id: Mapping[str, float]) -> dict[str, int]:
    return {
        id_: math.floor(units * _PARTS) for id_, units in units_by_id.items()
    }


def _decode_pair(value: Any) -> tuple[int, int] | None:
    if not isinstance(value, list) or len(value) != 2:
        return None
    return (value[0], value[1]) if _are_numbers(value) else None


def _decode_numbers(value: Any) -> dict[str, int] | None:
    if not isinstance(value, dict) or len(value) > MAX_ACCOUNTS:
        return None
    if any(len(id_) > _MAX_ID_CHARACTERS for id_ in value):
        return None
    return value if _are_numbers(value.values()) else None


def _are_numbers(values: Iterable[Any]) -> bool:
    return all(type(value) is int and 0 <= value < 2**53 for value in values)


__all__ = [
    "MAX_ACCOUNTS",
    "CountStatement",
    "Loan",
    "Message",
    "Want",
    "decode",
    "encode",
    "make_id",
]
