"""Deterministic tokens and OpenAI API responses of the engine stand-in."""

from __future__ import annotations

import hashlib
import json
from typing import Any

DEFAULT_MAX_TOKENS = 16
BLOCK_CHARACTERS = 512
_CHARACTERS_PER_TOKEN = 4


def prompt_text(body: dict[str, Any]) -> str:
    """Returns the prompt, or the messages as canonical JSON."""
    prompt = body.get("prompt", body.get("messages", ""))
    if isinstance(prompt, str):
        return prompt
    return json.dumps(prompt, sort_keys=True, separators=(",", ":"))


def count_tokens(text: str) -> int:
    """Returns the token count of a text, at four characters a token."""
    return max(1, -(-len(text) // _CHARACTERS_PER_TOKEN))


def requested_tokens(body: dict[str, Any]) -> int:
    """Returns the number of output tokens that a request body asks for."""
    names = ("max_completion_tokens", "max_tokens")
    values = [body[name] for name in names if isinstance(body.get(name), int)]
    return max(1, values[0]) if values else DEFAULT_MAX_TOKENS


def output_token(prompt: str, index: int) -> str:
    """Returns the output token at an index for a prompt."""
    digest = hashlib.sha256(f"{index}|{prompt}".encode()).hexdigest()
    return f"{digest[:6]} "


def expected_text(body: dict[str, Any]) -> str:
    """Returns the full output text for a request body."""
    text = prompt_text(body)
    return "".join(output_token(text, i) for i in range(requested_tokens(body)))


def block_hashes(text: str) -> list[int]:
    """Returns the chained hashes of the full leading blocks of a prompt."""
    hashes: list[int] = []
    previous = b""
    for start in range(0, len(text) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        block = text[start : start + BLOCK_CHARACTERS].encode()
        previous = hashlib.sha256(previous + block).digest()[:8]
        hashes.append(int.from_bytes(previous, "big"))
    return hashes


def make_token_event(
    chat: bool, attempt: str, body: dict[str, Any], index: int
) -> bytes:
    """Returns the server-sent event of one token."""
    text = output_token(prompt_text(body), index)
    last = index + 1 == requested_tokens(body)
    choice: dict[str, Any] = {
        "index": 0,
        "finish_reason": "length" if last else None,
    }
    if chat:
        delta = {"content": text}
        choice["delta"] = {"role": "assistant", **delta} if not index else delta
    else:
        choice |= {"text": text, "logprobs": None}
    value = {
        "id": f"cmpl-{attempt}",
        "object": "chat.completion.chunk" if chat else "text_completion",
        "created": 0,
        "model": body.get("model", ""),
        "choices": [choice],
    }
    return f"id: {index}\ndata: {json.dumps(value)}\n\n".encode()


def make_completion(
    chat: bool, attempt: str, body: dict[str, Any]
) -> dict[str, Any]:
    """Returns the JSON body of a response that is not streamed."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
    text = expected_text(body)
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice |= {"text": text, "logprobs": None}
    prompt_tokens = count_tokens(prompt_text(body))
    return {
        "id": f"cmpl-{attempt}",
        "object": "chat.completion" if chat else "text_completion",
        "created": 0,
        "model": body.get("model", ""),
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": requested_tokens(body),
            "total_tokens": prompt_tokens + requested_tokens(body),
        },
    }


__all__ = [
    "BLOCK_CHARACTERS",
    "DEFAULT_MAX_TOKENS",
    "block_hashes",
    "count_tokens",
    "expected_text",
    "make_completion",
    "make_token_event",
    "output_token",
    "prompt_text",
    "requested_tokens",
]
