from __future__ import annotations

import time
import unittest

from burdockspan.endpoints.connections import make_connections
from burdockspan.endpoints.crashes import confirm_crash
from burdockspan.values.endpoint import Pool
from burdockspan.values.placement import Failure, FailureKind
from tests.support.endpoint_fake import EndpointFake


class ConfirmCrashTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fake = EndpointFake()
        self.addCleanup(self.fake.stop)
        self.endpoint = self.fake.as_endpoint(Pool.DECODE)
        self.connections = make_connections(time.monotonic, lambda: 1.0)
        self.addCleanup(self.connections.close)

    def confirm(self) -> Failure:
        lost = Failure(FailureKind.CONNECTION_LOST, self.endpoint.name)
        return confirm_crash(self.connections, self.endpoint, lost)

    def test_lost_connection_to_a_healthy_endpoint_is_no_crash(self) -> None:
        """Guards against a crash record for a lost connection."""
        health = {"boot": "b2", "state": "live"}
        self.fake.scripts["GET /health"] = lambda handler: handler.send(
            200, health
        )
        failure = self.confirm()
        self.assertEqual(failure.kind, FailureKind.CONNECTION_LOST)
        self.assertEqual(failure.boot, "b2")

    def test_endpoint_that_drops_its_health_checks_is_no_crash(self) -> None:
        """Guards against counting a listening endpoint as crashed."""
        self.fake.scripts["GET /health"] = lambda handler: handler.close_early()
        self.assertEqual(self.confirm().kind, FailureKind.CONNECTION_LOST)

    def test_endpoint_that_refuses_connections_has_crashed(self) -> None:
        """Guards against taking a crash for a network partition."""
        self.fake.stop()
        self.assertEqual(self.confirm().kind, FailureKind.CRASHED)
