"""Tests of releases among real processes of voters, agents and servers.

Each version is the program itself; some versions have a fault seeded in their folder.
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


def fleet_world(**options: Any) -> Any:
    """Returns a world of four servers in two zones, with some forty small tasks per second each."""
    settings: dict[str, Any] = {"work_ms": 5.0, "soak_ms": 1500.0, **options}
    return world(**settings)


async def start_release(run: Releasing, kind: str, **options: Any) -> str:
    """Builds a version, plans and starts its release, and returns the version's name."""
    run.versions[kind] = await asyncio.to_thread(version, run.folder, kind, "read", 4.0)
    await run.plan("r1", kind, **options)
    await run.word("r1", "start")
    return run.versions[kind]


async def wait_until_all_run(run: Releasing, kind: str) -> None:
    """Waits until all servers run the version and are in service."""
    await run.until(lambda: run.runs() == {run.versions[kind]: len(run.nodes)} and not run.out)
    await run.crew.agreed(lambda status: not status["out"], 60.0)


def test_a_release_by_command_completes_although_the_leader_and_agents_are_killed(
    tmp_path: Path,
) -> None:
    async def script(run: Releasing) -> None:
        version_name = await asyncio.to_thread(version, run.folder, "good")
        run.versions["good"] = version_name
        await run.spoken()
        status, output = await run.release(
            "plan", "r1", "--version", version_name, "--soak-s", "1", "--json"
        )
        assert status == 0, output
        assert [len(wave) for wave in json.loads(output)["waves"]] == [1, 1, 1, 1]
        following = asyncio.create_task(run.release("start", "r1", "--follow"))
        await run.until(lambda: run.had[version_name])
        leader = await run.crew.leader()
        run.crew.signal(leader, signal.SIGKILL)
        run.kill_agent(run.nodes[1], 1.0)
        run.kill_agent(run.nodes[0], 0.5)
        run.crew.boot(leader)
        status, output = await following
        assert status == 0, output
        await wait_until_all_run(run, "good")
        _, output = await run.release("status")
        assert f"program {version_name}" in output and "done" in output
        _, output = await run.release("log", "r1")
        assert "HALT" not in output and output.count("may move to") == 4

    assert run_scenario(Releasing, script, tmp_path, fleet_world()).most_out <= 2


@pytest.mark.parametrize(
    ("kind", "problem"),
    [
        ("bad-class", "tasks go badly"),
        ("crash-loop", "status 1"),  # a crash loop, or a refused start on a busy machine
        ("refuses", "start refused"),
        ("mute", "silent: not in service"),
    ],
)
def test_a_harmful_version_reaches_one_server_and_is_rolled_back(
    kind: str, problem: str, tmp_path: Path
) -> None:
    async def script(run: Releasing) -> None:
        bad_version = await start_release(run, kind, soak=60_000)
        release_status = await run.over("r1")
        assert release_status["state"] == "abandoned" and problem in release_status["why"], (
            release_status
        )
        await wait_until_all_run(run, OLD)
        assert len(run.had[bad_version]) == 1

    run_scenario(Releasing, script, tmp_path, fleet_world())


def test_a_version_that_overloads_a_shared_dependency_is_rolled_back(tmp_path: Path) -> None:
    async def script(run: Releasing) -> None:
        run.versions["kills-below"] = bad_version = await asyncio.to_thread(
            version, run.folder, "kills-below"
        )
        await run.plan("r1", "kills-below", soak=60_000)
        # The baseline is known after 6 windows.
        while (await run.crew.ask("one_release", "r1"))["usual_windows"] < 6:
            await asyncio.sleep(0.1)
        await run.word("r1", "start")
        release_status = await run.over("r1")
        assert (
            release_status["state"] == "abandoned" and "all are worse off" in release_status["why"]
        ), release_status
        await wait_until_all_run(run, OLD)
        assert len(run.had[bad_version]) == 1

    run_scenario(Releasing, script, tmp_path, fleet_world(calls=1, database_most=400))


def test_an_incomplete_copy_never_starts_and_a_zone_that_is_cut_off_takes_no_step(
    tmp_path: Path,
) -> None:
    async def script(run: Releasing) -> None:
        version_name = await asyncio.to_thread(version, run.folder, "good")
        run.versions["good"] = version_name
        damaged_file = (
            run.folder / "source" / version_name / "pumicenotch" / "control" / "controller.py"
        )
        text = damaged_file.read_text()
        damaged_file.write_text(text[: len(text) // 2])
        await run.plan("r1", "good")
        await run.word("r1", "start")
        release_status = await run.over("r1", "halted")
        assert "half a copy" in release_status["why"] and not run.drained
        damaged_file.write_text(text)
        # The second wave is in the other zone, which is cut off from here on.
        zone_names, other_names = run.zone_of("z1")
        run.crew.relay.set(zone_names, other_names, Way(cut=True))
        # Waits for the agent's second fetch.
        await run.until((run.home(run.nodes[0]) / "versions" / version_name).is_dir)
        status, output = await run.release("resume", "r1", "--reason", "the disk is whole")
        assert status == 0, output
        await run.until(lambda: run.had[version_name] == {0})
        status, output = await run.release("back", "r1", "--reason", "not today")
        assert status == 0, output
        await run.until(lambda: run.disk(run.nodes[0])["runs"]["program"] == run.versions[OLD])
        assert run.drained == {0}
        run.crew.relay.heal()
        assert (await run.over("r1"))["state"] == "abandoned"
        await wait_until_all_run(run, OLD)
        assert run.had[version_name] == {0} and run.drained == {0}

    run_scenario(Releasing, script, tmp_path, fleet_world())


def test_agents_are_released_while_servers_run_and_an_agent_that_fails_is_rolled_back(
    tmp_path: Path,
) -> None:
    async def script(run: Releasing) -> None:
        servers = [node.process.pid for node in run.nodes if node.process is not None]
        agents = {number: agent.pid for number, agent in run.agents.items()}
        run.versions["good"] = await asyncio.to_thread(version, run.folder, "good")
        await run.plan("r1", "good", slot="agent", soak=200)
        await run.word("r1", "start")
        await follow_to_end(run, "r1", "done")
        await run.until(
            lambda: (
                {run.disk(node)["runs"]["agent"] for node in run.nodes} == {run.versions["good"]}
            )
        )
        assert agents == {number: agent.pid for number, agent in run.agents.items()}, (
            "the agents must restart by exec, with the same process ids"
        )
        run.versions["no-agent"] = await asyncio.to_thread(version, run.folder, "no-agent")
        await run.plan("r2", "no-agent", slot="agent", soak=200)
        await run.word("r2", "start")
        release_status = await follow_to_end(run, "r2", "abandoned")
        assert "never spoke with the fleet" in release_status["why"]
        assert {run.disk(node)["runs"]["agent"] for node in run.nodes} == {run.versions["good"]}
        assert servers == [node.process.pid for node in run.nodes if node.process is not None]
        assert not run.drained

    run_scenario(AgentReleaseRun, script, tmp_path, fleet_world(servers=2, voters=1, zones=1))


class AgentReleaseRun(Releasing):
    """A run whose agents are versions themselves."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.slots = ("program", "agent")


async def follow_to_end(run: Releasing, name: str, state: str) -> dict[str, Any]:
    """Waits for the end of a release, and asserts its final state.

    Meanwhile agents that exited are restarted, and waves that wait for approval are approved.
    """
    while True:
        run.keep_agents()
        release_status = dict(await run.crew.ask("one_release", name))
        if release_status["state"] in ("done", "abandoned"):
            assert release_status["state"] == state, release_status
            return release_status
        if release_status["asks"]:
            await run.word(name, "approve")
        await asyncio.sleep(0.1)


class AgentStartedCrew(Crew):
    """Voters that are started by agents."""

    old_version = ""

    def home(self, name: str) -> Path:
        return self.folder / f"home-{name}"

    def boot(self, name: str) -> None:
        voter, path = self.voters[name], self.folder / f"agent-{name}.hcl"
        module, slots = ["pumicenotch.net.fleet", str(voter.path)], {"program": self.old_version}
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


class VoterReleaseRun(Releasing):
    """A run whose voters are started by agents."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        voters, budgets = self.world.voters, "\n".join(map(block, self.world.budget))
        self.crew = AgentStartedCrew(self.folder, self.seed, voters, self.world.zones, budgets)
        self.crew.old_version = self.versions[OLD]

    def led_names(self) -> set[str]:
        return super().led_names() | set(self.crew.voters)

    def program_versions(self) -> set[str]:
        assert isinstance(self.crew, AgentStartedCrew)
        return {self.crew.disk(name)["runs"]["program"] for name in self.crew.voters}


def test_a_voter_version_that_sends_nothing_stays_on_one_voter_and_a_good_one_reaches_all(
    tmp_path: Path,
) -> None:
    async def script(run: VoterReleaseRun) -> None:
        waves = [[name] for name in run.crew.voters]
        run.versions["mute-voter"] = await asyncio.to_thread(version, run.folder, "mute-voter")
        await run.plan("r1", "mute-voter", waves=waves)
        await run.word("r1", "start")
        release_status = await follow_to_end(run, "r1", "abandoned")
        assert "silent" in release_status["why"] and release_status["wave"] == 0
        assert run.program_versions() == {run.versions[OLD]}
        run.versions["level-3"] = await asyncio.to_thread(version, run.folder, "level-3")
        await run.plan("r2", "level-3", waves=waves, level=3)
        await run.word("r2", "start")
        await follow_to_end(run, "r2", "done")
        assert run.program_versions() == {run.versions["level-3"]}
        answer = await run.crew.ask("releases")
        assert [row["state"] for row in answer["releases"]] == ["abandoned", "done"], (
            "the voters that agreed on the releases have all been replaced"
        )
        # The level rises once all voters read it and no release is active.
        while (await run.crew.ask("releases"))["level"] < 3:
            await asyncio.sleep(0.1)
        with pytest.raises(RequestRefusedError, match="no way back over a level"):
            await run.plan("r3", OLD, waves=waves, level=2)

    run_scenario(VoterReleaseRun, script, tmp_path, fleet_world(servers=2, zones=1))
