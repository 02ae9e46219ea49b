"""Whether a version does harm: by drawn days with members that differ, bursts, and load that doubles."""

import pytest

from benchmarks.release import Day, measure
from pumicenotch.fleet.canary.judge import Observation, SequentialJudge, Verdict


def close(judge: SequentialJudge, *rows: tuple[str, bool, int, int]) -> Verdict:
    for row in rows:
        judge.observe(Observation(*row))
    return judge.close_window()


def test_good_releases_go_through_where_a_fixed_threshold_halts_them() -> None:
    found = measure(40, 100, 0.0, False)
    assert found["judge_halts"] == 0.0
    assert found["threshold_halts"] >= 0.25  # the days are hard enough to fool it


@pytest.mark.parametrize(
    "harm, one_class, members", [(0.2, False, 1), (0.2, True, 1), (0.05, False, 3)]
)
def test_harm_is_found_while_few_members_have_it(
    harm: float, one_class: bool, members: int
) -> None:
    found = measure(15, 300, harm, one_class)
    assert found["judge_halts"] == 1.0
    assert found["members_worst"] <= members


def test_what_both_sides_suffer_is_nobodys_version() -> None:
    judge = SequentialJudge()
    for _ in range(300):
        verdict = close(judge, ("a", True, 40, 20), ("a", False, 120, 60))
    assert not verdict.harmful and verdict.conclusive


def test_only_like_is_held_against_like() -> None:
    """The released zone is the worse one, and has no others: nothing is known of it."""
    judge = SequentialJudge()
    for _ in range(300):
        verdict = close(judge, ("a", True, 100, 50), ("b", False, 100, 0))
    assert not verdict.harmful
    assert judge.bound.sum == 0.0


def test_too_little_traffic_is_not_known_rather_than_good() -> None:
    judge = SequentialJudge()
    for _ in range(20):
        verdict = close(judge, ("a", True, 1, 0), ("a", False, 3, 0))
    assert (verdict.harmful, verdict.conclusive) == (False, False)
    assert verdict.text == "not known yet: 20 tasks of released ones were seen"


def test_the_text_says_how_much_and_where() -> None:
    judge = SequentialJudge()
    for _ in range(60):
        verdict = close(
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


def test_looking_after_every_window_costs_nothing_that_was_not_counted() -> None:
    """A bound for one look alone is passed by harmless days; the one for all looks at once is not."""
    passed = 0
    for seed in range(30):
        day, judge, peeked = Day(seed, 0.0, False), SequentialJudge(), False
        for at in range(180):
            for told in day.window(at, (0, 4, 8)):
                judge.observe(told)
            judge.close_window()
            peeked = peeked or judge.bound.sum > 2.6 * judge.bound.variance**0.5  # one look at 0.5%
            assert judge.bound.sum < judge.bound.value()
        passed += peeked
    assert passed >= 1
