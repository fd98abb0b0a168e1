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


class EndToEndTest(unittest.TestCase):
    def test_requests_are_served_through_every_entry_process(self) -> None:
        """Guards against truncated or swapped responses and second runs."""
        with running_fleet() as fleet:
            for number, entry in enumerate(fleet.entries):
                body = {
                    "model": MODEL,
                    "prompt": f"prompt {number}",
                    "max_tokens": 5,
                }
                completion = entry.call(
                    "POST", "/v1/completions", body, AUTHORIZATION
                )
                self.assertEqual(completion.status, 200, completion.body)
                text = completion.json()["choices"][0]["text"]
                self.assertEqual(text, tokens.expected_text(body))
                stream = entry.call(
                    "POST",
                    "/v1/completions",
                    {**body, "stream": True},
                    AUTHORIZATION,
                )
                self.assertEqual(_join_tokens(stream.body), text)
                booking = entry.call(
                    "POST",
                    "/services/hajz-app/bookings",
                    {"hall": 1},
                    {**AUTHORIZATION, "Idempotency-Key": "booking"},
                )
                self.assertEqual(booking.status, 200, booking.body)
            runs = fleet.processes_by_name["service-1"].call("GET", "/runs")
            self.assertEqual(runs.json()["by_key"], {"booking": 1})
            launcher.wait_until(
                lambda: count_reserved_pieces(fleet, _DECODE) == 0,
                "all memory is released",
            )


def _join_tokens(body: bytes) -> str:
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
