"""The stated targets that the soak checks, and its own tolerances."""

from __future__ import annotations

ANSWER_SLACK_S = 1.0
"""Time after the limit of a request by which it must be answered."""
BUSY_TOLERANCE_S = 1.0
"""Further time that a caller waits, for a machine that does other work too."""
CONFIGURATION_LIMIT_S = 2.0
"""Time after which an acknowledged configuration is in force."""
DRAIN_LIMIT_S = 2.0
"""Time after which a draining endpoint receives nothing more."""
GRACE_S = 8.0
"""Time from SIGTERM to SIGKILL."""
RETRY_RATIO = 0.05
"""Retries of all VMs together that each request of a service allows.

This and the slack are small, so that the faults of a soak reach the limit.
"""
RETRY_SLACK = 6.0
"""Retries that are allowed in each window in addition."""
RETRY_WINDOW_S = 10.0
"""Length of the windows in which retries are counted."""
PART_CRASHES = 5
"""Crashes after which all VMs must refuse a part of prompts."""
PART_REQUESTS = 3
"""Requests with such a part that may still reach engines."""
FAILED_FIRST = 5
"""Requests that may fail in any case at a VM that is cut off.

Half of what the users allow, since a soak has fewer requests.
"""
REMOVED_KEY_LIMIT_S = 5.0
"""Time after which an acknowledged removal of a key is in force anywhere."""
QUOTA_WINDOW_S = 8.0
"""Length of the windows in which units of an account are counted."""
QUOTA_OVERAGE = 0.1
"""Share by which an account may exceed its quota."""
QUOTA_SLACK = 3.0
"""Units that each account may use in a window in addition."""
STABLE_S = 3.0
"""Time after a fault during which a VM or service still counts as affected."""

__all__ = [
    "ANSWER_SLACK_S",
    "BUSY_TOLERANCE_S",
    "CONFIGURATION_LIMIT_S",
    "DRAIN_LIMIT_S",
    "FAILED_FIRST",
    "GRACE_S",
    "PART_CRASHES",
    "PART_REQUESTS",
    "QUOTA_OVERAGE",
    "QUOTA_SLACK",
    "QUOTA_WINDOW_S",
    "REMOVED_KEY_LIMIT_S",
    "RETRY_RATIO",
    "RETRY_SLACK",
    "RETRY_WINDOW_S",
    "STABLE_S",
]
