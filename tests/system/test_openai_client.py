from __future__ import annotations

import unittest

import openai

from standins import tokens
from standins.launcher import Process
from tests.support.fleets import MODEL, make_plan, running_fleet


class OpenAiClientTest(unittest.TestCase):
    def test_unmodified_client_works_against_real_processes(self) -> None:
        """Guards against responses that the OpenAI client cannot read."""
        plan = make_plan(entries=1, prefill=1, decode=1, services=())
        with running_fleet(plan) as fleet:
            client = _make_client(fleet.entries[0], "demo-token")
            names = [model.id for model in client.models.list()]
            self.assertEqual(names, [MODEL])
            body = {"model": MODEL, "prompt": "a charter", "max_tokens": 6}
            completion = client.completions.create(**body)
            expected = tokens.expected_text(body)
            self.assertEqual(completion.choices[0].text, expected)
            chunks = client.completions.create(**body, stream=True)
            streamed = "".join(chunk.choices[0].text for chunk in chunks)
            self.assertEqual(streamed, expected)
            chat = client.chat.completions.create(
                model=MODEL,
                max_tokens=4,
                messages=[{"role": "user", "content": "a letter"}],
            )
            self.assertTrue(chat.choices[0].message.content)
            with self.assertRaises(openai.NotFoundError):
                client.completions.create(model="other", prompt="x")
            with self.assertRaises(openai.BadRequestError):
                client.completions.create(
                    model=MODEL, prompt="x", max_tokens=-1
                )
            unauthorized_client = _make_client(fleet.entries[0], "wrong")
            with self.assertRaises(openai.AuthenticationError):
                unauthorized_client.models.list()


def _make_client(entry: Process, token: str) -> openai.OpenAI:
    return openai.OpenAI(
        base_url=f"http://{entry.address}/v1", api_key=token, max_retries=0
    )
