from __future__ import annotations

import json
import unittest

from standins import launcher, tokens
from tests.support.fleets import (
    AUTHORIZATION,
    MODEL,
    count_reserved_pieces,
    running_fleet,
)

_DECODE = ("decode-1", "decode-2")


class WholePathTest(unittest.TestCase):
    def test_whole_path_serves_through_every_entry_process(self) -> None:
        """Guards against answers that are cut off, mixed up or run twice."""
        with running_fleet() as fleet:
            for number, entry in enumerate(fleet.entries):
                body = {
                    "model": MODEL,
                    "prompt": f"prompt {number}",
                    "max_tokens": 5,
                }
                whole = entry.call(
                    "POST", "/v1/completions", body, AUTHORIZATION
                )
                self.assertEqual(whole.status, 200, whole.body)
                text = whole.json()["choices"][0]["text"]
                self.assertEqual(text, tokens.expected_text(body))
                streamed = entry.call(
                    "POST",
                    "/v1/completions",
                    {**body, "stream": True},
                    AUTHORIZATION,
                )
                self.assertEqual(_join(streamed.body), text)
                order = entry.call(
                    "POST",
                    "/services/hajz-app/bookings",
                    {"hall": 1},
                    {**AUTHORIZATION, "Idempotency-Key": "booking"},
                )
                self.assertEqual(order.status, 200, order.body)
            runs = fleet.processes_by_name["service-1"].call("GET", "/runs")
            self.assertEqual(runs.json()["by_key"], {"booking": 1})
            launcher.wait_until(
                lambda: count_reserved_pieces(fleet, _DECODE) == 0,
                "all decode memory is free",
            )


def _join(body: bytes) -> str:
    lines = [
        line.removeprefix("data: ")
        for line in body.decode().splitlines()
        if line.startswith("data: ")
    ]
    if not lines or lines[-1] != "[DONE]":
        raise AssertionError(f"incomplete stream: {body!r}")
    return "".join(
        json.loads(line)["choices"][0]["text"] for line in lines[:-1]
    )
