"""A whole fleet in simulated time: the very code of members, agreement and drains, with a network that
delays, loses, doubles and cuts, processes that stop, die and come back. One seed replays a day to the
byte.
"""

import random
from collections.abc import Callable, Iterable, Sequence
from functools import partial
from typing import Any, NamedTuple

import msgpack

from pumicenotch.fleet.drains.budgets import Budget, Member
from pumicenotch.fleet.member import effects
from pumicenotch.fleet.member.node import MemberNode, MemberSetup
from pumicenotch.fleet.replicated.state import FleetState
from pumicenotch.fleet.replicated.subject import ReplicatedSubject
from pumicenotch.fleet.voter.node import VoterNode
from pumicenotch.fleet.voter.replica import VoterSetup
from pumicenotch.lab.simulated_time import SimulatedTime
from pumicenotch.membership.messages import MemberIdentity
from pumicenotch.sender import Sender

DRAIN_MS, RESTART_MS = (
    2000.0,
    1000.0,
)  # from the begin of a drain to its end, and to the next life's service


class Spec(NamedTuple):
    """What a process is made from, each life anew."""

    name: str
    zone: str
    voter: bool
    more: dict[str, Any]  # of Member


class Process:
    def __init__(self, spec: Spec, address: str) -> None:
        self.spec, self.address = spec, address
        self.core: MemberNode | None = None  # None: it is down
        self.life = 0
        self.stopped = False  # as by SIGSTOP: what comes waits
        self.late: list[Callable[[], None]] = []
        self.wake_at = float("inf")
        self.returns = True  # comes back by itself after a drain
        self.slow_ms = 0.0  # what each message waits for a crowded core, on average
        self.bytes = self.messages = 0

    @property
    def up(self) -> bool:
        return self.core is not None


class Day(SimulatedTime):
    """Addresses are names; `now` is the time that all processes' clocks show."""

    def __init__(
        self, seed: int, *, delay_ms: float = 1.0, loss: float = 0.0, measure: bool = False
    ) -> None:
        super().__init__()
        self.chance = random.Random(seed)
        self.processes: dict[str, Process] = {}
        self.delay_ms, self.loss, self.measure = delay_ms, loss, measure
        self.cut: set[tuple[str, str]] = set()  # from, to
        self.conns: dict[int, tuple[str, int]] = {}  # of requests: who asked, under which number
        self.answers: dict[int, tuple[Any, Any]] = {}  # of operators' requests
        self.voters: dict[str, str] = {}
        self.budgets: tuple[Budget, ...] = ()
        self.manual_members: tuple[Member, ...] = ()
        self.subjects: Callable[[str], Sequence[ReplicatedSubject]] = (
            lambda name: ()
        )  # of that voter
        self.away: dict[str, float] = {}  # by permit, since when
        self.log: list[tuple[float, str, str]] = []
        self.on_leave: Callable[[str], None] = lambda name: None

    # Setting up

    def add(self, name: str, zone: str = "", *, voter: bool = False, **more: Any) -> Process:
        made = self.processes[name] = Process(Spec(name, zone, voter, more), name)
        if voter:
            self.voters[name] = name
        return made

    def start(self, names: Iterable[str] = ()) -> None:
        for name in list(names) or list(self.processes):
            self.boot(name)

    def boot(self, name: str) -> None:
        """A new life of that name, in service at once."""
        process = self.processes[name]
        spec = process.spec
        process.life += 1
        process.stopped, process.late, process.wake_at = False, [], float("inf")
        life = f"{process.life:04d}"
        member = Member(name, life, spec.zone, voter=spec.voter, **spec.more)
        setup = MemberSetup(
            fleet="day",
            me=MemberIdentity(name, name, life, int(self.now) + 1, spec.zone, ""),
            member=member,
            voters=tuple(self.voters.values()),
            seeds=tuple(self.voters),
            now_ms=self.now,
            seed=self.chance.getrandbits(32),
        )
        if spec.voter:
            process.core = VoterNode(
                VoterSetup(
                    member=setup,
                    voters=self.voters,
                    budgets=self.budgets,
                    manual_members=self.manual_members,
                    make_subjects=partial(self.subjects, name),
                )
            )
        else:
            process.core = MemberNode(setup)
        self.away.pop(name, None)
        self.put(name, "start")
        if not spec.voter:
            self.put(name, "serve", True, False)

    # Running

    def until(
        self, met: Callable[[], bool], within_ms: float = 60_000.0, step_ms: float = 50.0
    ) -> float:
        """How long it took."""
        began = self.now
        while not met():
            if self.now - began >= within_ms:
                raise AssertionError(f"not within {within_ms:g} ms: {self.tail()}")
            self.run(step_ms)
        return self.now - began

    def tail(self) -> str:
        return "\n".join(f"{when:.0f} {name}: {text}" for when, name, text in self.log[-30:])

    def put(self, name: str, what: str, *details: Any) -> None:
        process = self.processes[name]
        if process.core is None:
            return
        if process.stopped:
            process.late.append(lambda: self.put(name, what, *details))
            return
        for effect in process.core.step(self.now, what, *details):
            self.carry_out(process, effect)

    def carry_out(self, process: Process, effect: effects.Effect) -> None:
        name = process.spec.name
        match effect:
            case effects.SendNotification(address, method, params):
                core = process.core
                assert core is not None
                sender = Sender(name, core.me.process_id, process.address)
                self.send(process, address, "told", sender, method, self.wire(process, params))
            case effects.SendRequest(address, number, verb, args):
                self.count += 1
                conn = self.count
                self.conns[conn] = (name, number)
                self.send(process, address, "asked", conn, number, verb, self.wire(process, args))
            case effects.SendResponse(conn, _, error, result):
                asker, number = self.conns.pop(conn, ("", 0))
                if asker:
                    self.send(process, asker, "answered", number, error, self.wire(process, result))
                else:  # an operator's
                    self.answers[conn] = (error, result)
            case effects.StartDraining():
                self.leave(process)
            case effects.WakeAt(at):
                self.alarm(process, at)
            case effects.Log(text):
                self.log.append((self.now, name, text))
            case effects.Exit():
                process.core = None

    def wire(self, process: Process, told: Any) -> Any:
        """What a codec makes of it, where bytes are measured; it costs most of the time."""
        process.messages += 1
        if not self.measure:
            return told
        packed = msgpack.packb(told)
        process.bytes += len(packed)
        return msgpack.unpackb(packed, use_list=False)

    def send(self, process: Process, to: str, what: str, *details: Any) -> None:
        if (
            to not in self.processes
            or (process.address, to) in self.cut
            or self.chance.random() < self.loss
        ):
            return
        life = self.processes[to].life
        late = self.delay_ms * self.chance.uniform(0.5, 1.5)
        if slow := self.processes[to].slow_ms:
            late += self.chance.expovariate(1.0 / slow)

        def arrive() -> None:
            if self.processes[to].life == life and (process.address, to) not in self.cut:
                self.put(to, what, *details)

        self.at(self.now + late, arrive)

    def alarm(self, process: Process, at: float) -> None:
        if process.wake_at <= at and process.wake_at > self.now:
            return
        process.wake_at = at = max(at, self.now)
        life = process.life

        def ring() -> None:
            if process.life == life and process.wake_at <= self.now:
                process.wake_at = float("inf")
                self.put(process.spec.name, "time")

        self.at(at, ring)

    def leave(self, process: Process) -> None:
        """By permit: the drain takes its time, then the process ends, and comes back if it is one that
        does.
        """
        name, life = process.spec.name, process.life
        self.away[name] = self.now
        self.on_leave(name)
        self.put(name, "leave", "by permit")

        def done() -> None:
            if process.life == life and process.core is not None:
                self.put(name, "left")
                self.at(self.now + 200.0, ended)

        def ended() -> None:
            if process.life == life:
                process.core = None
                self.gone_by_permit(name)
                if process.returns:
                    self.at(
                        self.now + RESTART_MS, lambda: self.boot(name) if not process.up else None
                    )

        self.at(self.now + DRAIN_MS, done)

    def gone_by_permit(self, name: str) -> None:
        """It has drained and ended."""

    # Faults

    def kill(self, name: str) -> None:
        self.processes[name].core = None

    def stop(self, name: str) -> None:
        self.processes[name].stopped = True

    def wake(self, name: str) -> None:
        process = self.processes[name]
        process.stopped, late, process.late = False, process.late, []
        for each in late:
            each()
        self.put(name, "time")

    def part(self, some: Iterable[str], others: Iterable[str], both: bool = True) -> None:
        """Nothing comes from some to the others, and back neither if both."""
        for one in some:
            for other in others:
                self.cut.add((one, other))
                if both:
                    self.cut.add((other, one))

    def isolate(self, zone: str) -> None:
        inside = [name for name, process in self.processes.items() if process.spec.zone == zone]
        self.part(inside, [name for name in self.processes if name not in inside])

    def heal(self) -> None:
        self.cut.clear()

    # Operators

    def ask(self, name: str, verb: str, *args: Any) -> int:
        """Of that process; the answer stands under the number in `answers`."""
        self.count += 1
        key = self.count
        self.put(name, "asked", key, 1, verb, args)
        return key

    def leader(self) -> str:
        """The one of the latest term that a majority follows; "" while there is none."""
        found = [
            (process.core.voter.term, name)
            for name, process in self.processes.items()
            if isinstance(process.core, VoterNode)
            and process.core.leads
            and not process.stopped
            and process.core.voter.has_active_quorum()
            and process.core.state.fleet
        ]
        return max(found)[1] if found else ""

    def agreed(self, verb: str, *args: Any, within_ms: float = 30_000.0) -> Any:
        """Asks whoever leads until it is agreed or refused; the answer's text, or the refusal's."""
        until = self.now + within_ms
        while self.now < until:
            if leader := self.leader():
                key = self.ask(leader, verb, *args)
                for _ in range(80):
                    self.run(50.0)
                    if key in self.answers:
                        break
                error, result = self.answers.pop(key, (("NoMajority", "", ""), None))
                if error is None:
                    return result
                if error[0] == "Refused":
                    return error[1]
            self.run(100.0)
        raise AssertionError(f"{verb} was not agreed within {within_ms:g} ms: {self.tail()}")

    def state(self) -> FleetState:
        leader = self.leader()
        assert leader, "nobody leads"
        core = self.processes[leader].core
        assert isinstance(core, VoterNode)
        return core.state


def usual(
    seed: int,
    *,
    nodes: int = 12,
    zones: int = 3,
    voters: int = 5,
    budgets: Iterable[Budget] = (),
    **more: Any,
) -> Day:
    """Nodes n0 ... and voters v1 ..., spread over the zones z0 ...; all are there and agreed when it
    returns.
    """
    day = Day(seed, **more)
    day.budgets = tuple(budgets) or (
        Budget("zones", "zone", max_unavailable=1),
        Budget("all", "fleet", max_unavailable=2),
    )
    for at in range(voters):
        day.add(f"v{at + 1}", f"z{at % zones}", voter=True)
    for at in range(nodes):
        day.add(f"n{at}", f"z{at % zones}")
    day.start()
    day.until(lambda: bool(day.leader()))
    day.until(
        lambda: (
            len(day.state().members) == nodes + voters
            and not any(day.state().is_unavailable(each) for each in day.state().members.values())
        ),
        120_000.0,
    )
    return day
