from __future__ import annotations

import dataclasses
import pathlib
import unittest

from burdockspan.cli.root import root
from burdockspan.settings import Settings
from burdockspan.values.refusal import Reason

_DOCS = pathlib.Path(__file__).parents[2] / "docs"


class DocumentsTest(unittest.TestCase):
    def test_operators_guide_covers_settings_commands_and_reasons(
        self,
    ) -> None:
        # Guards against an outdated guide.
        guide = (_DOCS / "operators.md").read_text()
        fields = [field.name for field in dataclasses.fields(Settings)]
        for name in (*fields, *(reason.value for reason in Reason)):
            with self.subTest(name):
                self.assertIn(f"`{name}`", guide)
        for name in root.modules:
            if name != "version":
                with self.subTest(name):
                    self.assertIn(f"burdockspan {name}", guide)

    def test_decisions_name_ways_reasons_and_measurements(self) -> None:
        records = sorted((_DOCS / "decisions").glob("0*.md"))
        index = (_DOCS / "decisions" / "README.md").read_text()
        for record in records:
            with self.subTest(record.name):
                self.assertIn(f"({record.name})", index)
                text = record.read_text()
                for heading in ("Ways considered", "Decision", "Measure"):
                    self.assertIn(f"## {heading}", text)
