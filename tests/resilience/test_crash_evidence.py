"""Evidence on parts of prompts: what is blamed, trusted and tried again."""

from __future__ import annotations

import random
import unittest

from burdockspan.resilience import crash_evidence
from burdockspan.resilience.crash_evidence import (
    CRASHES_TO_REFUSE,
    MAX_TRIAL_INTERVAL_S,
    SAME_CAUSE_S,
    SURVIVAL_S,
    SUSPICION_S,
    TRIAL_INTERVAL_S,
    TRUST_S,
    CrashEvidence,
    decide,
    is_expired,
    learn_crashes,
    record_crash,
    record_survival,
)
from burdockspan.resilience.quarantine import Decision

# From the begin of a run until it has proved its parts sound.
_YOUNG_S = SURVIVAL_S + 0.1
_APART_S = 2.0 * SAME_CAUSE_S


def _crash_again(
    evidence: CrashEvidence, times: int, now_s: float
) -> CrashEvidence:
    for number in range(times):
        crash = (f"i-{now_s}-{number}", "1")
        evidence = record_crash(evidence, crash, now_s + number * _APART_S)
    return evidence


class CrashEvidenceTest(unittest.TestCase):
    def test_part_is_refused_from_the_third_crash(self) -> None:
        """Guards against a limit that is never reached, or too soon."""
        evidence = _crash_again(CrashEvidence(), CRASHES_TO_REFUSE - 1, 100.0)
        self.assertIs(decide(evidence, 103.0), Decision.ALLOW)
        evidence = _crash_again(evidence, 1, 104.0)
        self.assertIs(decide(evidence, 104.0), Decision.REFUSE)

    def test_crash_that_two_vms_report_counts_once(self) -> None:
        """Guards against a verdict after a single crash."""
        crash = ("i-1", "1")
        evidence = record_crash(CrashEvidence(), crash, 100.0)
        for now_s in (100.1, 101.0, 102.0):
            evidence = learn_crashes(evidence, (crash,), 0, now_s)
            evidence = record_crash(evidence, crash, now_s)
        self.assertEqual(len(evidence.learned_s_by_crash), 1)

    def test_engines_that_are_lost_together_count_once(self) -> None:
        """Guards against blaming the requests that run when a zone is lost."""
        evidence = CrashEvidence()
        for number in range(9):
            crash = (f"i-{number}", "1")
            now_s = 100.0 + number * SAME_CAUSE_S / 10
            evidence = record_crash(evidence, crash, now_s)
        self.assertIs(decide(evidence, 101.0), Decision.ALLOW)

    def test_part_of_a_run_that_lasts_is_not_blamed(self) -> None:
        """Guards against blaming a part that most prompts have."""
        evidence = CrashEvidence()
        for number in range(20):
            now_s = 100.0 + number * TRUST_S / 2
            evidence = record_survival(evidence, now_s)
            evidence = record_crash(evidence, (f"i-{number}", "1"), now_s + 1)
        self.assertFalse(evidence.learned_s_by_crash)

    def test_run_that_lasts_ends_a_verdict(self) -> None:
        """Guards against a verdict that proof of the contrary leaves."""
        evidence = _crash_again(CrashEvidence(), 3, 100.0)
        evidence = record_survival(evidence, 110.0)
        self.assertIs(decide(evidence, 110.0), Decision.ALLOW)
        self.assertTrue(crash_evidence.is_contradicted(evidence))

    def test_part_that_starts_to_crash_engines_is_refused(self) -> None:
        """Guards against trust that outlives a row of crashes."""
        evidence = record_survival(CrashEvidence(), 100.0)
        evidence = _crash_again(evidence, 5, 100.5)
        self.assertIs(decide(evidence, 106.0), Decision.REFUSE)

    def test_trials_become_rarer(self) -> None:
        """Guards against a part that crashes an engine at each interval."""
        evidence = _crash_again(CrashEvidence(), 3, 0.0)
        now_s, waits_s = 2.0 * _APART_S, []
        for number in range(8):
            started_s = now_s
            while decide(evidence, now_s) is Decision.REFUSE:
                now_s += 10.0
            waits_s.append(now_s - started_s)
            evidence = learn_crashes(evidence, (), number + 1, now_s)
            evidence = record_crash(evidence, (f"t-{number}", "1"), now_s)
        self.assertEqual(waits_s, sorted(waits_s))
        self.assertGreaterEqual(waits_s[0], TRIAL_INTERVAL_S)
        self.assertLess(waits_s[-1], MAX_TRIAL_INTERVAL_S + 20.0)

    def test_old_suspicion_expires(self) -> None:
        """Guards against evidence that is kept for ever."""
        evidence = _crash_again(CrashEvidence(), 2, 100.0)
        self.assertFalse(is_expired(evidence, 100.0 + SUSPICION_S))
        self.assertTrue(is_expired(evidence, 102.0 + SUSPICION_S))
        trusted = record_survival(CrashEvidence(), 100.0)
        self.assertTrue(is_expired(trusted, 101.0 + TRUST_S))


_Run = tuple[int, int, int, float]


def _end_lasting_runs(
    evidence: list[list[CrashEvidence]], young: list[_Run], now_s: float
) -> list[_Run]:
    """Records the runs that have lasted; returns the others."""
    for vm, part, _, lasted_s in young:
        if lasted_s > now_s:
            continue
        survived = record_survival(evidence[vm][part], lasted_s)
        evidence[vm][part] = survived
        if crash_evidence.is_contradicted(survived):
            for other in evidence:
                other[part] = CrashEvidence(survived_s=lasted_s)
    return [run for run in young if run[3] > now_s]


def _play_random_crashes(seed: int, vms: int, engines: int) -> int:
    """Plays crashes without a cause in the requests.

    20 parts are each in a share of the prompts; runs begin at a rate of 0.5 a
    second for each VM, and an engine crashes each 0.8 s for 120 s.

    Returns:
      The number of pairs of VM and part that were refused at any time.
    """
    rng = random.Random(seed)
    parts = 20
    evidence = [[CrashEvidence() for _ in range(parts)] for _ in range(vms)]
    refused = set()
    now_s = 0.0
    next_crash_s = 10.0
    # Runs that have just begun: VM, part, engine, when they have lasted.
    young: list[_Run] = []
    crashes = 0
    while now_s < 130.0:
        now_s += rng.expovariate(0.5 * vms)
        young = _end_lasting_runs(evidence, young, now_s)
        if now_s >= next_crash_s:
            next_crash_s += 0.8
            crashes += 1
            lost = rng.randrange(engines)
            crash = (f"i-{lost}", str(crashes))
            for vm, part, engine, _ in young:
                if engine != lost:
                    continue
                before = evidence[vm][part]
                after = record_crash(before, crash, now_s)
                evidence[vm][part] = after
                if crash in after.learned_s_by_crash:
                    for other in evidence:
                        other[part] = learn_crashes(
                            other[part], (crash,), 0, now_s
                        )
            young = [run for run in young if run[2] != lost]
        # Part 0 is in a third of the prompts, the last ones in a few.
        part = min(int(rng.expovariate(0.35)), parts - 1)
        run = (
            rng.randrange(vms),
            part,
            rng.randrange(engines),
            now_s + _YOUNG_S,
        )
        young.append(run)
        for vm in range(vms):
            for part in range(parts):
                if decide(evidence[vm][part], now_s) is not Decision.ALLOW:
                    refused.add((vm, part))
    return len(refused)


class SoundPartsTest(unittest.TestCase):
    def test_random_crashes_blame_few_sound_parts(self) -> None:
        """Guards against verdicts on parts that only were there."""
        for vms, engines in ((4, 9), (26, 19)):
            refused = sum(
                _play_random_crashes(seed, vms, engines) for seed in range(5)
            )
            self.assertEqual(refused, 0, (vms, engines))


if __name__ == "__main__":
    unittest.main()
