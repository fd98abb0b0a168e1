from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from burdockspan.membership import sizes, wire
from burdockspan.membership.values import (
    AgedReport,
    CrashKey,
    CrashRecord,
    LeavingStatus,
    Member,
    MemberState,
    Message,
    MessageKind,
    Versions,
)
from burdockspan.values.endpoint import Pool

_REPRODUCIBLE = settings(derandomize=True, deadline=None, max_examples=100)
# Short, multi-byte, and long enough for a length prefix of two bytes.
_NAME = st.sampled_from(
    ("a", "entry-1", "naïve-名", "10.0.0.1:7000", "x" * 130)
)
_I32 = st.sampled_from((0, 1, 63, 64, 8192, 2**31 - 1))
_I64 = st.sampled_from((0, 64, 1_700_000_000_000, 2**63 - 1))
_MEMBER = st.builds(
    Member, _NAME, _NAME, _NAME, _I64, st.sampled_from(MemberState), _I32
)
_ROLE = st.sampled_from((None, Pool.PREFILL, Pool.DECODE))
_REPORT = st.builds(
    AgedReport,
    *(_NAME, _NAME, st.booleans(), _I32, _I32, _I32, _I32, _I32, _ROLE),
)
_LEAVING_STATUS = st.builds(LeavingStatus, _NAME, _I64, st.booleans())
_KEY = st.builds(
    CrashKey,
    st.sampled_from(("00" * 32, "fe" * 32)),
    _NAME,
    _NAME,
)
_CRASH_RECORD = st.builds(CrashRecord, _KEY, _I32)


def _tuple(entry: st.SearchStrategy) -> st.SearchStrategy:
    return st.lists(entry, max_size=2).map(tuple)


_MESSAGE = st.builds(
    Message,
    st.sampled_from(MessageKind),
    _I64,
    _MEMBER,
    _NAME,
    st.builds(Versions, _I64, _I64),
    st.none() | _NAME,
    st.none() | _NAME,
    _tuple(_MEMBER),
    _tuple(_REPORT),
    _tuple(_LEAVING_STATUS),
    _tuple(_CRASH_RECORD),
)
_PING = Message(
    MessageKind.PING, 1, Member("vm", "127.0.0.1:1", "zone", 1), "region"
)


class WireTest(unittest.TestCase):
    @_REPRODUCIBLE
    @given(_MESSAGE)
    def test_wire_round_trips_within_the_computed_size(
        self, message: Message
    ) -> None:
        # If the computed size was too low, datagrams would exceed the limit.
        data = wire.encode(message).unwrap()
        self.assertEqual(wire.decode(data).unwrap(), message)
        bound = (
            sizes.size_of_header(message)
            + sum(map(sizes.size_of_member, message.updates))
            + sum(map(sizes.size_of_report, message.reports))
            + sum(map(sizes.size_of_leaving_status, message.leaving_statuses))
            + sum(map(sizes.size_of_crash_record, message.crash_records))
        )
        self.assertLessEqual(len(data), bound)

    @_REPRODUCIBLE
    @given(_MESSAGE, st.data())
    def test_wire_refuses_truncated_datagrams(
        self, message: Message, data: st.DataObject
    ) -> None:
        encoded = wire.encode(message).unwrap()
        length = data.draw(st.integers(0, len(encoded) - 1))
        self.assertTrue(wire.decode(encoded[:length]).is_err())

    @_REPRODUCIBLE
    @given(st.binary(max_size=200), st.integers(0, 80))
    def test_wire_never_raises_on_damaged_datagrams(
        self, noise: bytes, start: int
    ) -> None:
        # No datagram must end the receiver thread.
        encoded = wire.encode(_PING).unwrap()
        wire.decode(noise)
        wire.decode(encoded[:start] + noise + encoded[start + len(noise) :])

    def test_wire_reports_the_kind_of_fault(self) -> None:
        encoded = wire.encode(_PING).unwrap()
        # Field 1 is the protocol version: a header byte, then 1 in zigzag form.
        self.assertEqual(encoded[1], 2)
        cases = {
            wire.WireFault.OVERSIZE: bytes(wire.MAX_DATAGRAM_BYTES + 1),
            wire.WireFault.TRUNCATED: encoded[:-1],
            wire.WireFault.VERSION: encoded[:1] + b"\x04" + encoded[2:],
            wire.WireFault.MALFORMED: encoded + b"\x00",
        }
        for fault, data in cases.items():
            with self.subTest(fault=fault):
                self.assertIs(wire.decode(data).unwrap_err().fault, fault)

    def test_wire_refuses_a_length_beyond_the_datagram(self) -> None:
        # A list of 2**31 - 1 entries must not be allocated.
        datagram = b"\x14\x02" + b"\x89\xfc\xff\xff\xff\xff\x07"
        fault = wire.decode(datagram).unwrap_err().fault
        self.assertIs(fault, wire.WireFault.MALFORMED)

    def test_wire_refuses_to_encode_an_oversize_message(self) -> None:
        member = Member("v" * 100, "127.0.0.1:1", "zone", 1)
        message = Message(
            MessageKind.PING, 1, member, "region", updates=(member,) * 12
        )
        fault = wire.encode(message).unwrap_err().fault
        self.assertIs(fault, wire.WireFault.OVERSIZE)
