"""Parsing of the bodies of completion calls."""

from __future__ import annotations

import dataclasses
import json
import math
from typing import Any

from result import Err, Ok, Result

from burdockspan.configuration.document import Configuration, Model, Service
from burdockspan.http.parsing import parse_json_object
from burdockspan.http.refusals import make_malformed_refusal
from burdockspan.values.refusal import Execution, Reason, Refusal

COMPLETIONS_PATH = "/v1/completions"
CHAT_PATH = "/v1/chat/completions"

# Sent to the engine if the caller sets no limit, so that the engine generates
# no more than the reserved memory can store.
DEFAULT_MAX_TOKENS = 256
_BYTES_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True)
class Prompt:
    """A parsed completion call.

    Attributes:
      body: body that is sent to the engines.
      service: service whose engines run the model.
      model: the model.
      text: prompt text, for prefix hashes.
      prompt_tokens: estimated number of tokens: one per four bytes.
      max_tokens: maximum number of generated tokens.
      streamed: whether the caller requested server-sent events.
    """

    body: dict[str, Any]
    service: Service
    model: Model
    text: str
    prompt_tokens: int
    max_tokens: int
    streamed: bool


def parse_prompt(
    path: str, raw: bytes, configuration: Configuration
) -> Result[Prompt, Refusal]:
    """Parses and validates the body of a completion call."""
    parsed = parse_json_object(raw)
    if isinstance(parsed, Err):
        return parsed
    body = parsed.ok_value
    model_lookup = _find_model(body, configuration)
    if isinstance(model_lookup, Err):
        return model_lookup
    service, model = model_lookup.ok_value
    field = "messages" if path == CHAT_PATH else "prompt"
    problem = _check_fields(body, field)
    if problem is not None:
        return Err(problem)
    max_field, max_tokens = _get_max_tokens(body)
    text, tokens = _estimate_tokens(body[field])
    prompt = Prompt(
        {**body, max_field: max_tokens},
        service,
        model,
        text,
        tokens,
        max_tokens,
        body.get("stream") is True,
    )
    return _check_size(prompt, field, max_field)


def _find_model(
    body: dict[str, Any], configuration: Configuration
) -> Result[tuple[Service, Model], Refusal]:
    name = body.get("model")
    if name is None:
        return Err(make_malformed_refusal("model", "model is missing"))
    if not isinstance(name, str):
        return Err(make_malformed_refusal("model", "model must be a string"))
    for service in configuration.services:
        for model in service.models:
            if name == model.name:
                return Ok((service, model))
    return Err(
        Refusal(
            404,
            Execution.NOT_RUN,
            Reason.UNKNOWN_MODEL,
            f"model {name[:200]!r} does not exist",
            field="model",
        )
    )


def _check_fields(body: dict[str, Any], field: str) -> Refusal | None:
    if field not in body:
        return make_malformed_refusal(field, f"{field} is missing")
    value = body[field]
    valid = _is_messages(value) if field == "messages" else _is_prompt(value)
    if not valid:
        kinds = "a list of messages with a role"
        if field == "prompt":
            kinds = "a string, a list of strings or a list of token numbers"
        return make_malformed_refusal(field, f"{field} must be {kinds}")
    if body.get("stream") not in (None, True, False):
        return make_malformed_refusal("stream", "stream must be true or false")
    for name in ("max_tokens", "max_completion_tokens"):
        count = body.get(name)
        if count is not None and not (_is_integer(count) and count >= 1):
            return make_malformed_refusal(
                name, f"{name} must be a whole number from 1", "at least 1"
            )
    if body.get("n") not in (None, 1):
        return make_malformed_refusal("n", "n must be 1", "1")
    if body.get("best_of") not in (None, 1):
        return make_malformed_refusal("best_of", "best_of must be 1", "1")
    return None


def _get_max_tokens(body: dict[str, Any]) -> tuple[str, int]:
    for name in ("max_completion_tokens", "max_tokens"):
        if body.get(name) is not None:
            return name, body[name]
    return "max_tokens", DEFAULT_MAX_TOKENS


def _estimate_tokens(value: Any) -> tuple[str, int]:
    if isinstance(value, list) and all(_is_integer(item) for item in value):
        return json.dumps(value), len(value)
    text = value
    if not isinstance(value, str):
        text = json.dumps(value, ensure_ascii=False)
    # JSON may contain lone surrogates, which UTF-8 cannot encode.
    encoded = text.encode(errors="replace")
    return encoded.decode(), math.ceil(len(encoded) / _BYTES_PER_TOKEN)


def _check_size(
    prompt: Prompt, field: str, max_field: str
) -> Result[Prompt, Refusal]:
    service = prompt.service
    limit = min(
        service.pieces * service.piece_tokens, prompt.model.context_tokens
    )
    if prompt.prompt_tokens >= limit:
        invalid_field = field
        detail = f"{field} has about {prompt.prompt_tokens} tokens"
    elif prompt.prompt_tokens + prompt.max_tokens > limit:
        invalid_field = max_field
        detail = (
            f"{field} and {max_field} need about "
            f"{prompt.prompt_tokens + prompt.max_tokens} tokens"
        )
    else:
        return Ok(prompt)
    return Err(
        Refusal(
            400,
            Execution.NOT_RUN,
            Reason.PROMPT_TOO_LARGE,
            f"{detail}; an engine holds {limit} for prompt and answer",
            field=invalid_field,
            limit=f"{limit} tokens",
        )
    )


def _is_prompt(value: Any) -> bool:
    if isinstance(value, str):
        return True
    if not isinstance(value, list) or not value:
        return False
    return all(isinstance(item, str) for item in value) or all(
        _is_integer(item) for item in value
    )


def _is_messages(value: Any) -> bool:
    return (
        isinstance(value, list)
        and bool(value)
        and all(
            isinstance(item, dict) and isinstance(item.get("role"), str)
            for item in value
        )
    )


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


__all__ = [
    "CHAT_PATH",
    "COMPLETIONS_PATH",
    "DEFAULT_MAX_TOKENS",
    "Prompt",
    "parse_prompt",
]
