"""A fleet whose servers are started by agents, from versions on a disk: the program itself, some with a fault
seeded in their folder by a hook that Python runs at its start. Who has had which version is seen from
outside, in what processes run.
"""

import asyncio
import contextlib
import json
import os
import secrets
import shutil
import signal
import subprocess
import sys
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pumicenotch
from pumicenotch.config.versions import pack
from pumicenotch.fleet.releases.release import PROGRAM_LEVEL
from pumicenotch.lab import world as world_
from pumicenotch.lab.crew import FLEET, Crew, RequestRefusedError
from pumicenotch.lab.fleetrun import FORMED_S, LOOK_S, FleetRun
from pumicenotch.lab.peers import GatewayPeer
from pumicenotch.lab.server_process import Launch, Node
from pumicenotch.net.server_process import process_start_ticks

OLD = "old"
# Beside the program in a version's folder: each waits until the server's own process is at its start.
HOOK = """\
import os, sys
if sys.orig_argv[-1:] == ["pumicenotch"]:
"""
FAULTS = {
    "good": "    pass\n",
    "bad-class": """\
    import random
    from pumicenotch.interface import Outcome
    from pumicenotch.server.core import Server
    rng, finish_run = random.Random(os.getpid()), Server.finish_run
    def finish_run_badly(self, request, outcome, result):
        bad = request.class_name == KIND and outcome is Outcome.OK and rng.random() < 0.2
        finish_run(self, request, Outcome.ERROR if bad else outcome, b"" if bad else result)
    Server.finish_run = finish_run_badly
""",
    "crash-loop": """\
    import threading
    threading.Timer(AFTER_S, os._exit, (1,)).start()
""",
    "refuses": "    sys.exit(2)\n",
    "no-agent": "    pass\nif 'pumicenotch.net.agent' in sys.orig_argv:\n    sys.exit(1)\n",
    "mute": """\
    from pumicenotch.net import fleet_member
    async def join_fleet(*_):
        return None
    fleet_member.join_fleet = join_fleet
""",
    "mute-voter": """\
    pass
if "pumicenotch.net.fleet" in sys.orig_argv:
    from pumicenotch.net.peers import PeerHub
    PeerHub.send = lambda self, address, message: None
""",
    "level-3": """\
    pass
if "pumicenotch.net.fleet" in sys.orig_argv:
    from pumicenotch.fleet.releases import release
    release.PROGRAM_LEVEL = 3
""",
    "kills-below": """\
    import json, socket, threading, time
    host, _, port = json.load(open(os.environ["LB_CONFIG"]))["db"].rpartition(":")
    def hammer():
        time.sleep(1.0)
        link = socket.create_connection((host, int(port)))
        read = lambda: [None for _ in iter(lambda: link.recv(65536), b"")]
        threading.Thread(target=read, daemon=True).start()
        while True:
            link.sendall(b"".join(b"Q x%d 1000 0\\r\\n\\r\\n" % at for at in range(100)))
            time.sleep(0.1)
    threading.Thread(target=hammer, daemon=True).start()
""",
}


class Led:
    """A server's process that its agent has started."""

    returncode = None

    def __init__(self, pid: int) -> None:
        self.pid, self.began = pid, process_start_ticks(pid)

    def poll(self) -> int | None:
        return None if self.began and process_start_ticks(self.pid) == self.began else 0

    def send_signal(self, number: int) -> None:
        if self.poll() is None:
            os.kill(self.pid, number)

    def kill(self) -> None:
        self.send_signal(signal.SIGKILL)

    def wait(self) -> int:
        return 0


def version(folder: Path, name: str, kind: str = "", after_s: float = 4.0) -> str:
    """Makes one of that fault among the versions to be fetched; by its content."""
    made = folder / f"made-{name}"
    ignored = shutil.ignore_patterns("__pycache__", "lab")
    shutil.copytree(Path(pumicenotch.__file__).parent, made / "pumicenotch", ignore=ignored)
    hook = HOOK + FAULTS[name if name in FAULTS else "good"].replace("KIND", repr(kind)).replace(
        "AFTER_S", str(after_s)
    )
    (made / "sitecustomize.py").write_text(f"# {name}\n{hook}")
    found = pack(made, folder / "source")
    shutil.rmtree(made)
    return found


def agent_text(
    crew: Crew, name: str, module: list[str], pairs: list[str], slots: dict[str, str], start_ms: int
) -> str:
    """An agent's file; its home is a folder of that name."""
    home = crew.folder / f"home-{name}"
    home.mkdir(exist_ok=True)
    return (
        f'fleet = "{FLEET}"\nmember = "{name}"\nhome = "{home}"\nsource = "{crew.folder / "source"}"\n'
        f"voters = {json.dumps([crew.shown(each) for each in crew.voters])}\n"
        f"command = {json.dumps([sys.executable, '-m', *module])}\n"
        f"environment = {json.dumps(pairs)}\nstart_ms = {start_ms}\ndrain_ms = 8000\n"
    ) + "".join(f'slot "{slot}" {{ version = "{version}" }}\n' for slot, version in slots.items())


def started(path: Path, log: Path) -> subprocess.Popen[bytes]:
    """An agent by its file."""
    command = [sys.executable, "-m", "pumicenotch.cli", "agent", "--config", str(path)]
    with log.open("ab") as opened:
        return subprocess.Popen(command, stderr=opened)


class ReleaseRun(FleetRun):
    def __init__(
        self, world: world_.World, seed: int, launch: Launch, folder: Path, releases: str = "none"
    ) -> None:
        super().__init__(world, seed, launch, folder, drains="none")
        self.releases = releases
        self.versions = {OLD: version(folder, OLD)}
        self.slots: tuple[str, ...] = ("program",)
        self.agents: dict[int, subprocess.Popen[bytes]] = {}
        self.had: dict[str, set[int]] = defaultdict(set)  # version -> servers that ever ran it
        self.queries: deque[float] = deque()
        self.released_at = self.over_at = 0.0
        self.last: dict[str, Any] = {}  # what the fleet said of the release

    # Agents, and their servers

    def home(self, node: Node) -> Path:
        return self.folder / f"home-n{node.number}"

    def spawn(self, node: Node, module: list[str], environment: dict[str, str]) -> None:
        if node.number not in self.agents:
            self.home(node).mkdir(exist_ok=True)
            node.log = self.home(node) / "server.log"
            node.log.touch()
            pairs = [f"{name}={environment[name]}" for name in ("LB_CONFIG", "PUMICENOTCH_CONFIG")]
            pairs.append("PYTHONPATH={program}")
            slots = dict.fromkeys(self.slots, self.versions[OLD])
            self.agent_file(node).write_text(
                agent_text(self.crew, f"n{node.number}", module, pairs, slots, 12_000)
                + f"seed = {self.seed + node.number}\n"
            )
            self.boot_agent(node)
        self.spawn_task(self.led(node))

    def agent_file(self, node: Node) -> Path:
        return self.folder / f"agent-n{node.number}.hcl"

    def boot_agent(self, node: Node) -> None:
        path = self.agent_file(node)
        self.agents[node.number] = started(path, path.with_suffix(".log"))

    def disk(self, node: Node) -> dict[str, Any]:
        with contextlib.suppress(OSError, ValueError):
            return dict(json.loads((self.home(node) / "agent.json").read_text()))
        return {"pid": 0, "runs": {}}

    async def led(self, node: Node) -> None:
        """Takes up the next process that its agent starts."""
        before = node.process.pid if isinstance(node.process, Led) else 0
        while not self.stopped:
            disk = self.disk(node)
            if disk["pid"] not in (0, before) and process_start_ticks(disk["pid"]):
                node.process = Led(disk["pid"])  # type: ignore[assignment]
                self.had[disk["runs"]["program"]].add(node.number)
                return
            await asyncio.sleep(LOOK_S)

    async def again(self, node: Node) -> None:
        """Its agent starts it anew, maybe more than once until one serves."""
        self.lives[node.number] += 1
        self.returning.add(node.number)
        node.work.notices.clear()
        node.conns.clear()
        await self.led(node)
        while not node.ready.is_set() and not self.stopped:
            if node.process is not None and node.process.poll() is not None:
                node.work.notices.clear()
                await self.led(node)
            await asyncio.sleep(LOOK_S)
        if self.stopped:
            return
        node.address = await self.listening(node)
        await self.returned(node)

    async def listening(self, node: Node) -> tuple[str, int]:
        """Where the last process says that it listens; the pool is bound before it has a need to be asked."""
        await super().listening(node)
        said = node.log.read_text(errors="replace").rpartition("listening on ")[2]
        host, _, port = said.split()[0].rstrip('",').rpartition(":")
        return host, int(port)

    def lost(self, node: Node, conn: GatewayPeer) -> None:
        """What a process held that has crashed for its version's sake is nobody's duty, as with one
        killed.
        """
        node.killed |= self.disk(node)["runs"].get("program") == self.versions.get(
            "crash-loop", "none"
        )
        super().lost(node, conn)

    # What all share

    def called(self, name: str, reply: Callable[[bytes], None]) -> None:
        most, now = self.world.database_most, self.now()
        self.queries.append(now)
        while self.queries[0] < now - 1000.0:
            self.queries.popleft()
        crowded = max(1.0, len(self.queries) / most) ** 2 if most else 1.0
        takes = self.database_ms * self.spread(0.5, 1.5) * crowded
        self.loop.call_later(takes / 1000.0, reply, b"rows " + name.encode())

    # Releases

    def fault(self, fault: world_.Fault, now: float) -> None:
        match fault.kind:
            case "release" if self.releases != "none":
                self.spawn_task(self.released(self.releases))
            case "release":
                pass
            case "kill_agent":
                self.kill_agent(self.nodes[fault.server], fault.for_s)
            case _:
                super().fault(fault, now)

    def keep_agents(self) -> None:
        """As a platform does: whichever agent has ended is started again."""
        for node in self.nodes:
            if (agent := self.agents.get(node.number)) is not None and agent.poll() is not None:
                self.boot_agent(node)

    def kill_agent(self, node: Node, for_s: float) -> None:
        agent = self.agents[node.number]
        agent.kill()
        agent.wait()
        self.loop.call_later(for_s, self.boot_agent, node)

    async def released(self, kind: str, name: str = "r1") -> None:
        """Plans and starts it, and notes when it is over."""
        kinds = [stage.name for stage in self.world.stage]
        self.versions[kind] = await asyncio.to_thread(version, self.folder, kind, kinds[0])
        await self.plan(name, kind)
        await self.word(name, "start")
        self.released_at = self.now()
        await self.over(name)
        self.over_at = self.now()

    def led_names(self) -> set[str]:
        """Whoever has an agent."""
        return {f"n{node.number}" for node in self.nodes}

    async def spoken(self) -> None:
        """All agents have, and the fleet is at the level that it takes."""
        async with asyncio.timeout(FORMED_S):
            while True:
                with contextlib.suppress(RequestRefusedError):
                    waves = (await self.crew.ask("waves", [1.0], True, ""))["waves"]
                    if self.led_names() <= {one for wave in waves for one in wave}:
                        return
                await asyncio.sleep(0.1)

    async def plan(self, name: str, kind: str, **more: Any) -> Any:
        await self.spoken()
        mixed = self.world.mixed
        shares = [1.0] if mixed else [0.34, 1.0]
        waves = (
            more.pop("waves", None) or (await self.crew.ask("waves", shares, mixed, ""))["waves"]
        )
        usual: dict[str, Any] = {
            "slot": "program",
            "replaces": "",
            "soak": int(self.world.soak_ms),
            "back": True,
        }
        usual |= {
            "wait": 20 * int(self.world.soak_ms),
            "urgent": False,
            "level": PROGRAM_LEVEL,
            **more,
        }
        entry = [
            name,
            usual["slot"],
            self.versions[kind],
            usual["replaces"],
            usual["level"],
            waves,
            usual["soak"],
            usual["wait"],
            usual["back"],
            0,
            usual["urgent"],
            mixed,
            [],
        ]
        return await self.crew.ask("plan", secrets.token_hex(8), entry, "operator")

    async def word(self, name: str, what: str, seen: tuple[str, ...] = ()) -> Any:
        return await self.crew.ask(
            "release", secrets.token_hex(8), name, what, seen, "a reason", "operator"
        )

    async def over(self, name: str, *states: str, within_s: float = 240.0) -> dict[str, Any]:
        """The release, once it is in one of those states."""
        async with asyncio.timeout(within_s):
            while True:
                with contextlib.suppress(TimeoutError):
                    self.last = await self.crew.ask("one_release", name, within_s=2.0)
                    if self.last["state"] in (states or ("done", "abandoned")):
                        return self.last
                await asyncio.sleep(0.2)

    def runs(self) -> Counter[str]:
        """By what stands on the nodes' disks."""
        return Counter(self.disk(node)["runs"].get("program", "") for node in self.nodes)

    # End

    def more(self) -> dict[str, float]:
        new = self.versions.get(self.releases, "")
        took = (self.over_at - self.released_at) / 1000.0 if self.over_at else -1.0
        return {
            "most_out": float(self.most_out),
            "most_over_budget": float(self.most_over),
            "ever_released": float(len(self.had.get(new, ()))),
            "versions": float(len(self.runs())),
            "released": float(self.last.get("state") == "done"),
            "release_s": round(took, 2),
        }

    async def stop(self) -> None:
        self.stopped = True
        for agent in self.agents.values():  # first: nobody is to start a server again
            if agent.poll() is None:
                agent.send_signal(signal.SIGCONT)
                agent.terminate()
        for agent in self.agents.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                await asyncio.to_thread(agent.wait, 3.0)
            if agent.poll() is None:
                agent.kill()
                agent.wait()
        for node in self.nodes:
            if node.process is not None and node.process.poll() is not None:
                pid = self.disk(node)["pid"]
                node.process = Led(pid) if pid else node.process  # type: ignore[assignment]
        await super().stop()
