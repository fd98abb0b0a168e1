"""What the crashes of engines say about one part of prompts.

An engine that crashes loses many runs, and most of them are innocent. A part is
blamed only if its run had just begun, and if no run with it has lasted for some
time; other runs show that their parts are sound. Each VM judges by its own runs
and by the crashes that all VMs share.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable, Mapping

from burdockspan.resilience.quarantine import Crash, Decision

# After three crashes, with another two that may be on their way, no more than
# five engines have crashed.
CRASHES_TO_REFUSE = 3
# A run that has sent events for this time has not crashed its engine.
SURVIVAL_S = 0.5
# For this time after a run with a part has lasted, crashes do not count against
# the part: sound parts are in many of the runs that are lost.
TRUST_S = 10.0
# Crashes that one VM sees within this time may have one cause, such as the loss
# of a zone.
SAME_CAUSE_S = 0.5
# How long a part is refused before one request with it is tried again, which
# doubles with each trial.
TRIAL_INTERVAL_S = 120.0
MAX_TRIAL_INTERVAL_S = 3600.0
# After these, the interval is the longest one.
_MAX_DOUBLINGS = 5
# A part with fewer crashes is forgotten after this time without another one.
SUSPICION_S = 120.0


@dataclasses.dataclass(frozen=True)
class CrashEvidence:
    """Evidence on one part; times in monotonic seconds of this VM.

    Attributes:
      learned_s_by_crash: crashes that the part is blamed for, and when this VM
        learned of each.
      survived_s: when a run with the part last proved it sound.
      own_crashes: crashes that this VM has seen since then.
      own_crash_s: the latest of these.
      trials: number of requests with the part that have been tried since it is
        refused.
      trial_s: the latest of these.
    """

    learned_s_by_crash: Mapping[Crash, float] = dataclasses.field(
        default_factory=dict
    )
    survived_s: float = -math.inf
    own_crashes: int = 0
    own_crash_s: float = -math.inf
    trials: int = 0
    trial_s: float = -math.inf


def record_survival(evidence: CrashEvidence, now_s: float) -> CrashEvidence:
    """Returns the evidence after a run with the part has lasted."""
    return dataclasses.replace(evidence, survived_s=now_s, own_crashes=0)


def record_crash(
    evidence: CrashEvidence, crash: Crash, now_s: float
) -> CrashEvidence:
    """Returns the evidence after a crash under a run that had just begun.

    The part is blamed for the crash only if it is not trusted.
    """
    if crash in evidence.learned_s_by_crash:
        return evidence
    if now_s - evidence.own_crash_s < SAME_CAUSE_S:
        return evidence
    seen = dataclasses.replace(
        evidence, own_crashes=evidence.own_crashes + 1, own_crash_s=now_s
    )
    if now_s <= _trusted_until_s(seen):
        return seen
    return learn_crashes(seen, (crash,), 0, now_s)


def learn_crashes(
    evidence: CrashEvidence,
    crashes: Iterable[Crash],
    trials: int,
    now_s: float,
) -> CrashEvidence:
    """Returns the evidence with the crashes and trials that a VM shares."""
    learned = dict.fromkeys(crashes, now_s)
    merged = dataclasses.replace(
        evidence,
        learned_s_by_crash={**learned, **evidence.learned_s_by_crash},
    )
    if trials <= evidence.trials:
        return merged
    return dataclasses.replace(merged, trials=trials, trial_s=now_s)


def decide(evidence: CrashEvidence, now_s: float) -> Decision:
    """Returns the decision on requests with the part."""
    if not _is_refused(evidence):
        return Decision.ALLOW
    is_due = now_s >= _last_activity_s(evidence) + _trial_interval_s(evidence)
    return Decision.SINGLE if is_due else Decision.REFUSE


def is_contradicted(evidence: CrashEvidence) -> bool:
    """Whether a run has lasted since the part was blamed."""
    learned_s = evidence.learned_s_by_crash.values()
    return (
        evidence.survived_s > min(learned_s, default=math.inf)
        and not evidence.own_crashes
    )


def is_expired(evidence: CrashEvidence, now_s: float) -> bool:
    """Whether the evidence no longer matters."""
    lifetime_s = SUSPICION_S
    if _is_refused(evidence):
        lifetime_s = 2.0 * MAX_TRIAL_INTERVAL_S
    is_trusted = now_s <= evidence.survived_s + TRUST_S
    return not is_trusted and now_s > _last_activity_s(evidence) + lifetime_s


def _is_refused(evidence: CrashEvidence) -> bool:
    trusted_until_s = _trusted_until_s(evidence)
    crashes = sum(
        learned_s > trusted_until_s
        for learned_s in evidence.learned_s_by_crash.values()
    )
    return crashes >= CRASHES_TO_REFUSE


def _trusted_until_s(evidence: CrashEvidence) -> float:
    """Returns when crashes begin to count against the part.

    A VM that itself has seen enough crashes since a run lasted does not trust
    the part any longer.
    """
    if evidence.own_crashes >= CRASHES_TO_REFUSE:
        return evidence.survived_s
    return evidence.survived_s + TRUST_S


def _last_activity_s(evidence: CrashEvidence) -> float:
    return max(
        evidence.trial_s,
        evidence.own_crash_s,
        *evidence.learned_s_by_crash.values(),
    )


def _trial_interval_s(evidence: CrashEvidence) -> float:
    # The number of trials comes from the store. A power of it may be too large
    # to compute.
    doublings = min(evidence.trials, _MAX_DOUBLINGS)
    return min(TRIAL_INTERVAL_S * 2.0**doublings, MAX_TRIAL_INTERVAL_S)


__all__ = [
    "CRASHES_TO_REFUSE",
    "SAME_CAUSE_S",
    "SUSPICION_S",
    "SURVIVAL_S",
    "TRIAL_INTERVAL_S",
    "TRUST_S",
    "CrashEvidence",
    "decide",
    "is_contradicted",
    "is_expired",
    "learn_crashes",
    "record_crash",
    "record_survival",
]
