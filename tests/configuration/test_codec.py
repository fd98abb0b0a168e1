from __future__ import annotations

import unittest

from burdockspan.configuration.codec import (
    dump_configuration,
    load_configuration,
)
from burdockspan.configuration.document import Configuration, Service


class CodecTest(unittest.TestCase):
    def test_codec_round_trips_a_document(self) -> None:
        document = Configuration(3, "team", services=(Service("models"),))
        data = dump_configuration(document)
        self.assertEqual(load_configuration(data).ok(), document)

    def test_codec_names_an_unknown_field(self) -> None:
        problem = load_configuration(b'{"generation":1,"team":"t","x":1}')
        self.assertIn("x", str(problem.err()))
