"""Settings of a gateway, with bounds of any size that a platform may state."""

from __future__ import annotations

import pathlib
import re
import tempfile
import unittest

from burdockspan.gateway.settings import GatewaySettings, load_gateway_settings
from burdockspan.gateway.values import EngineProperties
from burdockspan.platform import documents

_REPOSITORY = pathlib.Path(__file__).parents[2]
_TEXTS = {
    "node": "front-fes-a-1",
    "zone": "fes-a",
    "listen.front": "10.1.0.38:8149",
    "listen.ready": "10.1.0.38:8141",
    "ip": "10.1.0.38",
    "internal_ports.0": "7380",
    "internal_ports.1": "7395",
    "platform.address": "10.200.1.7:8142",
}
_BOUNDS = (
    "grace_s",
    "lease_ms",
    "retry_budget_ratio",
    "budget_slack",
    "budget_window_s",
    "config_ms",
    "drain_ms",
    "stable_window_ms",
)


_SECTION = re.compile(r"\{\{#([a-z_.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)


def _render_sections(template: str, value_by_name: dict[str, str]) -> str:
    """Returns a template with the sections of the names that have a value."""

    def render(section: re.Match[str]) -> str:
        if value_by_name.get(section[1], "False") == "False":
            return ""
        return _render_sections(section[2], value_by_name)

    return _SECTION.sub(render, template)


class TestSettings(unittest.TestCase):
    def load(self, bounds: dict[str, float]) -> GatewaySettings:
        """Returns the settings from the deployed template and some bounds."""
        template = (_REPOSITORY / "deploy" / "gateway.yaml").read_text()
        values = dict(_TEXTS)
        values.update(
            {f"bounds.{name}": repr(value) for name, value in bounds.items()}
        )
        template = _render_sections(template, values)
        for name, value in values.items():
            template = template.replace("{{" + name + "}}", value)
        self.assertNotIn("{{", template)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder, "settings.yaml")
        path.write_text(template)
        return load_gateway_settings(str(path)).unwrap()

    def test_fractional_bounds_are_accepted(self) -> None:
        """Guards against processes that do not start on a scaled deployment."""
        settings = self.load(
            {
                **dict.fromkeys(_BOUNDS, 1),
                "grace_s": 7.25,
                "lease_ms": 2999.5,
                "retry_budget_ratio": 0.125,
                "budget_slack": 35.833333333333336,
                "budget_window_s": 9.75,
            }
        )
        self.assertEqual(settings.retry_budget.slack, 35.833333333333336)
        self.assertEqual(settings.grace_s, 7.25)
        self.assertEqual(settings.lease_s, 2.9995)

    def test_extreme_bounds_are_accepted(self) -> None:
        """Guards against limits on what a platform may state."""
        for value in (0, 0.0, 1e-05, 1, 7200, 1e7, 5e11):
            with self.subTest(value=value):
                settings = self.load(dict.fromkeys(_BOUNDS, value))
                self.assertEqual(settings.retry_budget.ratio, value)
                self.assertEqual(settings.retry_budget.slack, value)

    def test_limit_for_removed_keys_is_optional(self) -> None:
        """Guards against VMs that refuse keys where no limit is stated."""
        bounds = dict.fromkeys(_BOUNDS, 1)
        for stated, expected in (
            ({}, None),
            ({"revoke_ms": 5000.0, "revoke_strict": False}, None),
            ({"revoke_ms": 5000.0, "revoke_strict": True}, 5.0),
        ):
            with self.subTest(stated):
                limits = self.load({**bounds, **stated}).change_limits
                self.assertEqual(limits.removed_key_s, expected)

    def test_slack_of_quotas_is_optional(self) -> None:
        """Guards against processes that do not start without quotas."""
        bounds = dict.fromkeys(_BOUNDS, 1)
        for stated, expected in (({}, 0.0), ({"quota_slack": 1.9e5}, 1.9e5)):
            with self.subTest(stated):
                settings = self.load({**bounds, **stated})
                self.assertEqual(settings.account_quotas.slack, expected)

    def test_negative_bounds_are_rejected(self) -> None:
        """Guards against a limit that silently disables all retries."""
        with self.assertRaises(Exception):  # noqa: B017
            self.load({**dict.fromkeys(_BOUNDS, 1), "budget_slack": -1})


class TestEngineProperties(unittest.TestCase):
    def test_fractional_engine_sizes_are_rounded_down(self) -> None:
        """Guards against a configuration ignored for a scaled engine size."""
        configuration = documents.decode_configuration(
            {
                "version": 1,
                "routes": [],
                "services": [
                    {
                        "name": "llm",
                        "engine": {"slots": 10.5, "kv_tokens": 45415.7},
                    }
                ],
            }
        )
        self.assertEqual(
            configuration.services_by_name["llm"].engine,
            EngineProperties(slots=10, kv_tokens=45415),
        )


if __name__ == "__main__":
    unittest.main()
