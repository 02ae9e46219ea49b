"""Releases among real voters, agents and servers. Versions are the program itself, some with a fault seeded
in their folder.
"""

import asyncio
import contextlib
import json
import os
import signal
from pathlib import Path
from typing import Any

import pytest

from pumicenotch.lab.crew import Crew, RequestRefusedError
from pumicenotch.lab.fleetrun import block
from pumicenotch.lab.relay import Way
from pumicenotch.lab.releaserun import OLD, agent_text, started, version
from tests.fleet.harness import Releasing, run_scenario, world


def fleet(**more: Any) -> Any:
    """Four servers in two zones, some forty small tasks a second each."""
    stages: dict[str, Any] = {"work_ms": 5.0, "soak_ms": 1500.0, **more}
    return world(**stages)


async def found(run: Releasing, kind: str, **more: Any) -> str:
    """Makes a version, plans and starts it; its name by content."""
    run.versions[kind] = await asyncio.to_thread(version, run.folder, kind, "read", 4.0)
    await run.plan("r1", kind, **more)
    await run.word("r1", "start")
    return run.versions[kind]


async def whole(run: Releasing, kind: str) -> None:
    """All servers run that version, and none is out."""
    await run.until(lambda: run.runs() == {run.versions[kind]: len(run.nodes)} and not run.out)
    await run.crew.agreed(lambda status: not status["out"], 60.0)


def test_a_good_version_goes_out_by_the_command_though_leader_and_agents_die(
    tmp_path: Path,
) -> None:
    async def script(run: Releasing) -> None:
        made = await asyncio.to_thread(version, run.folder, "good")
        run.versions["good"] = made
        await run.spoken()
        status, said = await run.release("plan", "r1", "--version", made, "--soak-s", "1", "--json")
        assert status == 0, said
        assert [len(wave) for wave in json.loads(said)["waves"]] == [1, 1, 1, 1]
        follows = asyncio.create_task(run.release("start", "r1", "--follow"))
        await run.until(lambda: run.had[made])
        leader = await run.crew.leader()
        run.crew.signal(leader, signal.SIGKILL)
        run.kill_agent(run.nodes[1], 1.0)
        run.kill_agent(run.nodes[0], 0.5)
        run.crew.boot(leader)
        status, said = await follows
        assert status == 0, said
        await whole(run, "good")
        _, said = await run.release("status")
        assert f"program {made}" in said and "done" in said
        _, said = await run.release("log", "r1")
        assert "HALT" not in said and said.count("may move to") == 4

    assert run_scenario(Releasing, script, tmp_path, fleet()).most_out <= 2


@pytest.mark.parametrize(
    ("kind", "word"),
    [
        ("bad-class", "tasks go badly"),
        ("crash-loop", "status 1"),  # a crash loop, or on a busy machine a start refused
        ("refuses", "start refused"),
        ("mute", "silent: not in service"),
    ],
)
def test_a_bad_version_is_on_one_server_and_goes_back(kind: str, word: str, tmp_path: Path) -> None:
    async def script(run: Releasing) -> None:
        bad = await found(run, kind, soak=60_000)
        last = await run.over("r1")
        assert last["state"] == "abandoned" and word in last["why"], last
        await whole(run, OLD)
        assert len(run.had[bad]) == 1

    run_scenario(Releasing, script, tmp_path, fleet())


def test_a_version_that_ruins_what_all_share_goes_back(tmp_path: Path) -> None:
    async def script(run: Releasing) -> None:
        run.versions["kills-below"] = bad = await asyncio.to_thread(
            version, run.folder, "kills-below"
        )
        await run.plan("r1", "kills-below", soak=60_000)
        while (await run.crew.ask("one_release", "r1"))[
            "usual_windows"
        ] < 6:  # what is usual is known from then on
            await asyncio.sleep(0.1)
        await run.word("r1", "start")
        last = await run.over("r1")
        assert last["state"] == "abandoned" and "all are worse off" in last["why"], last
        await whole(run, OLD)
        assert len(run.had[bad]) == 1

    run_scenario(Releasing, script, tmp_path, fleet(calls=1, database_most=400))


def test_half_a_copy_is_never_started_and_a_cut_zone_takes_no_step(tmp_path: Path) -> None:
    async def script(run: Releasing) -> None:
        made = await asyncio.to_thread(version, run.folder, "good")
        run.versions["good"] = made
        spoilt = run.folder / "source" / made / "pumicenotch" / "control" / "controller.py"
        text = spoilt.read_text()
        spoilt.write_text(text[: len(text) // 2])
        await run.plan("r1", "good")
        await run.word("r1", "start")
        last = await run.over("r1", "halted")
        assert "half a copy" in last["why"] and not run.drained
        spoilt.write_text(text)
        # The second wave is in the other zone, which is cut off from now on.
        inside, others = run.zone_of("z1")
        run.crew.relay.set(inside, others, Way(cut=True))
        await run.until(
            (run.home(run.nodes[0]) / "versions" / made).is_dir
        )  # its agent has fetched again
        status, said = await run.release("resume", "r1", "--reason", "the disk is whole")
        assert status == 0, said
        await run.until(lambda: run.had[made] == {0})
        status, said = await run.release("back", "r1", "--reason", "not today")
        assert status == 0, said
        await run.until(lambda: run.disk(run.nodes[0])["runs"]["program"] == run.versions[OLD])
        assert run.drained == {0}
        run.crew.relay.heal()
        assert (await run.over("r1"))["state"] == "abandoned"
        await whole(run, OLD)
        assert run.had[made] == {0} and run.drained == {0}

    run_scenario(Releasing, script, tmp_path, fleet())


def test_agents_are_released_beside_servers_that_go_on_and_a_mute_one_goes_back(
    tmp_path: Path,
) -> None:
    async def script(run: Releasing) -> None:
        servers = [node.process.pid for node in run.nodes if node.process is not None]
        agents = {number: agent.pid for number, agent in run.agents.items()}
        run.versions["good"] = await asyncio.to_thread(version, run.folder, "good")
        await run.plan("r1", "good", slot="agent", soak=200)
        await run.word("r1", "start")
        await followed(run, "r1", "done")
        await run.until(
            lambda: (
                {run.disk(node)["runs"]["agent"] for node in run.nodes} == {run.versions["good"]}
            )
        )
        assert agents == {number: agent.pid for number, agent in run.agents.items()}, (
            "they went on by exec"
        )
        run.versions["no-agent"] = await asyncio.to_thread(version, run.folder, "no-agent")
        await run.plan("r2", "no-agent", slot="agent", soak=200)
        await run.word("r2", "start")
        last = await followed(run, "r2", "abandoned")
        assert "never spoke with the fleet" in last["why"]
        assert {run.disk(node)["runs"]["agent"] for node in run.nodes} == {run.versions["good"]}
        assert servers == [node.process.pid for node in run.nodes if node.process is not None]
        assert not run.drained

    run_scenario(AgentsToo, script, tmp_path, fleet(servers=2, voters=1, zones=1))


class AgentsToo(Releasing):
    """Agents that are versions themselves."""

    def __init__(self, *told: Any) -> None:
        super().__init__(*told)
        self.slots = ("program", "agent")


async def followed(run: Releasing, name: str, state: str) -> dict[str, Any]:
    """Its end, while a platform starts agents anew and a person approves what nobody could judge."""
    while True:
        run.keep_agents()
        last = dict(await run.crew.ask("one_release", name))
        if last["state"] in ("done", "abandoned"):
            assert last["state"] == state, last
            return last
        if last["asks"]:
            await run.word(name, "approve")
        await asyncio.sleep(0.1)


class LedCrew(Crew):
    """Voters that agents start."""

    old = ""

    def home(self, name: str) -> Path:
        return self.folder / f"home-{name}"

    def boot(self, name: str) -> None:
        voter, path = self.voters[name], self.folder / f"agent-{name}.hcl"
        module, slots = ["pumicenotch.net.fleet", str(voter.path)], {"program": self.old}
        path.write_text(agent_text(self, name, module, ["PYTHONPATH={program}"], slots, 15_000))
        voter.process = started(path, voter.log)

    def disk(self, name: str) -> dict[str, Any]:
        return dict(json.loads((self.home(name) / "agent.json").read_text()))

    async def stop(self) -> None:
        pids = [pid for name in self.voters if (pid := self.disk(name)["pid"])]
        for voter in self.voters.values():
            if voter.process is not None:
                voter.process.terminate()
                await asyncio.to_thread(voter.process.wait)
        for pid in pids:
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
        await self.relay.close()


class VotersToo(Releasing):
    def __init__(self, *told: Any) -> None:
        super().__init__(*told)
        voters, budgets = self.world.voters, "\n".join(map(block, self.world.budget))
        self.crew = LedCrew(self.folder, self.seed, voters, self.world.zones, budgets)
        self.crew.old = self.versions[OLD]

    def led_names(self) -> set[str]:
        return super().led_names() | set(self.crew.voters)

    def programs(self) -> set[str]:
        assert isinstance(self.crew, LedCrew)
        return {self.crew.disk(name)["runs"]["program"] for name in self.crew.voters}


def test_a_voters_version_that_does_not_talk_stays_on_one_and_a_good_one_replaces_all(
    tmp_path: Path,
) -> None:
    async def script(run: VotersToo) -> None:
        waves = [[name] for name in run.crew.voters]
        run.versions["mute-voter"] = await asyncio.to_thread(version, run.folder, "mute-voter")
        await run.plan("r1", "mute-voter", waves=waves)
        await run.word("r1", "start")
        last = await followed(run, "r1", "abandoned")
        assert "silent" in last["why"] and last["wave"] == 0
        assert run.programs() == {run.versions[OLD]}
        run.versions["level-3"] = await asyncio.to_thread(version, run.folder, "level-3")
        await run.plan("r2", "level-3", waves=waves, level=3)
        await run.word("r2", "start")
        await followed(run, "r2", "done")
        assert run.programs() == {run.versions["level-3"]}
        told = await run.crew.ask("releases")
        assert [row["state"] for row in told["releases"]] == ["abandoned", "done"], (
            "agreed by none of the first voters"
        )
        while (await run.crew.ask("releases"))[
            "level"
        ] < 3:  # all voters speak it, and no release is on
            await asyncio.sleep(0.1)
        with pytest.raises(RequestRefusedError, match="no way back over a level"):
            await run.plan("r3", OLD, waves=waves, level=2)

    run_scenario(VotersToo, script, tmp_path, fleet(servers=2, zones=1))
