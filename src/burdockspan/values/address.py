"""Addresses of the form `ip:port`."""

from __future__ import annotations

import re

Address = tuple[str, int]

_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_ADDRESS_PATTERN = re.compile(rf"({_OCTET}(?:\.{_OCTET}){{3}}):([0-9]{{1,5}})")
_MAX_PORT = 65_535


def parse_address(text: object) -> Address | None:
    """Returns the IPv4 address and the port of `ip:port`.

    Returns None if a value is anything else, such as a host name, which would
    have to be resolved.
    """
    if not isinstance(text, str):
        return None
    matched = _ADDRESS_PATTERN.fullmatch(text)
    if matched is None:
        return None
    port = int(matched[2])
    return (matched[1], port) if port <= _MAX_PORT else None


__all__ = ["Address", "parse_address"]
