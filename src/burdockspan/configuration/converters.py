"""Converters from YAML values to typed values, with units."""

from __future__ import annotations

import ipaddress
import math
import re
import urllib.parse
from collections.abc import Iterable, Mapping

from result import Err, Ok, Result

from burdockspan.configuration.fields import Convert

SECONDS: Mapping[str, float] = {
    "ms": 0.001,
    "s": 1.0,
    "min": 60.0,
    "h": 3600.0,
    "d": 86400.0,
}
MILLISECONDS: Mapping[str, float] = {"us": 0.001, "ms": 1.0, "s": 1000.0}
BYTES: Mapping[str, float] = {
    "B": 1.0,
    "kB": 1e3,
    "MB": 1e6,
    "GB": 1e9,
    "TB": 1e12,
    "KiB": 1024.0,
    "MiB": 1024.0**2,
    "GiB": 1024.0**3,
}
BYTES_PER_S: Mapping[str, float] = {
    "MB/s": 1e6,
    "GB/s": 1e9,
    "Gbit/s": 1.25e8,
}
TOKENS: Mapping[str, float] = {"tokens": 1.0}
TOKENS_PER_S: Mapping[str, float] = {"tokens/s": 1.0}
REQUESTS_PER_S: Mapping[str, float] = {
    "requests/s": 1.0,
    "requests/min": 1 / 60,
}
SHARE: Mapping[str, float] = {"%": 0.01}

_NUMBER = r"[0-9]+(?:\.[0-9]+)?(?:[eE][+-]?[0-9]+)?"
_QUANTITY = re.compile(rf"({_NUMBER}) *([A-Za-z/%]+)")


def text(pattern: str, allowed: str) -> Convert[str]:
    """Accepts text that matches a whole regular expression."""

    def convert(value: object) -> Result[str, str]:
        if isinstance(value, str) and re.fullmatch(pattern, value):
            return Ok(value)
        return Err(allowed)

    return convert


def choice(names: Iterable[str]) -> Convert[str]:
    """Accepts one of several words."""
    known = tuple(names)

    def convert(value: object) -> Result[str, str]:
        if isinstance(value, str) and value in known:
            return Ok(value)
        return Err(f"one of: {', '.join(known)}")

    return convert


def flag(value: object) -> Result[bool, str]:
    """Accepts true or false."""
    if isinstance(value, bool):
        return Ok(value)
    return Err("true or false")


def count(low: int, high: int) -> Convert[int]:
    """Accepts a whole number in a range."""

    def convert(value: object) -> Result[int, str]:
        whole = isinstance(value, int) and not isinstance(value, bool)
        if whole and low <= int(str(value)) <= high:
            return Ok(int(str(value)))
        return Err(f"a whole number from {low} to {high}, without a unit")

    return convert


def number(value: object) -> Result[float, str]:
    """Accepts a number of at least 0, without a unit."""
    # YAML reads a number in scientific notation without a point as text.
    if isinstance(value, str) and re.fullmatch(_NUMBER, value):
        value = float(value)
    if isinstance(value, int | float) and not isinstance(value, bool):
        converted = float(value)
        if math.isfinite(converted) and converted >= 0.0:
            return Ok(converted)
    return Err("a number of at least 0, without a unit")


def share(value: object) -> Result[float, str]:
    """Accepts a fraction as a number from 0 to 1 or a percentage."""
    number = value
    if isinstance(value, str):
        number = quantity(SHARE, "%", 0.0, 1.0)(value).ok()
    if isinstance(number, bool) or not isinstance(number, int | float):
        return Err("a number from 0 to 1, or a percentage such as '5 %'")
    if not 0.0 <= number <= 1.0:
        return Err("a number from 0 to 1, or a percentage such as '5 %'")
    return Ok(float(number))


def quantity(
    units: Mapping[str, float], example_unit: str, low: float, high: float
) -> Convert[float]:
    """Accepts a number with a unit, such as `1.5 ms`.

    Args:
      units: factor that converts each unit to the unit of the result.
      example_unit: unit that messages show the range in.
      low: smallest result that is allowed.
      high: largest result that is allowed.
    """
    factor = units[example_unit]
    bounds = f"from {low / factor:g} to {high / factor:g} {example_unit}"
    allowed = f"a number with a unit ({', '.join(units)}), {bounds}"

    def convert(value: object) -> Result[float, str]:
        match = _QUANTITY.fullmatch(value) if isinstance(value, str) else None
        if match is None or match[2] not in units:
            return Err(allowed)
        number = float(match[1]) * units[match[2]]
        if not math.isfinite(number) or not low <= number <= high:
            return Err(allowed)
        # The factors are inexact in binary. Rounding to 12 digits makes equal
        # quantities in different units, such as 0.3 s and 300 ms, equal.
        return Ok(float(f"{number:.12g}"))

    return convert


def address(allow_unspecified: bool) -> Convert[str]:
    """Accepts `ip:port` with a numeric IP address.

    Args:
      allow_unspecified: whether an address such as 0.0.0.0, which a server
        can listen on but no client can connect to, is allowed.
    """
    restriction = "" if allow_unspecified else " that others can connect to"
    allowed = (
        f"ip:port with a numeric IP address{restriction} and a port from 1 to "
        "65535, such as 10.0.0.5:8080 or [fd00::5]:8080"
    )

    def convert(value: object) -> Result[str, str]:
        if not isinstance(value, str):
            return Err(allowed)
        host, _, port = value.rpartition(":")
        parsed = _parse_host(host)
        if parsed is None or not _is_port(port):
            return Err(allowed)
        if parsed.is_unspecified and not allow_unspecified:
            return Err(allowed)
        return Ok(value)

    return convert


def url(value: object) -> Result[str, str]:
    """Accepts an http or https URL whose host is a numeric IP address."""
    allowed = (
        "an http or https URL with a numeric IP address and no credentials, "
        "such as http://10.0.0.5:8080"
    )
    if not isinstance(value, str) or re.search(r"\s", value):
        return Err(allowed)
    try:
        parts = urllib.parse.urlsplit(value)
        port = parts.port
    except ValueError:
        return Err(allowed)
    host = parts.netloc
    if port is not None:
        host = host.rpartition(":")[0]
    if parts.scheme not in ("http", "https") or _parse_host(host) is None:
        return Err(allowed)
    if port == 0 or parts.query or parts.fragment:
        return Err(allowed)
    return Ok(value.rstrip("/"))


def base_url(value: object) -> Result[str, str]:
    """Accepts `http://ip:port` with a numeric IP address."""
    allowed = "http://ip:port with a numeric IP address, without a path"
    if not isinstance(value, str) or not value.startswith("http://"):
        return Err(allowed)
    stripped = value.rstrip("/")
    converted = address(allow_unspecified=False)(
        stripped.removeprefix("http://")
    )
    return Ok(stripped) if isinstance(converted, Ok) else Err(allowed)


def list_of(convert_item: Convert[str]) -> Convert[tuple[str, ...]]:
    """Accepts a list of distinct items that the converter accepts."""

    def convert(value: object) -> Result[tuple[str, ...], str]:
        # No item may be None, so this error describes what is allowed.
        rule = convert_item(None).err() or ""
        if not isinstance(value, list):
            return Err(f"a list; each item is {rule}")
        items = tuple(convert_item(item) for item in value)
        if any(item.is_err() for item in items):
            return Err(f"a list; each item is {rule}")
        texts = tuple(item.unwrap() for item in items)
        if len(set(texts)) != len(texts):
            return Err("a list without repeated items")
        return Ok(texts)

    return convert


def _parse_host(
    host: str,
) -> ipaddress.IPv4Address | ipaddress.IPv6Address | None:
    try:
        if host.startswith("[") and host.endswith("]"):
            return ipaddress.IPv6Address(host[1:-1])
        return ipaddress.IPv4Address(host)
    except ValueError:
        return None


def _is_port(text: str) -> bool:
    return bool(re.fullmatch(r"[1-9][0-9]{0,4}", text)) and int(text) < 65536


LISTEN_ADDRESS = address(allow_unspecified=True)
CONNECT_ADDRESS = address(allow_unspecified=False)

__all__ = [
    "BYTES",
    "BYTES_PER_S",
    "CONNECT_ADDRESS",
    "LISTEN_ADDRESS",
    "MILLISECONDS",
    "REQUESTS_PER_S",
    "SECONDS",
    "SHARE",
    "TOKENS",
    "TOKENS_PER_S",
    "address",
    "base_url",
    "choice",
    "count",
    "flag",
    "list_of",
    "number",
    "quantity",
    "share",
    "text",
    "url",
]
