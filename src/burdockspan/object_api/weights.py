"""Model weights from the platform's weight store."""

from __future__ import annotations

import base64
import binascii
import dataclasses
import hashlib

from result import Err, Ok, Result


@dataclasses.dataclass(frozen=True)
class Weights:
    """The weights of one version of a model.

    Attributes:
      model: name of the model.
      version: version in the weight store.
      data: the weights.
      sha256: digest (hex) of the data, for an engine to check its copy.
    """

    model: str
    version: str
    data: bytes
    sha256: str


def parse_weights(
    model: str, version: str, value: object
) -> Result[Weights, str]:
    """Returns the weights of `{bytes}`, in base64, or what is wrong with it."""
    text = value.get("bytes") if isinstance(value, dict) else None
    if not isinstance(text, str):
        return Err(f"weights {model}/{version} have no text member `bytes`")
    try:
        data = base64.b64decode(text, validate=True)
    except binascii.Error as error:
        return Err(f"weights {model}/{version} are not base64: {error}")
    digest = hashlib.sha256(data).hexdigest()
    return Ok(Weights(model, version, data, digest))


__all__ = ["Weights", "parse_weights"]
