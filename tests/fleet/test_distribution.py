"""Configuration distributed among real processes, faults between them; judged by what the servers served."""

import asyncio
import random
import signal
from pathlib import Path
from typing import Any

from pumicenotch.distribution.publications.book import LEVEL
from pumicenotch.lab.relay import Way
from pumicenotch.lab.world import World
from tests.fleet.configured import (
    SUBSCRIBE_ALL,
    WATCHED,
    Configured,
    RequestRefusedError,
    entries,
    generation,
    play,
)
from tests.fleet.harness import world
from tests.histories.configuration import Key, Value

LARGE = 54_000  # records of the largest publication that is expected
STALE_MS = 1500.0  # an age that no server has whose sources are in touch with the leader
# Between two answers of a server while a large publication comes: far above any on a quiet machine.
GAP_S = 1.0
LONG_STEPS_PART = (
    0.03  # of the steps that may take over 1 ms of processor time, on a crowded machine
)


def small(servers: int = 4, zones: int = 1) -> World:
    return world(servers=servers, zones=zones, budgets=(), work_ms=10.0)


async def relay_of(run: Configured, names: list[str]) -> str:
    """One that serves others."""
    found: list[str] = []

    async def look() -> None:
        while not found:
            for name in names:
                status = await run.told(name)
                if status.get("relay") and status.get("children"):
                    found.append(name)
            await asyncio.sleep(0.05)

    async with asyncio.timeout(30.0):
        await look()
    return found[0]


def test_a_relay_is_killed_and_its_children_go_on(tmp_path: Path) -> None:
    async def script(run: Configured) -> None:
        await run.served(await run.publish(generation(0)))
        relay = await relay_of(run, run.servers)
        others = [name for name in run.servers if name != relay]
        publishing = asyncio.create_task(run.publish_generations(1, 40))
        await run.until(lambda: run.recorder.newest[others[0]].version >= 10)
        run.kill(relay)
        await run.served(await publishing, others)
        await run.restart(relay)  # with nothing in its memory
        await run.served(await run.publish(generation(41)))

    play(script, tmp_path, small())


def test_the_leader_is_killed_while_a_publication_is_staged(tmp_path: Path) -> None:
    async def script(run: Configured) -> None:
        before = await run.publish(generation(0))
        await run.served(before)
        changes = generation(1) | {
            ("routes", f"s{at % 20}/r{at}"): {"upstream": f"u{at}"} for at in range(3000)
        }
        told = entries(changes, before)
        leader = await run.crew.leader()
        await asyncio.to_thread(run.ask_all, told[:-1])
        run.crew.signal(leader, signal.SIGKILL)
        version = await run.publish_entries(changes, told[-1:])
        assert version == before + 1
        await run.served(version)
        for name in run.servers:
            assert (await run.looked_up(name, ("routes", "s7/r2987")))["value"] == {
                "upstream": "u2987"
            }
        run.crew.boot(leader)
        await run.crew.agreed(lambda status: len(status["seats"]) == 3 and not status["learners"])
        await run.served(await run.publish(generation(2)))

    play(script, tmp_path, small(servers=3))


def test_54000_records_are_published_whole_by_the_command(tmp_path: Path) -> None:
    """Lookups are answered while they come, of the version before."""

    async def script(run: Configured) -> None:
        await run.served(await run.publish(generation(0)))
        changes = generation(1) | {
            ("tenants", f"c{at % 20}/t{at}"): {"weight": at, "class": "standard"}
            for at in range(LARGE)
        }
        run.recorder.longest_gap_s.clear()
        version = await run.publish_by_command(changes)
        await run.served(version)
        assert max(run.recorder.longest_gap_s.values()) < GAP_S, run.recorder.longest_gap_s
        for name in run.servers:
            steps = (await run.told(name))["steps"]
            assert steps["over_1_ms"] <= LONG_STEPS_PART * steps["count"], (name, steps)
        chance = random.Random(1)
        for key in chance.sample(sorted(changes), 100):
            for name in run.servers:
                assert (await run.looked_up(name, key))["value"] == changes[key]
        await run.served(await run.publish(generation(2)))

    play(script, tmp_path, small(servers=3))


def test_a_zone_is_cut_off_and_is_back_after_200_versions(tmp_path: Path) -> None:
    """z1 has one voter of three."""

    async def script(run: Configured) -> None:
        first = await run.publish(generation(0))
        await run.served(first)
        inside, others = run.zone_of("z1")
        run.crew.relay.set(inside, others, Way(cut=True))
        last = await run.publish_generations(1, 200)
        reached = [name for name in others if name in run.servers]
        cut_off = [name for name in inside if name in run.servers]
        await run.served(last, reached)
        for name in cut_off:
            assert run.recorder.newest[name].version < last, "the cut let it through"
        await run.until(lambda: all(run.recorder.age_ms(name) > STALE_MS for name in cut_off))
        run.crew.relay.heal()
        await run.served(last, cut_off)

    play(script, tmp_path, small(zones=2))


def test_a_stopped_server_wakes_and_catches_up(tmp_path: Path) -> None:
    async def script(run: Configured) -> None:
        await run.served(await run.publish(generation(0)))
        await run.pause("n0")
        others = run.servers[1:]
        last = await run.publish_generations(1, 60)
        await run.served(last, others)
        await run.status_until(
            lambda status: "n0" in status["missing"]
        )  # its sources have forgotten it
        run.unpause("n0")
        await run.served(last)

    play(script, tmp_path, small(servers=3))


def test_of_two_publishers_at_once_one_is_refused_and_nothing_is_lost(tmp_path: Path) -> None:
    async def script(run: Configured) -> None:
        refused = 0

        async def count_up(key: Key, field: str, last: int) -> None:
            nonlocal refused
            for number in range(1, last + 1):
                while True:
                    try:
                        await run.publish({key: {field: number}})
                        break
                    except RequestRefusedError as error:
                        assert "current one is" in str(error)
                        refused += 1

        previous = await run.publish(generation(0))
        told = [{WATCHED[0]: {"upstream": name}} for name in ("x", "y")]
        both = await asyncio.gather(
            *(run.publish(changes, previous) for changes in told), return_exceptions=True
        )
        assert sum(isinstance(each, RequestRefusedError) for each in both) == 1, both
        await asyncio.gather(count_up(WATCHED[1], "rate", 20), count_up(WATCHED[3], "weight", 20))
        version = await run.version()
        assert version == previous + 41
        await run.served(version)
        for name in run.servers:
            assert (await run.looked_up(name, WATCHED[1]))["value"] == {"rate": 20}
            assert (await run.looked_up(name, WATCHED[3]))["value"] == {"weight": 20}

    play(script, tmp_path, small(servers=3))


class OneOlderProgram(Configured):
    """Voters and servers take routes of form 2, but for n1."""

    voter_block = '  table "routes" {\n    newest_form = 2\n  }\n'

    def server_block(self, name: str) -> str:
        return "" if name == "n1" else '    table "routes" {\n      newest_form = 2\n    }\n'


def test_a_record_that_an_older_program_cannot_read_leaves_it_at_its_last_good_version(
    tmp_path: Path,
) -> None:
    async def script(run: Configured) -> None:
        good = await run.publish(generation(0))
        await run.served(good)
        newer: dict[Key, Value] = generation(1) | {WATCHED[0]: {"upstream": "u1", "form": 2}}
        version = await run.publish(newer)
        await run.served(version, ["n0", "n2"])
        await run.straggler("n1", "unreadable-form")
        status = await run.told("n1")
        assert status["error"]["code"] == "unreadable-form" and "upgrade" in status["error"]["text"]
        assert run.recorder.newest["n1"].version == good
        older = await run.publish(generation(2))
        await run.served(older)

    play(script, tmp_path, small(servers=3), OneOlderProgram)


class ShortLog(Configured):
    """Every source keeps only the last few versions as changes."""

    voter_block = "  limits {\n    log_versions = 8\n  }\n"

    def server_block(self, name: str) -> str:
        return "    limits {\n      log_versions = 8\n    }\n"


def test_one_that_missed_more_than_the_log_holds_is_current_again(tmp_path: Path) -> None:
    async def script(run: Configured) -> None:
        await run.served(await run.publish(generation(0)))
        transfers = await run.counter_of("n0", "transfers")
        run.crew.relay.set(["n0"], list(run.crew.zone), Way(cut=True))
        last = await run.publish_generations(1, 40)
        await run.served(last, run.servers[1:])
        run.crew.relay.heal()
        await run.served(last)
        assert await run.counter_of("n0", "transfers") > transfers, "it found all in a log"

    play(script, tmp_path, small(servers=3), ShortLog)


def test_a_range_that_comes_corrupted_is_found_by_its_digest_and_mended(tmp_path: Path) -> None:
    """The relay between the processes spoils one value; nobody ever serves it."""

    async def script(run: Configured) -> None:
        await run.served(await run.publish(generation(0)))
        spoilt: list[Any] = []

        def spoil(frame: Any) -> Any:
            """Twice, on its way to a server: what voters say to each other is left alone."""
            if frame[:2] != [2, "configuration"] or len(spoilt) >= 2 or "u777" not in repr(frame):
                return frame
            spoilt.append(frame)
            return replaced(frame, "u777", "u666")

        everyone = list(run.crew.zone)
        run.crew.relay.set(everyone, everyone, Way(alter=spoil))
        await run.served(await run.publish(generation(777)))
        assert spoilt, "nothing was spoilt"
        found = [await run.counter_of(name, "digest-mismatch") for name in run.servers]
        assert any(found), "nobody has noticed"
        run.crew.relay.heal()
        await run.served(await run.publish(generation(2)))

    play(script, tmp_path, small(servers=3))


def replaced(told: Any, old: str, new: str) -> Any:
    """In every text of a frame."""
    if isinstance(told, str):
        return told.replace(old, new)
    if isinstance(told, list | tuple):
        return [replaced(each, old, new) for each in told]
    return told


def test_servers_of_a_fleet_founded_anew_keep_what_they_have_and_say_so(tmp_path: Path) -> None:
    """All voters end at once, and with them what was published: the new fleet begins with version 0."""

    async def script(run: Configured) -> None:
        last = await run.publish_generations(0, 4)
        await run.served(last)
        for name in run.crew.voters:
            run.crew.signal(name, signal.SIGKILL)
        for name in run.crew.voters:
            run.crew.boot(name)
        await run.crew.agreed(lambda status: status["level"] >= LEVEL)
        assert await run.version() == 0
        await run.until(lambda: all(run.recorder.age_ms(name) > STALE_MS for name in run.servers))
        relays = [name for name in run.servers if (await run.told(name))["relay"]]
        assert relays
        for name in relays:
            await run.straggler(name, "source-behind")
            assert "restart this instance" in (await run.told(name))["error"]["text"]
        await run.until(lambda: all(run.recorder.age_ms(name) > STALE_MS for name in run.servers))
        assert all(run.recorder.newest[name].version == last for name in run.servers)

    play(script, tmp_path, small(servers=3))


class TwoScopes(Configured):
    """Servers take what is watched, and of the routes no other scope."""

    subscriptions = SUBSCRIBE_ALL.replace("all = true", 'scopes = ["s1", "c1"]')


def test_a_server_holds_what_it_subscribes_to_and_takes_another_subscription_at_a_reload(
    tmp_path: Path,
) -> None:
    async def script(run: Configured) -> None:
        key = ("routes", "s9/a")
        await run.served(await run.publish(generation(0) | {key: {"upstream": "u9"}}))
        error, _ = await run.crew.once("n0", "lookup", *key)
        assert error[2] == "not-held" and "n0 does not hold the scope s9" in error[1]
        path = run.folder / "n0.hcl"
        path.write_text(path.read_text().replace('"s1"', '"s1", "s9"'))
        run.signal_node("n0", signal.SIGHUP)
        async with asyncio.timeout(30.0):
            while (await run.crew.once("n0", "lookup", *key))[0] is not None:
                await asyncio.sleep(0.05)
        assert (await run.looked_up("n0", key))["value"] == {"upstream": "u9"}
        assert (await run.crew.once("n1", "lookup", *key))[0] is not None
        await run.served(await run.publish(generation(1)))

    play(script, tmp_path, small(servers=2, zones=2), TwoScopes)


def test_the_operators_commands_publish_look_up_and_tell_who_is_behind(tmp_path: Path) -> None:
    async def script(run: Configured) -> None:
        good = await run.publish_by_command(generation(0))
        await run.served(good)
        code, out = await run.operator("lookup", "routes", "s1/a", at=run.crew.real("n1"))
        assert code == 0 and '{"upstream": "u0"}' in out and f"version {good} at n1" in out
        code, out = await run.operator("lookup", "moons", "s1/a", at=run.crew.real("n1"))
        assert code == 1 and "use one of routes" in out
        await run.all_accounted_for()
        code, out = await run.operator("config")
        assert code == 0 and f"version {good}, in force at 3 of 3" in out
        code, out = await run.operator("config", at=run.crew.real("n2"))
        assert code == 0 and f"version {good} in force" in out
        path = run.folder / "changes.jsonl"
        code, out = await run.operator("publish", str(path), "--reason", "again", "--previous", "0")
        assert code == 1 and f"it was made against version 0, the current one is {good}" in out
        path.write_text(path.read_text() + '\n{"table": "homes", "key": "c1/t9", "value": {}}\n')
        code, out = await run.operator("publish", str(path), "--reason", "again")
        assert code == 2 and f"{path}:5: record homes:c1/t9: the field cell is missing" in out
        path.write_text('{"table": "homes", "key": "c1/t9", "value": {"cell": "c1", "form": 9}}\n')
        code, out = await run.operator("publish", str(path), "--reason", "again")
        assert code == 2 and f"{path}:1: record homes:c1/t9: its form is 9" in out
        assert await run.version() == good

    play(script, tmp_path, small(servers=3))
