"""The platform's store may come back from an older copy."""

from __future__ import annotations

import random
import unittest

from result import Ok, Result

from burdockspan.object_api.calls import Budget, CallLimit, make_call_limiter
from burdockspan.object_api.client import PlatformClient, make_platform_client
from burdockspan.object_api.eras import ERA_HEADER, EraTracker, parse_era
from burdockspan.object_api.objects import (
    PlatformError,
    WatchBatch,
    WatchEvent,
)
from burdockspan.object_api.transport import (
    ExchangeFailure,
    Request,
    Response,
    make_transport,
)
from burdockspan.object_api.watch import WatchState, advance
from tests.support.processes import running_standin

_NO_LIMIT = CallLimit(1e6, 1e6)


class StandinTest(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = self.enterContext(running_standin("platform"))
        self.client = make_platform_client(
            make_transport(self.platform.address, {}, lambda: 0.0),
            make_call_limiter(lambda: 0.0, dict.fromkeys(Budget, _NO_LIMIT)),
            lambda: 0.0,
            random.Random(1).random,
        )

    def restore(self) -> None:
        self.platform.call("PUT", "/control/restore")

    def test_restored_store_lacks_later_writes_and_reuses_versions(
        self,
    ) -> None:
        """Guards against a stand-in that loses nothing."""
        self.client.create("k", "kept", 1).unwrap()
        self.platform.call("PUT", "/control/copy")
        lost = self.client.create("k", "lost", 1).unwrap()
        self.restore()
        missing = self.client.get("k", "lost")
        self.assertIs(missing.err(), PlatformError.NOT_FOUND)
        self.assertEqual(self.client.eras.latest(), 2)
        self.assertEqual(self.client.get("k", "kept").unwrap().value, 1)
        again = self.client.create("k", "other", 1).unwrap()
        self.assertEqual(again.version, lost.version)

    def test_vm_list_of_a_new_era_is_newer(self) -> None:
        """Guards against VM lists ignored until old versions are passed."""
        self.platform.call("PUT", "/control/copy")
        for _ in range(3):
            self.platform.call("PUT", "/control/vms", {"vms": []})
        before = self.client.list_vms().unwrap()
        self.restore()
        self.platform.call("PUT", "/control/vms", {"vms": []})
        # The era rises during the first read.
        self.client.list_vms()
        after = self.client.list_vms().unwrap()
        self.assertGreater(after.version, before.version)

    def test_all_responses_name_the_era(self) -> None:
        """Guards against errors that hide a rise of the era."""
        self.restore()
        paths = ("/vms", "/objects/k/absent", "/unknown", "/watch?after=9")
        for path in paths:
            response = self.platform.call("GET", path)
            self.assertEqual(response.headers[ERA_HEADER.lower()], "2", path)
        self.platform.set_faults(down="error")
        response = self.platform.call("GET", "/vms")
        self.assertEqual(response.status, 503)
        self.assertEqual(response.headers[ERA_HEADER.lower()], "2")

    def test_watch_from_a_version_that_is_missing_fails_at_once(self) -> None:
        """Guards against a watch that waits for versions to be given out."""
        response = self.platform.call("GET", "/watch?after=9&timeout_s=60")
        self.assertEqual(response.status, 410)


def _make_client(responses: list[Response]) -> PlatformClient:
    def transport(_: Request) -> Result[Response, ExchangeFailure]:
        return Ok(responses.pop(0))

    return make_platform_client(
        transport,
        make_call_limiter(lambda: 0.0),
        lambda: 0.0,
        lambda: 0.5,
        sleep=lambda _: None,
    )


class ClientTest(unittest.TestCase):
    def test_response_of_an_earlier_era_counts_as_none(self) -> None:
        """Guards against responses of two eras that arrive out of order."""
        body = b'{"version":7,"value":1}'
        late = Response(200, body, {ERA_HEADER: "1"})
        current = Response(200, body, {ERA_HEADER: "2"})
        client = _make_client([current, late, late, current])
        self.assertTrue(client.get("k", "n").is_ok())
        write = client.create("k", "n", 1)
        self.assertIs(write.err(), PlatformError.UNCERTAIN)
        # The read is repeated.
        self.assertTrue(client.get("k", "n").is_ok())

    def test_malformed_era_is_ignored(self) -> None:
        """Guards against an era that would make all later responses late."""
        for text in ("", "x", "-1", "0", "1.5", "9" * 10, "1 2"):
            self.assertIsNone(parse_era({ERA_HEADER: text}), text)
        self.assertEqual(parse_era({ERA_HEADER: "12"}), 12)


class EraTrackerTest(unittest.TestCase):
    def test_listeners_are_called_for_each_rise_only(self) -> None:
        """Guards against a start that counts as a loss of writes."""
        tracker = EraTracker()
        rises: list[int] = []
        tracker.add_listener(rises.append)
        observed = [tracker.observe(era) for era in (3, 3, None, 5, 4, 5)]
        self.assertEqual(observed, [True, True, True, True, False, True])
        self.assertEqual(rises, [5])


class WatchTest(unittest.TestCase):
    def test_watch_begins_again_in_a_new_era(self) -> None:
        """Guards against changes missed because their versions were reused."""
        state = WatchState(after=7, era=1)
        event = WatchEvent("k", "n", 8, "unseen era")
        step = advance(state, Ok(WatchBatch(8, (event,))), lambda: 0.5, 2)
        self.assertEqual(step.state, WatchState(0, 0, 2))
        self.assertEqual(step.events, ())
        all_objects = WatchBatch(5, (WatchEvent("k", "n", 3, "now"),))
        step = advance(step.state, Ok(all_objects), lambda: 0.5, 2)
        self.assertEqual(step.state, WatchState(5, 0, 2))
        self.assertEqual(len(step.events), 1)

    def test_first_known_era_keeps_the_position(self) -> None:
        """Guards against a start that reads everything twice."""
        step = advance(WatchState(), Ok(WatchBatch(5)), lambda: 0.5, 4)
        self.assertEqual(step.state, WatchState(5, 0, 4))


if __name__ == "__main__":
    unittest.main()
