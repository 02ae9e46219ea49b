"""Releases in simulated time: a `Day` whose servers have agents beside them, versions that behave badly in a
way of their own, and a load whose counts the servers tell.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any, NamedTuple

from pumicenotch.fleet.agent.agent import Agent, AgentSetup
from pumicenotch.fleet.drains.budgets import Budget
from pumicenotch.fleet.member import effects
from pumicenotch.fleet.releases.commands import release_to_wire
from pumicenotch.fleet.releases.release import PLANNED, Release
from pumicenotch.fleet.releases.waves import plan_waves
from pumicenotch.lab import fleets
from pumicenotch.lab.fleets import Day, Process

HOLD_MS, SWAP_MS = 50.0, 5.0
COUNT_MS = 500.0  # between a server's counts of its tasks
CALL_MS = 15.0
KINDS = ("read", "put", "search")


class Version(NamedTuple):
    """How a version of that name behaves. `OLD` and whatever is not named here are good."""

    crashes_ms: float = -1.0  # ends with status 1 so long after its start; -1: never
    mute: bool = False  # serves its callers and does not talk to the fleet
    bad: float = 0.0  # part of the tasks of `kind` that go badly beyond what is usual
    kind: str = ""  # "": of every kind
    calls: float = 1.0  # below, for a task
    memory_mb: float = 40.0
    hangs: bool = False  # neither drains nor ends when told to
    slow_from_ms: float = float("inf")  # from then on all of it is bad


OLD = "v-old"
NEW = "v-new"


class Agents(Day):
    def __init__(self, seed: int, **more: Any) -> None:
        super().__init__(seed, **more)
        self.versions: dict[str, Version] = {}
        self.runs: dict[str, dict[str, str]] = defaultdict(
            lambda: {"program": OLD}
        )  # on the nodes' disks
        self.holds: dict[str, list[str]] = defaultdict(lambda: [OLD])
        self.full: set[str] = set()  # disks
        self.agents: dict[str, str] = {}  # agent -> node
        self.ever: dict[str, set[str]] = defaultdict(set)  # version -> nodes that have had it
        self.counted: dict[str, dict[str, list[float]]] = {}
        self.load = 20.0  # tasks a second, kind and server
        self.below = 0.0  # part of the calls below that go badly for all
        self.moves: list[tuple[float, str, str]] = []

    def add_agent(self, node: str) -> None:
        name = f"a-{node}"
        self.agents[name] = node
        self.add(name, self.processes[node].spec.zone)
        self.processes[node].returns = False

    def boot(self, name: str) -> None:
        node = self.agents.get(name)
        if node is None:
            super().boot(name)
            self.counted[name] = {kind: [0.0] * 6 for kind in KINDS}
            return
        process = self.processes[name]
        process.life += 1
        process.stopped, process.late, process.wake_at = False, [], float("inf")
        setup = AgentSetup(
            fleet="day",
            node=node,
            process_id=f"{process.life:04d}",
            voters=tuple(self.voters.values()),
            versions=self.runs[node],
            stored=tuple(self.holds[node]),
            has_server=self.processes[node].up,
            start_timeout_ms=10_000.0,
            drain_timeout_ms=6000.0,
            now_ms=self.now,
            seed=self.chance.getrandbits(32),
        )
        process.core = Agent(setup)  # type: ignore[assignment]
        self.put(name, "start")

    def version(self, node: str) -> Version:
        return self.versions.get(self.runs[node]["program"], Version())

    def carry_out(self, process: Process, effect: effects.Effect) -> None:
        name = process.spec.name
        node = self.agents.get(name)
        if node is None:
            if isinstance(effect, effects.StartDraining) and self.version(name).hangs:
                return
            super().carry_out(process, effect)
            return
        life = process.life

        def later(after_ms: float, what: str, *details: Any) -> None:
            self.at(
                self.now + after_ms,
                lambda: self.put(name, what, *details) if process.life == life else None,
            )

        match effect:
            case effects.FetchVersion(version):
                full = node in self.full
                if not full and version not in self.holds[node]:
                    self.holds[node].append(version)
                later(HOLD_MS, "held", version, "no space left on device" if full else "")
            case effects.CheckVersion(version):
                # At once: another event would change the numbers of all later ones.
                self.put(name, "checked", version, "")
            case effects.ActivateVersion(slot, version):
                self.runs[node] = {**self.runs[node], slot: version}
                self.ever[version].add(node)
                self.moves.append((self.now, node, version))
                later(SWAP_MS, "swapped", slot, "")
            case effects.StartServer():
                self.at(self.now + fleets.RESTART_MS, lambda: self.started(node))
            case effects.StopServer(force):
                self.at(self.now + 100.0, lambda: self.told_to_end(node, force))
            case effects.RestartAgent():
                self.boot(name)
            case effects.ReloadServer() | effects.ConfirmVersions():
                pass
            case _:
                super().carry_out(process, effect)

    def started(self, node: str) -> None:
        if self.processes[node].up:
            return
        self.boot(node)
        version, process = self.version(node), self.processes[node]
        life = process.life
        if version.mute:
            self.mute(node)
        if version.crashes_ms >= 0.0:
            self.at(
                self.now + version.crashes_ms,
                lambda: self.crash(node) if process.life == life else None,
            )

    def mute(self, node: str) -> None:
        process = self.processes[node]
        process.stopped, process.life = True, process.life + 1

    def crash(self, node: str) -> None:
        if self.processes[node].up:
            self.kill(node)
            self.ended(node, 1)

    def told_to_end(self, node: str, force: bool) -> None:
        if not self.processes[node].up or (self.version(node).hangs and not force):
            return
        self.kill(node)
        self.ended(node, 0)

    def ended(self, node: str, status: int) -> None:
        agent = f"a-{node}"
        if agent in self.agents and self.processes[agent].up:
            self.put(agent, "ended", status)

    def gone_by_permit(self, name: str) -> None:
        self.ended(name, 0)

    # Load

    def tasks(self) -> None:
        """Each server's counts since its start, told to its node."""
        self.at(self.now + COUNT_MS, self.tasks)
        for node in self.agents.values():
            process = self.processes[node]
            if not process.up or process.stopped or process.spec.voter:
                continue
            version = self.version(node)
            rows = self.counted[node]
            for kind, row in rows.items():
                many = sum(
                    self.chance.random() < 0.5
                    for _ in range(int(2 * self.load * COUNT_MS / 1000.0))
                )
                bad = 0.01 + self.below / 2.0 + (version.bad if version.kind in ("", kind) else 0.0)
                calls = int(many * version.calls)
                more = (
                    many,
                    many,
                    sum(self.chance.random() < bad for _ in range(many)),
                    calls,
                    sum(self.chance.random() < 0.01 + self.below for _ in range(calls)),
                    calls * CALL_MS,
                )
                rows[kind] = [held + each for held, each in zip(row, more, strict=True)]
            self.put(
                node, "counted", [(kind, *row) for kind, row in rows.items()], version.memory_mb
            )

    # Releases

    def plan(self, name: str = "r1", version: str = NEW, **more: Any) -> Any:
        """Plans and starts it; the last answer."""
        told = self.release(name, version, **more)
        text = self.agreed("plan", f"p-{name}", release_to_wire(told), "op")
        return text if isinstance(text, str) else self.word(name, "start")

    def release(self, name: str, version: str, **more: Any) -> Release:
        waves = more.pop("waves", None) or plan_waves(
            [
                each
                for each in self.state().members.values()
                if each.name in self.state().releases.nodes
            ]
        )
        usual: dict[str, Any] = {
            "slot": "program",
            "soak_ms": 5000,
            "extra_soak_ms": 30_000,
            "rolls_back": True,
            "gate": 0,
        }
        usual |= {"urgent": False, "mixed": False, "replaces": "", "level": 2, **more}
        return Release(name=name, version=version, waves=waves, **usual)

    def word(self, name: str, what: str, seen: Iterable[str] = (), why: str = "a reason") -> Any:
        self.count += 1
        return self.agreed("release", f"w{self.count}", name, what, tuple(seen), why, "op")

    def stands(self, name: str = "r1") -> str:
        leader = self.leader()
        if not leader:
            return ""
        held = self.state().releases.releases.get(name)
        return held.state if held is not None else PLANNED

    def versions_run(self) -> Counter[str]:
        return Counter(self.runs[node]["program"] for node in self.agents.values())


def usual(
    seed: int,
    *,
    nodes: int = 12,
    zones: int = 3,
    voters: int = 5,
    with_voters: bool = False,
    budgets: Iterable[Budget] = (),
    versions: dict[str, Version] | None = None,
    **more: Any,
) -> Agents:
    """As `fleets.usual`, with an agent beside each node; every agent has spoken when it returns."""
    day = Agents(seed, **more)
    day.versions = versions or {}
    day.budgets = tuple(budgets) or (
        Budget("zones", "zone", max_unavailable=1),
        Budget("all", "fleet", max_unavailable=2),
    )
    for at in range(voters):
        day.add(f"v{at + 1}", f"z{at % zones}", voter=True)
    for at in range(nodes):
        day.add(f"n{at}", f"z{at % zones}")
    for name in [*(f"n{at}" for at in range(nodes)), *(day.voters if with_voters else ())]:
        day.add_agent(name)
    day.start([name for name in day.processes if name not in day.agents])
    day.until(lambda: bool(day.leader()))
    day.start(list(day.agents))
    day.until(
        lambda: (
            bool(day.leader())
            and len(day.state().releases.nodes) == len(day.agents)
            and len(day.state().members) == nodes + voters
            and not any(day.state().is_unavailable(each) for each in day.state().members.values())
        ),
        120_000.0,
    )
    day.tasks()
    return day
