"""A test case with a running gateway."""

from __future__ import annotations

import contextlib
import unittest
from typing import Any

from standins.scripted_endpoint import Script, ScriptedEndpoint
from tests.support.gateways import Gateway, make_document, run_gateway


class GatewayCase(unittest.TestCase):
    """Starts a gateway before each test."""

    def setUp(self) -> None:
        self.gateway: Gateway = self.enterContext(
            contextlib.contextmanager(run_gateway)(make_document())
        )

    def add_endpoint(
        self, script: Script, name: str = "i-1", **entry: Any
    ) -> ScriptedEndpoint:
        """Adds an endpoint whose script answers its requests."""
        return self.gateway.add_endpoint(
            ScriptedEndpoint(name, script), **entry
        )


__all__ = ["GatewayCase"]
