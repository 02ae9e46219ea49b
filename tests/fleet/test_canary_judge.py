"""Tests of the canary judge on random days: members that differ, bursts, and load that doubles."""

import pytest

from benchmarks.release import Day, measure
from pumicenotch.fleet.canary.judge import Observation, SequentialJudge, Verdict


def observe_window(judge: SequentialJudge, *rows: tuple[str, bool, int, int]) -> Verdict:
    for row in rows:
        judge.observe(Observation(*row))
    return judge.close_window()


def test_harmless_releases_pass_where_a_fixed_threshold_halts_them() -> None:
    measured = measure(40, 100, 0.0, False)
    assert measured["judge_halts"] == 0.0
    assert measured["threshold_halts"] >= 0.25  # the days are hard enough to mislead the threshold


@pytest.mark.parametrize(
    "harm, one_class, members", [(0.2, False, 1), (0.2, True, 1), (0.05, False, 3)]
)
def test_harm_is_detected_while_few_members_run_the_version(
    harm: float, one_class: bool, members: int
) -> None:
    measured = measure(15, 300, harm, one_class)
    assert measured["judge_halts"] == 1.0
    assert measured["members_worst"] <= members


def test_equal_failures_in_both_groups_are_not_harm() -> None:
    judge = SequentialJudge()
    for _ in range(300):
        verdict = observe_window(judge, ("a", True, 40, 20), ("a", False, 120, 60))
    assert not verdict.harmful and verdict.conclusive


def test_groups_are_compared_only_within_a_stratum() -> None:
    """The released zone fails more often, but has no other members to compare with."""
    judge = SequentialJudge()
    for _ in range(300):
        verdict = observe_window(judge, ("a", True, 100, 50), ("b", False, 100, 0))
    assert not verdict.harmful
    assert judge.bound.sum == 0.0


def test_too_little_traffic_is_inconclusive() -> None:
    judge = SequentialJudge()
    for _ in range(20):
        verdict = observe_window(judge, ("a", True, 1, 0), ("a", False, 3, 0))
    assert (verdict.harmful, verdict.conclusive) == (False, False)
    assert verdict.text == "not known yet: 20 tasks of released ones were seen"


def test_a_harmful_verdict_gives_the_excess_and_the_worst_stratum() -> None:
    judge = SequentialJudge()
    for _ in range(60):
        verdict = observe_window(
            judge,
            ("a/preview", True, 50, 1),
            ("a/preview", False, 150, 3),
            ("a/submit", True, 50, 15),
            ("a/submit", False, 150, 3),
        )
        if verdict.harmful:
            break
    assert verdict.harmful and verdict.text.endswith("most in a/submit")
    assert verdict.excess > 0.05


def test_harmless_days_stay_under_the_bound_when_examined_after_every_window() -> None:
    """Harmless days exceed a bound for a single examination, but not the bound for all windows."""
    exceeded_days = 0
    for seed in range(30):
        day, judge, has_exceeded = Day(seed, 0.0, False), SequentialJudge(), False
        for second in range(180):
            for observation in day.window(second, (0, 4, 8)):
                judge.observe(observation)
            judge.close_window()
            # The bound of a single examination at 0.5%
            has_exceeded = has_exceeded or judge.bound.sum > 2.6 * judge.bound.variance**0.5
            assert judge.bound.sum < judge.bound.value()
        exceeded_days += has_exceeded
    assert exceeded_days >= 1
