"""Drains in fleets of real processes, under process and network faults."""

import asyncio
import contextlib
import json
import signal
from pathlib import Path

import msgpack

from pumicenotch.config.fleet import BudgetBlock
from pumicenotch.lab.crew import RequestRefusedError
from pumicenotch.lab.relay import OPEN, Way
from tests.fleet.harness import ALL, ZONES, ServerRun, run_script, world

NODES = ("n0", "n1", "n2", "n3")


def test_all_nodes_drain_and_return_although_the_leader_dies(tmp_path: Path) -> None:
    async def script(run: ServerRun) -> None:
        leader = await run.crew.leader()
        await run.crew.drain(*NODES)
        run.crew.signal(leader, signal.SIGKILL)  # after the grants, before the holders are notified
        await run.until(lambda: run.drained)
        run.crew.boot(leader)  # as a new replica, without its former state
        status = await run.wait_until_available(*NODES)
        await run.crew.agreed(lambda status: len(status["seats"]) == 3 and not status["learners"])
        assert status["members"] == 7

    assert run_script(script, tmp_path, world()).most_out == 2


def test_a_suspended_permit_holder_keeps_its_permit_and_blocks_its_zone(tmp_path: Path) -> None:
    async def script(run: ServerRun) -> None:
        run.signal_node("n0", signal.SIGSTOP)
        await run.crew.drain("n0", "n2")  # in the same zone
        await run.wait_for_permits("n0")
        status = await run.crew.agreed(
            lambda status: any(row["against"] == "silent" for row in status["rows"])
        )
        assert [row["name"] for row in status["rows"]] == ["n0"] and not run.drained
        run.signal_node("n0", signal.SIGCONT)
        await run.wait_until_available("n0", "n2")

    run = run_script(script, tmp_path, world())
    assert run.most_out == 1


def test_a_node_killed_during_its_drain_keeps_its_permit_until_it_returns(tmp_path: Path) -> None:
    async def script(run: ServerRun) -> None:
        await run.crew.drain("n1", "n3")
        await run.until(lambda: 1 in run.drained)
        run.kill("n1")
        status = await run.crew.agreed(lambda status: status["waiting"], 20.0)
        assert status["waiting"][0]["why"] == "budget zones: zone z1: 1 of at most 1 are out"
        await run.wait_for_permits("n1")
        await run.restart("n1")  # as an operator would
        await run.wait_until_available("n1", "n3")

    run_script(script, tmp_path, world())


def test_a_partitioned_zone_starts_no_drain(tmp_path: Path) -> None:
    """z0 has two of three voters, z1 has one. First z1 is partitioned, then all voters from each other."""

    async def script(run: ServerRun) -> None:
        inside, others = run.zone_of("z1")
        run.crew.relay.set(inside, others, Way(cut=True))
        await run.crew.drain("n1", "n0")
        await run.until(lambda: 0 in run.drained)
        assert 1 not in run.drained
        await run.crew.agreed(
            lambda status: "n1" in {row["name"] for row in status["rows"] if row["against"]}
        )
        assert 1 not in run.drained
        voters = list(run.crew.voters)
        run.crew.relay.set(voters, voters, Way(cut=True))  # no majority is connected
        with contextlib.suppress(TimeoutError, RequestRefusedError):
            await run.crew.ask("drain", "nobody", ["n2"], "kernel", "op", within_s=6.0)
            raise AssertionError("agreed without a majority")
        assert 2 not in run.drained
        run.crew.relay.heal()
        await run.wait_until_available("n1", "n0")

    run_script(script, tmp_path, world())


def test_a_resumed_stale_leader_grants_no_permit(tmp_path: Path) -> None:
    async def script(run: ServerRun) -> None:
        stale = await run.crew.leader()
        run.crew.signal(stale, signal.SIGSTOP)
        status = await run.crew.agreed(lambda status: status["leader"] != stale)
        await run.crew.drain("n0")
        late = asyncio.create_task(run.crew.once(stale, "drain", "late", ["n2"], "kernel", "op"))
        await asyncio.sleep(0)  # the request waits in the socket of the suspended leader
        await run.until(lambda: 0 in run.drained)
        run.crew.signal(stale, signal.SIGCONT)
        with contextlib.suppress(OSError, TimeoutError):
            error, _ = await late
            assert error is not None and error[0] in ("NotLeader", "NoMajority")
        await run.wait_until_available("n0")
        assert run.drained == {0} and status["term"] > 0

    # On a busy machine the suspended leader may count as unavailable before n0 starts to drain, so the budget
    # allows two unavailable members.
    budget = BudgetBlock(name="all", each="fleet", most_out=2)
    run_script(script, tmp_path, world(budgets=(budget,)))


def test_a_halt_from_any_node_stops_all_drains_until_a_resume(tmp_path: Path) -> None:
    async def script(run: ServerRun) -> None:
        await run.crew.drain(*NODES)
        await run.until(lambda: run.drained)
        code, out = await run.operator("halt", "--reason", "smoke", at=run.crew.real("n3"))
        assert code in (0, 1) and "halted" in out
        status = await run.crew.agreed(lambda status: status["halted"])
        assert "smoke" in status["halted"]
        await run.until(lambda: not run.out)  # started drains complete
        before = len(run.drained)
        for name in list(run.crew.voters)[:2]:  # the halt outlives voters that restart one by one
            await run.replace_voter(name)
            assert (await run.crew.ask("status"))["halted"]
        assert len(run.drained) == before
        code, out = await run.operator("resume", "--reason", "the smoke is gone")
        assert (code, out.strip()) == (0, "the fleet goes on")
        await run.wait_until_available(*NODES)

    run_script(script, tmp_path, world(budgets=(ALL,)))


def test_a_terminated_node_counts_as_unavailable_at_once(tmp_path: Path) -> None:
    async def script(run: ServerRun) -> None:
        run.terminate("n0")
        await run.crew.agreed(lambda status: any(row["kind"] == "term" for row in status["rows"]))
        await run.crew.drain("n2")
        status = await run.crew.agreed(lambda status: status["waiting"])
        assert status["waiting"][0]["why"] == "budget zones: zone z0: 1 of at most 1 are out"
        await run.restart("n0")
        await run.wait_until_available("n2")
        log = await run.crew.ask("log", 100)
        events = [row["what"] for row in log["log"]]
        ended = next(
            index for index, event in enumerate(events) if event.startswith("permit of n0")
        )
        granted = next(
            index for index, event in enumerate(events) if event.startswith("permit for n2")
        )
        assert ended < granted

    run_script(script, tmp_path, world())


def test_delayed_lost_and_duplicated_messages_exceed_no_budget(tmp_path: Path) -> None:
    async def script(run: ServerRun) -> None:
        everyone = list(run.crew.zone)
        run.crew.relay.set(everyone, everyone, Way(delay_ms=20, loss=0.01, copies=0.3))
        await run.crew.drain(*NODES)
        await run.wait_until_available(*NODES)
        relay = run.crew.relay
        assert relay.copied and relay.broken
        run.crew.relay.heal()

    run_script(script, tmp_path, world(), seed=3)


def test_drains_complete_after_one_way_partitions(tmp_path: Path) -> None:
    async def script(run: ServerRun) -> None:
        leader = await run.crew.leader()
        others = [name for name in run.crew.zone if name != leader]
        # The leader can send, but receives nothing.
        run.crew.relay.set(others, [leader], Way(cut=True), both=False)
        await run.crew.agreed(lambda status: status["leader"] != leader, 30.0)
        await run.crew.drain("n0")
        run.crew.relay.set(others, [leader], OPEN, both=False)
        await run.wait_until_available("n0")
        node = ["n1"]
        run.crew.relay.set(
            [name for name in run.crew.zone if name != "n1"], node, Way(cut=True), both=False
        )
        await run.crew.drain("n1")
        await run.wait_for_permits("n1")
        run.crew.relay.heal()
        await run.wait_until_available("n1")

    run_script(script, tmp_path, world())


def test_the_fleet_command_reports_who_waits_and_why(tmp_path: Path) -> None:
    async def script(run: ServerRun) -> None:
        code, out = await run.operator("drain", "n0", "n2", "--reason", "kernel", "--json")
        assert code == 0 and json.loads(out)["agreed"]
        code, out = await run.operator("why", "n2")
        assert code == 0 and ("waits: budget zones: zone z0" in out or "n2:" in out)
        code, out = await run.operator("status", "--json")
        assert code == 0 and json.loads(out)["fleet"] == "lab"
        code, out = await run.operator("drain", "v1", "v2", "--reason", "kernel")
        assert code == 1 and "a majority must stay" in out
        code, out = await run.operator("drain", "n9", "--reason", "kernel")
        assert code == 1 and "no member n9" in out
        code, out = await run.operator("status", "--local", at=run.crew.real("n3"))
        assert code == 0 and "n3 of lab" in out
        await run.wait_until_available("n0", "n2")
        budgets = run.folder / "budgets.hcl"
        budgets.write_text('budget "all" {\n  each = "fleet"\n  most_out = 0\n}\n')
        code, out = await run.operator("budget", str(budgets))
        assert code == 0 and "1 budgets" in out
        code, out = await run.operator("override", "n1", "--reason", "it burns")
        assert code == 0
        await run.until(lambda: 1 in run.drained)
        budgets.write_text('budget "all" {\n  each = "moon"\n}\n')
        code, out = await run.operator("budget", str(budgets))
        assert code == 2 and f"{budgets}:2: budget.each" in out
        await run.until(lambda: not run.out)  # a starting server cannot stop within its notice yet

    run_script(script, tmp_path, world(budgets=(ZONES,)))


def test_unknown_senders_are_refused_and_counted(tmp_path: Path) -> None:
    async def script(run: ServerRun) -> None:
        host, _, port = run.crew.real("v1").rpartition(":")

        async def exchange(*frames: object) -> list[object]:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"".join(msgpack.packb(frame) for frame in frames))
            received: list[object] = []
            unpacker = msgpack.Unpacker()
            async with asyncio.timeout(10.0):
                while data := await reader.read(4096):
                    unpacker.feed(data)
                    received += list(unpacker)
            writer.close()
            return received

        refusal = await exchange([2, "hello", ["other", "n0", "1", "a:1"]])
        assert "this is a process of the fleet 'lab'" in str(refusal)
        assert "has the name 'v1' itself" in str(
            await exchange([2, "hello", ["lab", "v1", "x", "a:1"]])
        )
        assert await exchange([0, 1, "status", []]) == []  # without a hello first
        assert (
            await exchange([2, "hello", ["lab", "n8", "1", "a:1"]], [2, "agree", ["vote", "x"]], 7)
            == []
        )
        answer = await run.crew.once("v1", "local")
        assert (
            answer[1]["counts"]["mates_refused"] == 2
            and answer[1]["counts"]["notices_unreadable"] == 1
        )

    run_script(script, tmp_path, world(servers=1, zones=1))


def test_servers_start_and_serve_without_voters(tmp_path: Path) -> None:
    async def script(run: ServerRun) -> None:
        for name in run.crew.voters:
            run.crew.signal(name, signal.SIGKILL)
        served = sum(end.kind == "served" for end in run.ledger.ends)
        run.kill("n0")
        await run.restart("n0")  # without a voter to answer its requests
        await run.until(lambda: sum(end.kind == "served" for end in run.ledger.ends) > served + 20)

    run_script(script, tmp_path, world(servers=2))
