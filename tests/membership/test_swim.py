"""SWIM membership: small groups in simulated time, and the rules of which update prevails."""

import random
from typing import Any

import pytest

from pumicenotch.lab.fleets import Day
from pumicenotch.membership.events import (
    Effect,
    MemberUpdated,
    MessageReceived,
    NameConflict,
    Send,
    Tick,
)
from pumicenotch.membership.member_table import SUSPICION_TIMEOUT_RATIO
from pumicenotch.membership.messages import (
    Ack,
    FullState,
    MemberIdentity,
    MemberPhase,
    MemberState,
    Message,
    MessageDecodeError,
    Ping,
    Update,
    decode,
    encode,
)
from pumicenotch.membership.swim import SwimMembership


def day_of(size: int, seed: int = 1, **settings: Any) -> Day:
    """Members alone: no voter is ever there."""
    day = Day(seed, **settings)
    day.voters = {"n0": "n0"}  # whom to join by
    for number in range(size):
        day.add(f"n{number}", f"z{number % 3}")
    day.start()
    day.until(
        lambda: all(
            len(members(day, f"n{number}").table.alive()) == size - 1 for number in range(size)
        )
    )
    return day


def members(day: Day, name: str) -> SwimMembership:
    core = day.processes[name].core
    assert core is not None
    return core.members


def states_of(day: Day, name: str) -> list[MemberState]:
    """What all others that run believe of a member."""
    return [
        members(day, other).state_of(name)
        for other, process in day.processes.items()
        if process.up and other != name
    ]


def test_a_failed_member_is_declared_dead_by_all_and_its_next_process_is_seen_alive() -> None:
    day = day_of(12)
    day.kill("n5")
    elapsed_ms = day.until(lambda: set(states_of(day, "n5")) == {MemberState.DEAD}, 60_000.0)
    assert elapsed_ms < 45_000.0
    day.boot("n5")
    day.until(lambda: set(states_of(day, "n5")) == {MemberState.ALIVE}, 30_000.0)


def test_a_member_that_leaves_is_known_to_have_left_at_once() -> None:
    day = day_of(8)
    day.put("n3", "left")
    day.kill("n3")
    day.until(
        lambda: all(
            members(day, f"n{number}").table.updates["n3"].phase is MemberPhase.LEFT
            for number in range(8)
            if number != 3
        ),
        8_000.0,
    )


def test_nobody_is_declared_dead_with_a_tenth_of_the_messages_lost() -> None:
    day = day_of(15, loss=0.1)
    deaths = 0
    for _ in range(600):
        day.run(500.0)
        deaths += sum(MemberState.DEAD in states_of(day, f"n{number}") for number in range(15))
    assert deaths == 0


def test_a_degraded_member_declares_nobody_dead_and_is_not_declared_dead() -> None:
    day = day_of(12)
    for name in ("n1", "n2"):
        day.processes[name].slow_ms = 600.0  # twice as long as a direct answer may take
    deaths = 0
    highest_score = 0
    for _ in range(400):
        day.run(500.0)
        deaths += sum(MemberState.DEAD in states_of(day, f"n{number}") for number in range(12))
        highest_score = max(
            highest_score, *(members(day, name).health.score for name in ("n1", "n2"))
        )
    assert deaths == 0
    assert highest_score >= 2  # they know that it is they


def test_two_sides_of_a_healed_partition_find_each_other() -> None:
    day = day_of(9)
    day.isolate("z1")
    day.until(lambda: members(day, "n0").state_of("n1") is MemberState.DEAD, 90_000.0)
    day.run(60_000.0)
    day.heal()
    day.until(
        lambda: all(
            set(states_of(day, f"n{number}")) == {MemberState.ALIVE} for number in range(9)
        ),
        120_000.0,
    )


def test_a_member_that_was_paused_for_minutes_refutes_its_death() -> None:
    day = day_of(6)
    day.stop("n4")
    day.until(lambda: set(states_of(day, "n4")) == {MemberState.DEAD}, 90_000.0)
    day.run(120_000.0)
    day.wake("n4")
    day.until(lambda: set(states_of(day, "n4")) == {MemberState.ALIVE}, 60_000.0)


ME = MemberIdentity("me", "me:1", "1", 100, "a", "r")
OTHER = MemberIdentity("n", "n:1", "1", 50, "a", "r")


def joined_member() -> SwimMembership:
    return SwimMembership(ME, 0.0, ["n:1"], random.Random(1))


def receive(member: SwimMembership, now: float, address: str, message: Message) -> list[Effect]:
    return member.step(now, MessageReceived(address, message))


def update_of(
    who: MemberIdentity = OTHER, incarnation: int = 1, state: MemberState = MemberState.ALIVE
) -> Update:
    return Update(who, incarnation, MemberPhase.SERVING, state, "x")


def member_that_suspects_n() -> SwimMembership:
    """Among eight others, as `x` has reported it."""
    me = joined_member()
    others = tuple(
        update_of(MemberIdentity(f"o{number}", f"o{number}:1", "1", 1, "", ""))
        for number in range(8)
    )
    receive(me, 1.0, "x", FullState(others, False))
    receive(me, 1.0, "x", Ping(1, (update_of(state=MemberState.SUSPECT),), ()))
    return me


def test_the_graver_state_prevails_until_a_higher_incarnation() -> None:
    me = joined_member()
    receive(me, 1.0, "x", Ping(1, (update_of(),), ()))
    receive(me, 2.0, "x", Ping(2, (update_of(state=MemberState.DEAD),), ()))
    receive(me, 3.0, "x", Ping(3, (update_of(),), ()))
    assert me.state_of("n") is MemberState.DEAD
    changed = receive(me, 4.0, "x", Ping(4, (update_of(incarnation=2),), ()))
    assert me.state_of("n") is MemberState.ALIVE
    assert [each.update.incarnation for each in changed if isinstance(each, MemberUpdated)] == [2]


def test_a_suspicion_of_this_member_is_refuted_at_once() -> None:
    me = joined_member()
    effects = receive(me, 1.0, "x", Ping(1, (update_of(ME, 3, MemberState.SUSPECT),), ()))
    ack = next(each.message for each in effects if isinstance(each, Send))
    assert isinstance(ack, Ack) and ack.updates[0].incarnation == 4


@pytest.mark.parametrize("state", [MemberState.SUSPECT, MemberState.DEAD])
def test_the_ack_tells_a_member_that_it_is_suspected_or_declared_dead(state: MemberState) -> None:
    """Nobody pings a member declared dead: its own pings are the first occasion to tell it."""
    me = joined_member()
    receive(me, 1.0, "z", Ping(1, (update_of(state=state),), ()))
    for number in range(2, 40):  # until it is no longer handed on to everybody
        receive(me, 1.0, "z", Ping(number, (), ()))
    effects = receive(me, 2.0, "n", Ping(40, (update_of(),), ()))
    ack = next(each.message for each in effects if isinstance(each, Send))
    assert isinstance(ack, Ack) and [
        each.state for each in ack.updates if each.member.name == "n"
    ] == [state]
    again = receive(me, 3.0, "n", Ping(41, (update_of(incarnation=2),), ()))
    ack = next(each.message for each in again if isinstance(each, Send))
    assert me.state_of("n") is MemberState.ALIVE
    assert isinstance(ack, Ack) and all(each.state is MemberState.ALIVE for each in ack.updates)


def test_a_process_replaces_its_predecessor_though_the_clock_was_set_back() -> None:
    me = joined_member()
    receive(
        me,
        1.0,
        "x",
        Ping(
            1,
            (update_of(ME._replace(process_id="0", started_at_ms=9000), 1, MemberState.DEAD),),
            (),
        ),
    )
    assert me.me.started_at_ms == 9001
    effects = receive(
        me, 2.0, "x", Ping(2, (update_of(ME._replace(process_id="2", started_at_ms=9999)),), ())
    )
    assert [each.namesake.process_id for each in effects if isinstance(each, NameConflict)] == ["2"]


def test_confirmations_shorten_a_suspicion() -> None:
    me = member_that_suspects_n()
    alone = me.table.suspicions["n"].deadline_ms
    for by in ("a", "b", "c", "c"):
        receive(
            me,
            2.0,
            "x",
            Ping(2, (update_of(state=MemberState.SUSPECT)._replace(reported_by=by),), ()),
        )
    assert me.table.suspicions["n"].deadline_ms - 1.0 == pytest.approx(
        (alone - 1.0) / SUSPICION_TIMEOUT_RATIO
    )


def test_a_halt_is_broadcast_from_member_to_member() -> None:
    day = day_of(10)
    answer = day.ask("n7", "halt", "h1", "op", "smoke")
    assert day.answers[answer][0] is None
    cores = [process.core for process in day.processes.values() if process.core is not None]
    day.until(lambda: all(core.halt_reason() == "halted: by op: smoke" for core in cores), 8_000.0)


def test_a_message_is_the_same_after_encoding_and_malformed_ones_are_refused() -> None:
    ping = Ping(7, (update_of(),), (("halt", (1, "a", "b", "c")),))
    assert decode(encode(ping)) == ping
    for wrong in (
        [],
        ["ping"],
        ["ping", "x", (), ()],
        ["whole", ((1, 2),), True],
        ["help", 1, 2],
        ["ping", 1, (update_of(),) * 65, ()],
        ["ping", 1, (update_of(ME._replace(name="")),), ()],
    ):
        with pytest.raises(MessageDecodeError):
            decode(wrong)


def test_a_failed_probe_confirms_a_suspicion() -> None:
    me = member_that_suspects_n()
    alone = me.table.suspicions["n"].deadline_ms
    now = 1.0
    while (
        len(me.table.suspicions["n"].reporters) == 1 and now < alone
    ):  # somebody else's, until the probe is in vain
        now = me.next_wake_at()
        for effect in me.step(now, Tick()):
            if (
                isinstance(effect, Send)
                and isinstance(effect.message, Ping)
                and effect.address[0] == "o"
            ):
                receive(me, now, effect.address, Ack(effect.message.sequence_number, (), ()))
    assert me.table.suspicions["n"].reporters == {ME.name, "x"}
    assert me.table.suspicions["n"].deadline_ms < alone
