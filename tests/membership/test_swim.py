"""Guards against false deaths, missed failures and outdated updates that prevail.

Small groups run in simulated time; single members are tested with explicit messages.
"""

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


def group_of(size: int, seed: int = 1, **settings: Any) -> Day:
    """Returns a running group of members that all know each other; it has no voters."""
    day = Day(seed, **settings)
    day.voters = {"n0": "n0"}  # the seed, a member itself
    for number in range(size):
        day.add(f"n{number}", f"z{number % 3}")
    day.start()
    day.until(
        lambda: all(
            len(membership_of(day, f"n{number}").table.alive()) == size - 1
            for number in range(size)
        )
    )
    return day


def membership_of(day: Day, name: str) -> SwimMembership:
    core = day.processes[name].core
    assert core is not None
    return core.members


def states_of(day: Day, name: str) -> list[MemberState]:
    """Returns the states of a member that all other running members believe."""
    return [
        membership_of(day, other).state_of(name)
        for other, process in day.processes.items()
        if process.up and other != name
    ]


def test_a_failed_member_is_declared_dead_by_all_and_its_next_process_alive() -> None:
    day = group_of(12)
    day.kill("n5")
    elapsed_ms = day.until(lambda: set(states_of(day, "n5")) == {MemberState.DEAD}, 60_000.0)
    assert elapsed_ms < 45_000.0
    day.boot("n5")
    day.until(lambda: set(states_of(day, "n5")) == {MemberState.ALIVE}, 30_000.0)


def test_all_members_learn_quickly_that_a_member_has_left() -> None:
    day = group_of(8)
    day.put("n3", "left")
    day.kill("n3")
    day.until(
        lambda: all(
            membership_of(day, f"n{number}").table.updates["n3"].phase is MemberPhase.LEFT
            for number in range(8)
            if number != 3
        ),
        8_000.0,
    )


def test_no_member_is_declared_dead_with_a_tenth_of_the_messages_lost() -> None:
    day = group_of(15, loss=0.1)
    death_reports = 0
    for _ in range(600):
        day.run(500.0)
        death_reports += sum(
            MemberState.DEAD in states_of(day, f"n{number}") for number in range(15)
        )
    assert death_reports == 0


def test_a_degraded_member_neither_causes_nor_suffers_a_false_death() -> None:
    day = group_of(12)
    for name in ("n1", "n2"):
        day.processes[name].slow_ms = 600.0  # twice the timeout of a direct ping
    death_reports = 0
    highest_score = 0
    for _ in range(400):
        day.run(500.0)
        death_reports += sum(
            MemberState.DEAD in states_of(day, f"n{number}") for number in range(12)
        )
        highest_score = max(
            highest_score, *(membership_of(day, name).health.score for name in ("n1", "n2"))
        )
    assert death_reports == 0
    assert highest_score >= 2  # the degraded members detect that they are degraded


def test_both_sides_of_a_healed_partition_rejoin() -> None:
    day = group_of(9)
    day.isolate("z1")
    day.until(lambda: membership_of(day, "n0").state_of("n1") is MemberState.DEAD, 90_000.0)
    day.run(60_000.0)
    day.heal()
    day.until(
        lambda: all(
            set(states_of(day, f"n{number}")) == {MemberState.ALIVE} for number in range(9)
        ),
        120_000.0,
    )


def test_a_member_paused_for_minutes_refutes_its_death() -> None:
    day = group_of(6)
    day.stop("n4")
    day.until(lambda: set(states_of(day, "n4")) == {MemberState.DEAD}, 90_000.0)
    day.run(120_000.0)
    day.wake("n4")
    day.until(lambda: set(states_of(day, "n4")) == {MemberState.ALIVE}, 60_000.0)


ME = MemberIdentity("me", "me:1", "1", 100, "a", "r")
OTHER = MemberIdentity("n", "n:1", "1", 50, "a", "r")


def joined_member() -> SwimMembership:
    return SwimMembership(ME, 0.0, ["n:1"], random.Random(1))


def receive(member: SwimMembership, now_ms: float, address: str, message: Message) -> list[Effect]:
    return member.step(now_ms, MessageReceived(address, message))


def update_of(
    identity: MemberIdentity = OTHER, incarnation: int = 1, state: MemberState = MemberState.ALIVE
) -> Update:
    return Update(identity, incarnation, MemberPhase.SERVING, state, "x")


def member_that_suspects_n() -> SwimMembership:
    """Returns a member that knows eight others and a report by `x` that `n` is suspected."""
    local_member = joined_member()
    others = tuple(
        update_of(MemberIdentity(f"o{number}", f"o{number}:1", "1", 1, "", ""))
        for number in range(8)
    )
    receive(local_member, 1.0, "x", FullState(others, False))
    receive(local_member, 1.0, "x", Ping(1, (update_of(state=MemberState.SUSPECT),), ()))
    return local_member


def test_a_dead_state_prevails_until_a_higher_incarnation() -> None:
    local_member = joined_member()
    receive(local_member, 1.0, "x", Ping(1, (update_of(),), ()))
    receive(local_member, 2.0, "x", Ping(2, (update_of(state=MemberState.DEAD),), ()))
    receive(local_member, 3.0, "x", Ping(3, (update_of(),), ()))
    assert local_member.state_of("n") is MemberState.DEAD
    changed = receive(local_member, 4.0, "x", Ping(4, (update_of(incarnation=2),), ()))
    assert local_member.state_of("n") is MemberState.ALIVE
    assert [
        effect.update.incarnation for effect in changed if isinstance(effect, MemberUpdated)
    ] == [2]


def test_a_suspicion_of_this_member_is_refuted_in_the_ack() -> None:
    local_member = joined_member()
    effects = receive(local_member, 1.0, "x", Ping(1, (update_of(ME, 3, MemberState.SUSPECT),), ()))
    ack = next(effect.message for effect in effects if isinstance(effect, Send))
    assert isinstance(ack, Ack) and ack.updates[0].incarnation == 4


@pytest.mark.parametrize("state", [MemberState.SUSPECT, MemberState.DEAD])
def test_the_ack_to_a_suspected_or_dead_member_contains_its_state(state: MemberState) -> None:
    """A dead member is not pinged, so only the Acks to its own pings can tell it its state."""
    local_member = joined_member()
    receive(local_member, 1.0, "z", Ping(1, (update_of(state=state),), ()))
    for number in range(2, 40):  # more pings than the update is retransmitted as gossip
        receive(local_member, 1.0, "z", Ping(number, (), ()))
    effects = receive(local_member, 2.0, "n", Ping(40, (update_of(),), ()))
    ack = next(effect.message for effect in effects if isinstance(effect, Send))
    assert isinstance(ack, Ack) and [
        update.state for update in ack.updates if update.member.name == "n"
    ] == [state]
    refuted_effects = receive(local_member, 3.0, "n", Ping(41, (update_of(incarnation=2),), ()))
    ack = next(effect.message for effect in refuted_effects if isinstance(effect, Send))
    assert local_member.state_of("n") is MemberState.ALIVE
    assert isinstance(ack, Ack) and all(update.state is MemberState.ALIVE for update in ack.updates)


def test_a_process_replaces_its_predecessor_after_the_clock_was_set_back() -> None:
    local_member = joined_member()
    receive(
        local_member,
        1.0,
        "x",
        Ping(
            1,
            (update_of(ME._replace(process_id="0", started_at_ms=9000), 1, MemberState.DEAD),),
            (),
        ),
    )
    assert local_member.me.started_at_ms == 9001
    effects = receive(
        local_member,
        2.0,
        "x",
        Ping(2, (update_of(ME._replace(process_id="2", started_at_ms=9999)),), ()),
    )
    assert [
        effect.namesake.process_id for effect in effects if isinstance(effect, NameConflict)
    ] == ["2"]


def test_confirmations_shorten_a_suspicion() -> None:
    local_member = member_that_suspects_n()
    unconfirmed_deadline_ms = local_member.table.suspicions["n"].deadline_ms
    for reporter in ("a", "b", "c", "c"):
        receive(
            local_member,
            2.0,
            "x",
            Ping(2, (update_of(state=MemberState.SUSPECT)._replace(reported_by=reporter),), ()),
        )
    assert local_member.table.suspicions["n"].deadline_ms - 1.0 == pytest.approx(
        (unconfirmed_deadline_ms - 1.0) / SUSPICION_TIMEOUT_RATIO
    )


def test_a_halt_reaches_all_members_by_gossip() -> None:
    day = group_of(10)
    request = day.ask("n7", "halt", "h1", "op", "smoke")
    assert day.answers[request][0] is None
    cores = [process.core for process in day.processes.values() if process.core is not None]
    day.until(lambda: all(core.halt_reason() == "halted: by op: smoke" for core in cores), 8_000.0)


def test_a_message_survives_encoding_and_malformed_payloads_are_rejected() -> None:
    ping = Ping(7, (update_of(),), (("halt", (1, "a", "b", "c")),))
    assert decode(encode(ping)) == ping
    for payload in (
        [],
        ["ping"],
        ["ping", "x", (), ()],
        ["whole", ((1, 2),), True],
        ["help", 1, 2],
        ["ping", 1, (update_of(),) * 65, ()],
        ["ping", 1, (update_of(ME._replace(name="")),), ()],
    ):
        with pytest.raises(MessageDecodeError):
            decode(payload)


def test_a_failed_probe_confirms_a_suspicion() -> None:
    local_member = member_that_suspects_n()
    unconfirmed_deadline_ms = local_member.table.suspicions["n"].deadline_ms
    now_ms = 1.0
    # `x` is the only reporter until this member's own probe of `n` fails.
    while (
        len(local_member.table.suspicions["n"].reporters) == 1 and now_ms < unconfirmed_deadline_ms
    ):
        now_ms = local_member.next_wake_at()
        for effect in local_member.step(now_ms, Tick()):
            if (
                isinstance(effect, Send)
                and isinstance(effect.message, Ping)
                and effect.address[0] == "o"
            ):
                receive(
                    local_member,
                    now_ms,
                    effect.address,
                    Ack(effect.message.sequence_number, (), ()),
                )
    assert local_member.table.suspicions["n"].reporters == {ME.name, "x"}
    assert local_member.table.suspicions["n"].deadline_ms < unconfirmed_deadline_ms
