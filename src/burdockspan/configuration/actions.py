"""Priority and repeatability that a questionnaire sets for plain services."""

from __future__ import annotations

from burdockspan.configuration.answers import Work
from burdockspan.values.submission import Priority


def split_action(action: str) -> tuple[str, str, str]:
    """Returns method, service and path of `METHOD service/path`."""
    method, _, service_and_path = action.partition(" ")
    service, slash, path = service_and_path.partition("/")
    return method, service, slash + path


def covers(action: str, service: str, method: str, path: str) -> bool:
    """Tells whether a listed action includes calls of a method under a path.

    Paths match by prefix, as they do for routes. Otherwise a route with a
    longer prefix could exempt calls from an action that must never repeat.
    """
    listed_method, listed_service, listed_path = split_action(action)
    same = (listed_method, listed_service) == (method, service)
    return same and path.startswith(listed_path)


def find_priority(
    work: Work, service: str, prefix: str
) -> tuple[Priority, str] | None:
    """Returns a route's priority and the answer that sets it, if any."""
    lists = (
        (Priority.URGENT, "work.urgent", work.urgent),
        (Priority.PATIENT, "work.patient", work.patient),
    )
    for name in (f"{service}{prefix}", service):
        for priority, answer, listed in lists:
            if name in listed:
                return priority, f"{answer}: {name}"
    return None


__all__ = ["covers", "find_priority", "split_action"]
