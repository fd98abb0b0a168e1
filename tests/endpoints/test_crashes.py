from __future__ import annotations

import time
import unittest

from burdockspan.endpoints.connections import make_connections
from burdockspan.endpoints.crashes import confirm_crash
from burdockspan.values.endpoint import Pool
from burdockspan.values.placement import Failure, FailureKind
from tests.support.endpoint_fake import EndpointFake


class CrashTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fake = EndpointFake()
        self.addCleanup(self.fake.stop)
        self.endpoint = self.fake.as_endpoint(Pool.DECODE)
        self.connections = make_connections(time.monotonic, lambda: 1.0)
        self.addCleanup(self.connections.close)

    def confirm(self) -> Failure:
        lost = Failure(FailureKind.CONNECTION_LOST, self.endpoint.name)
        return confirm_crash(self.connections, self.endpoint, lost)

    def test_crash_is_not_assumed_of_an_endpoint_that_answers(self) -> None:
        """Guards against strikes for a broken connection."""
        health = {"boot": "b2", "state": "live"}
        self.fake.scripts["GET /health"] = lambda one: one.send(200, health)
        found = self.confirm()
        self.assertEqual(found.kind, FailureKind.CONNECTION_LOST)
        self.assertEqual(found.boot, "b2")

    def test_crash_is_not_assumed_of_an_endpoint_that_breaks_off(self) -> None:
        """Guards against a listening endpoint that is taken for dead."""
        self.fake.scripts["GET /health"] = lambda one: one.break_off()
        self.assertEqual(self.confirm().kind, FailureKind.CONNECTION_LOST)

    def test_crash_is_confirmed_where_connections_are_refused(self) -> None:
        """Guards against a dead endpoint that is taken for cut off."""
        self.fake.stop()
        self.assertEqual(self.confirm().kind, FailureKind.CRASHED)
