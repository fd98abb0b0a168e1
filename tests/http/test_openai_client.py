"""The OpenAI client library against a served application."""

from __future__ import annotations

import json
from typing import Any

import openai

from burdockspan.values.refusal import Execution, Reason, Refusal
from tests.support.caller import WAIT_S, HttpServerTestCase
from tests.support.endpoint_fake import TOKENS, Handler
from tests.support.router_fake import TOKEN

_MESSAGES: list[Any] = [{"role": "user", "content": "hello"}]


class OpenAiClientTest(HttpServerTestCase):
    def make_client(self, key: str = TOKEN) -> openai.OpenAI:
        client = openai.OpenAI(
            api_key=key,
            base_url=f"http://{self.server.address}/v1",
            max_retries=2,
            timeout=WAIT_S,
        )
        self.addCleanup(client.close)
        return client

    def test_client_reads_completions(self) -> None:
        answer = self.make_client().completions.create(
            model="m1", prompt="hello"
        )
        self.assertEqual(answer.choices[0].text, "t0 t1 ")

    def test_client_streams(self) -> None:
        stream = self.make_client().completions.create(
            model="m1", prompt="hello", stream=True
        )
        text = "".join(chunk.choices[0].text for chunk in stream)
        self.assertEqual(text, "".join(f"t{i} " for i in range(TOKENS)))

    def test_client_streams_chats(self) -> None:
        def chat(handler: Handler) -> None:
            handler.start_stream()
            for index, word in enumerate(("a", "b")):
                delta = {"role": "assistant", "content": word}
                choice = {"index": 0, "delta": delta, "finish_reason": None}
                value = {
                    "id": "c",
                    "object": "chat.completion.chunk",
                    "created": 0,
                    "model": "m1",
                    "choices": [choice],
                }
                event = f"id: {index}\ndata: {json.dumps(value)}\n\n"
                handler.send_chunk(event.encode())
            handler.end_stream()

        self.decode.scripts["POST /v1/chat"] = chat
        stream = self.make_client().chat.completions.create(
            model="m1", messages=_MESSAGES, stream=True
        )
        text = "".join(chunk.choices[0].delta.content or "" for chunk in stream)
        self.assertEqual(text, "ab")

    def test_client_lists_models(self) -> None:
        client = self.make_client()
        self.assertEqual([model.id for model in client.models.list()], ["m1"])
        self.assertEqual(client.models.retrieve("m1").owned_by, "atlas")
        with self.assertRaises(openai.NotFoundError):
            client.models.retrieve("other")

    def test_client_raises_its_error_classes(self) -> None:
        client = self.make_client()
        with self.assertRaises(openai.AuthenticationError):
            self.make_client("wrong").completions.create(model="m1", prompt="x")
        with self.assertRaises(openai.NotFoundError) as caught:
            client.completions.create(model="other", prompt="x")
        self.assertEqual(caught.exception.code, "unknown_model")
        self.assertEqual(caught.exception.param, "model")
        with self.assertRaises(openai.BadRequestError):
            client.completions.create(model="m1", prompt="x" * 9000)

    def test_client_does_not_retry_a_quarantined_request(self) -> None:
        # By default OpenAI clients retry 429 and 5xx at once.
        self.router.refusal = Refusal(
            429, Execution.NOT_RUN, Reason.QUARANTINED, "quarantined"
        )
        with self.assertRaises(openai.RateLimitError):
            self.make_client().completions.create(model="m1", prompt="x")
        self.assertEqual(len(self.router.finished()), 1)

    def test_client_raises_an_error_event_of_a_stream(self) -> None:
        def close_early(handler: Handler) -> None:
            handler.start_stream()
            handler.send_tokens(0, 1)
            handler.close_early()

        self.decode.scripts["POST /v1/"] = close_early
        stream = self.make_client().completions.create(
            model="m1", prompt="x", stream=True
        )
        with self.assertRaises(openai.APIError) as caught:
            list(stream)
        self.assertIn("broke off", str(caught.exception))
