"""Handlers that list the models."""

from __future__ import annotations

from typing import Any

from burdockspan.configuration.document import Configuration, Model
from burdockspan.http.refusals import (
    Response,
    make_json_response,
    make_refusal_response,
)
from burdockspan.values.refusal import Execution, Reason, Refusal

MODELS_PATH = "/v1/models"


def list_models(configuration: Configuration) -> Response:
    """Returns all models in the format of the OpenAI API."""
    models = [
        _describe(model, configuration)
        for service in configuration.services
        for model in service.models
    ]
    return make_json_response(200, {"object": "list", "data": models})


def show_model(
    configuration: Configuration, name: str, request_id: str
) -> Response:
    """Returns one model in the format of the OpenAI API."""
    for service in configuration.services:
        for model in service.models:
            if model.name == name:
                return make_json_response(200, _describe(model, configuration))
    refusal = Refusal(
        404,
        Execution.NOT_RUN,
        Reason.UNKNOWN_MODEL,
        f"model {name[:200]!r} does not exist",
        field="model",
    )
    return make_refusal_response(refusal, request_id)


def _describe(model: Model, configuration: Configuration) -> dict[str, Any]:
    return {
        "id": model.name,
        "object": "model",
        "created": int(configuration.accepted_at_s),
        "owned_by": configuration.team,
        "context_window": model.context_tokens,
    }


__all__ = ["MODELS_PATH", "list_models", "show_model"]
