"""Processes of two builds in one fleet: `python -m benchmarks.mixed_builds OTHER_ROOT`, in the root of a build.

Voters, members, configuration relays, servers and agents of both builds run side by side while requests are
served. Two fleets are played, each with the builds in both arrangements:

- `configuration`: publications reach all servers through relays, and drains are permitted;
- `release`: agents of both builds replace one build's program by the other's.

OTHER_ROOT is a checkout of the other build with a virtual environment of its own. The exit status is 1 if any
fleet loses a request, exceeds a budget, or does not reach the agreed state in time.
"""

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from pumicenotch.config.versions import pack
from pumicenotch.lab.releaserun import OLD
from pumicenotch.lab.server_process import Node
from tests.fleet.configured import Configured, generation, play
from tests.fleet.harness import Releasing, run_scenario, world

HERE = Path(__file__).resolve().parent.parent
NAMES = ("n0", "n1", "n2", "n3")


class Builds:
    """The two builds, in one of their two arrangements."""

    def __init__(self, other: Path, swapped: bool) -> None:
        self.roots = (HERE, other) if swapped else (other, HERE)

    def root(self, number: int) -> Path:
        """Returns the build that the process of this number runs."""
        return self.roots[number % 2]

    def start(
        self, number: int, module: list[str], log: Path, environment: dict[str, str] | None = None
    ) -> subprocess.Popen[bytes]:
        """Starts a module of that build with its own interpreter."""
        root = self.root(number)
        with log.open("ab") as opened:
            return subprocess.Popen(
                [str(root / ".venv/bin/python"), "-m", *module],
                stderr=opened,
                cwd=root,
                env=environment if environment is not None else dict(os.environ),
            )

    def mix_voters(self, run: Any) -> None:
        """Has the run's voters started from both builds."""

        def boot(name: str) -> None:
            voter = run.crew.voters[name]
            module = ["pumicenotch.net.fleet", str(voter.path)]
            voter.process = self.start(int(name[1:]), module, voter.log)

        run.crew.boot = boot

    def pack(self, number: int, folder: Path, name: str) -> str:
        """Packs that build's program as a version that agents fetch; returns the version's name."""
        made = folder / f"made-{name}"
        ignored = shutil.ignore_patterns("__pycache__", "lab")
        shutil.copytree(self.root(number) / "pumicenotch", made / "pumicenotch", ignore=ignored)
        (made / "build.txt").write_text(name)
        version = pack(made, folder / "source")
        shutil.rmtree(made)
        return version


def configuration_fleet(builds: Builds, folder: Path) -> None:
    """Publishes, drains all servers and publishes again in a fleet of both builds."""

    class Mixed(Configured):
        def __init__(self, *details: Any) -> None:
            super().__init__(*details)
            builds.mix_voters(self)

        def spawn(self, node: Node, module: list[str], environment: dict[str, str]) -> None:
            node.process = builds.start(node.number, module, node.log, environment)

    async def script(run: Configured) -> None:
        await run.served(await run.publish(generation(0)))
        await run.crew.drain(*NAMES)
        await run.wait_until_available(*NAMES)
        await run.served(await run.publish_generations(1, 5))
        leader = await run.crew.leader()
        await run.replace_voter(leader)  # a voter of the other build may lead now
        await run.served(await run.publish(generation(6)))
        await run.all_accounted_for()

    play(script, folder, world(work_ms=10.0), Mixed)


def release_fleet(builds: Builds, folder: Path) -> None:
    """Has agents of both builds replace one build's program by the other's."""

    class Mixed(Releasing):
        def __init__(self, *details: Any) -> None:
            super().__init__(*details)
            builds.mix_voters(self)
            self.versions = {
                OLD: builds.pack(0, self.folder, "first"),
                "good": builds.pack(1, self.folder, "second"),
            }

        def boot_agent(self, node: Node) -> None:
            path = self.agent_file(node)
            module = ["pumicenotch.cli", "agent", "--config", str(path)]
            self.agents[node.number] = builds.start(node.number, module, path.with_suffix(".log"))

    async def script(run: Releasing) -> None:
        await run.plan("r1", "good")
        await run.word("r1", "start")
        last = await run.over("r1")
        assert last["state"] == "done", last
        await run.until(
            lambda: run.runs() == {run.versions["good"]: len(run.nodes)} and not run.out
        )

    run_scenario(Mixed, script, folder, world(work_ms=5.0, soak_ms=1500.0))


FLEETS: dict[str, Callable[[Builds, Path], None]] = {
    "configuration": configuration_fleet,
    "release": release_fleet,
}


def main() -> int:
    """Plays each fleet in both arrangements; returns the exit status."""
    parser = argparse.ArgumentParser(description="Processes of two builds in one fleet.")
    parser.add_argument(
        "other", metavar="OTHER_ROOT", type=Path, help="checkout of the other build"
    )
    other = parser.parse_args().other.resolve()
    if not (other / ".venv/bin/python").exists():
        parser.error(f"{other}: no .venv/bin/python: make a virtual environment there (make build)")
    failed = 0
    for name, fleet in FLEETS.items():
        for swapped in (False, True):
            arrangement = "odd processes are the other build's" if swapped else "even ones are"
            with tempfile.TemporaryDirectory() as folder:
                try:
                    fleet(Builds(other, swapped), Path(folder))
                except (AssertionError, TimeoutError, RuntimeError, OSError) as error:
                    failed += 1
                    print(f"{name}, {arrangement}: FAILED: {error!r:.2000}")
                else:
                    print(f"{name}, {arrangement}: ok")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
