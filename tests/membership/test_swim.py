"""Who is up: news by a few members talking to each other in simulated time, and the rules of which news
counts.
"""

import random
from typing import Any

import pytest

from pumicenotch.lab.fleets import Day
from pumicenotch.membership.messages import (
    Ack,
    Changed,
    MessageDecodeError,
    News,
    Opinion,
    Ping,
    Refused,
    Send,
    Standing,
    Who,
    Whole,
    message_of,
    plain,
)
from pumicenotch.membership.swim import Members


def day_of(many: int, seed: int = 1, **more: Any) -> Day:
    """Members alone: no voter is ever there."""
    day = Day(seed, **more)
    day.voters = {"n0": "n0"}  # whom to join by
    for at in range(many):
        day.add(f"n{at}", f"z{at % 3}")
    day.start()
    day.until(lambda: all(len(members(day, f"n{at}").alive()) == many - 1 for at in range(many)))
    return day


def members(day: Day, name: str) -> Members:
    core = day.processes[name].core
    assert core is not None
    return core.members


def thought(day: Day, name: str) -> list[Opinion]:
    """By all others that are up."""
    return [
        members(day, other).opinion(name)
        for other, process in day.processes.items()
        if process.up and other != name
    ]


def test_a_death_is_known_to_all_and_a_new_life_too() -> None:
    day = day_of(12)
    day.kill("n5")
    took = day.until(lambda: set(thought(day, "n5")) == {Opinion.DEAD}, 60_000.0)
    assert took < 45_000.0
    day.boot("n5")
    day.until(lambda: set(thought(day, "n5")) == {Opinion.ALIVE}, 30_000.0)


def test_one_that_leaves_is_told_at_once() -> None:
    day = day_of(8)
    day.put("n3", "left")
    day.kill("n3")
    day.until(
        lambda: all(
            members(day, f"n{at}").news["n3"].standing is Standing.OUT for at in range(8) if at != 3
        ),
        8_000.0,
    )


def test_no_false_death_with_a_tenth_of_the_messages_lost() -> None:
    day = day_of(15, loss=0.1)
    deaths = 0
    for _ in range(600):
        day.run(500.0)
        deaths += sum(Opinion.DEAD in thought(day, f"n{at}") for at in range(15))
    assert deaths == 0


def test_a_slow_member_buries_nobody_and_is_not_buried() -> None:
    day = day_of(12)
    for name in ("n1", "n2"):
        day.processes[name].slow_ms = 600.0  # twice as long as a direct answer may take
    deaths, slowest = 0, 0
    for _ in range(400):
        day.run(500.0)
        deaths += sum(Opinion.DEAD in thought(day, f"n{at}") for at in range(12))
        slowest = max(slowest, *(members(day, name).slow for name in ("n1", "n2")))
    assert deaths == 0
    assert slowest >= 2  # they know that it is they


def test_two_parts_find_together_after_a_cut() -> None:
    day = day_of(9)
    day.isolate("z1")
    day.until(lambda: members(day, "n0").opinion("n1") is Opinion.DEAD, 90_000.0)
    day.run(60_000.0)
    day.heal()
    day.until(
        lambda: all(set(thought(day, f"n{at}")) == {Opinion.ALIVE} for at in range(9)), 120_000.0
    )


def test_a_pause_of_minutes_is_refuted() -> None:
    day = day_of(6)
    day.stop("n4")
    day.until(lambda: set(thought(day, "n4")) == {Opinion.DEAD}, 90_000.0)
    day.run(120_000.0)
    day.wake("n4")
    day.until(lambda: set(thought(day, "n4")) == {Opinion.ALIVE}, 60_000.0)


ME = Who("me", "me:1", "1", 100, "a", "r")
OTHER = Who("n", "n:1", "1", 50, "a", "r")


def made() -> Members:
    return Members(ME, 0.0, ["n:1"], random.Random(1))


def news(who: Who = OTHER, incarnation: int = 1, opinion: Opinion = Opinion.ALIVE) -> News:
    return News(who, incarnation, Standing.SERVING, opinion, "x")


def test_the_graver_opinion_counts_until_a_higher_incarnation() -> None:
    me = made()
    me.step(1.0, "message", "x", Ping(1, (news(),), ()))
    me.step(2.0, "message", "x", Ping(2, (news(opinion=Opinion.DEAD),), ()))
    me.step(3.0, "message", "x", Ping(3, (news(),), ()))
    assert me.opinion("n") is Opinion.DEAD
    changed = me.step(4.0, "message", "x", Ping(4, (news(incarnation=2),), ()))
    assert me.opinion("n") is Opinion.ALIVE
    assert [each.news.incarnation for each in changed if isinstance(each, Changed)] == [2]


def test_what_is_thought_of_me_wrongly_is_refuted_at_once() -> None:
    me = made()
    effects = me.step(1.0, "message", "x", Ping(1, (news(ME, 3, Opinion.SUSPECT),), ()))
    ack = next(each.message for each in effects if isinstance(each, Send))
    assert isinstance(ack, Ack) and ack.news[0].incarnation == 4


@pytest.mark.parametrize("opinion", [Opinion.SUSPECT, Opinion.DEAD])
def test_one_that_pings_hears_in_the_answer_what_is_thought_of_it(opinion: Opinion) -> None:
    """A member held for dead is pinged by nobody: its own pings are the first occasion to tell it."""
    me = made()
    me.step(1.0, "message", "z", Ping(1, (news(opinion=opinion),), ()))
    for number in range(2, 40):  # until it is no longer handed on to everybody
        me.step(1.0, "message", "z", Ping(number, (), ()))
    effects = me.step(2.0, "message", "n", Ping(40, (news(),), ()))
    ack = next(each.message for each in effects if isinstance(each, Send))
    assert isinstance(ack, Ack) and [each.opinion for each in ack.news if each.who.name == "n"] == [
        opinion
    ]
    again = me.step(3.0, "message", "n", Ping(41, (news(incarnation=2),), ()))
    ack = next(each.message for each in again if isinstance(each, Send))
    assert me.opinion("n") is Opinion.ALIVE
    assert isinstance(ack, Ack) and all(each.opinion is Opinion.ALIVE for each in ack.news)


def test_a_former_life_of_mine_that_is_gone_gives_way_though_the_clock_was_set_back() -> None:
    me = made()
    me.step(
        1.0,
        "message",
        "x",
        Ping(1, (news(ME._replace(life="0", began=9000), 1, Opinion.DEAD),), ()),
    )
    assert me.me.began == 9001
    effects = me.step(2.0, "message", "x", Ping(2, (news(ME._replace(life="2", began=9999)),), ()))
    assert [each.other.life for each in effects if isinstance(each, Refused)] == ["2"]


def test_suspicion_ends_sooner_the_more_share_it() -> None:
    me = made()
    others = tuple(news(Who(f"o{at}", f"o{at}:1", "1", 1, "", "")) for at in range(8))
    me.step(1.0, "message", "x", Whole(others, False))
    me.step(1.0, "message", "x", Ping(1, (news(opinion=Opinion.SUSPECT),), ()))
    alone = me.suspicions["n"].due
    for by in ("a", "b", "c", "c"):
        me.step(2.0, "message", "x", Ping(2, (news(opinion=Opinion.SUSPECT)._replace(by=by),), ()))
    assert me.suspicions["n"].due - 1.0 == pytest.approx((alone - 1.0) / Members.SUSPECT_SPREAD)


def test_a_halt_goes_from_member_to_member() -> None:
    day = day_of(10)
    answer = day.ask("n7", "halt", "h1", "op", "smoke")
    assert day.answers[answer][0] is None
    cores = [process.core for process in day.processes.values() if process.core is not None]
    day.until(lambda: all(core.halt_reason() == "halted: by op: smoke" for core in cores), 8_000.0)


def test_messages_go_through_their_plain_form() -> None:
    ping = Ping(7, (news(),), (("halt", (1, "a", "b", "c")),))
    assert message_of(plain(ping)) == ping
    for wrong in (
        [],
        ["ping"],
        ["ping", "x", (), ()],
        ["whole", ((1, 2),), True],
        ["help", 1, 2],
        ["ping", 1, (news(),) * 65, ()],
        ["ping", 1, (news(ME._replace(name="")),), ()],
    ):
        with pytest.raises(MessageDecodeError):
            message_of(wrong)


def test_a_probe_of_ones_own_that_fails_confirms_a_suspicion() -> None:
    me = made()
    others = tuple(news(Who(f"o{at}", f"o{at}:1", "1", 1, "", "")) for at in range(8))
    me.step(1.0, "message", "x", Whole(others, False))
    me.step(1.0, "message", "x", Ping(1, (news(opinion=Opinion.SUSPECT),), ()))
    alone = me.suspicions["n"].due
    now = 1.0
    while (
        len(me.suspicions["n"].by) == 1 and now < alone
    ):  # somebody else's, until the probe is in vain
        now = me.due()
        for effect in me.step(now, "time"):
            if (
                isinstance(effect, Send)
                and isinstance(effect.message, Ping)
                and effect.address[0] == "o"
            ):
                me.step(now, "message", effect.address, Ack(effect.message.number, (), ()))
    assert me.suspicions["n"].by == {ME.name, "x"}
    assert me.suspicions["n"].due < alone
