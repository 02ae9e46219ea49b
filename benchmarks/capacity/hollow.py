"""A fleet at size with few real processes: five voters, a server and an agent run the real code; all other
members are hollow. A hollow member asks the leader at the real pace, answers and sends probes and whole pages
at the real rates, and decides nothing. Time is simulated; sizes of messages are those of the real codec.
"""

import json
import random
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

from benchmarks.capacity.measured_day import Meter, fleet_budgets, founded, zone_name
from benchmarks.capacity.meter import frozen_heap
from pumicenotch.fleet.drains.budgets import SERVING, Member
from pumicenotch.fleet.drains.lifecycle import SILENT
from pumicenotch.fleet.member import effects
from pumicenotch.fleet.replicated import snapshot
from pumicenotch.fleet.replicated.commands import SetFailure
from pumicenotch.fleet.replicated.records import member_to_wire
from pumicenotch.fleet.replicated.registry import Command
from pumicenotch.fleet.voter.failure_detector import FailureDetector
from pumicenotch.fleet.voter.node import VoterNode
from pumicenotch.lab.fleets import Process, Spec
from pumicenotch.membership import messages
from pumicenotch.membership.messages import (
    MAX_UPDATES_PER_MESSAGE,
    Ack,
    FullState,
    MemberIdentity,
    MemberPhase,
    MemberState,
    Ping,
    Update,
)

PERIOD_MS = 1000.0  # of probes: each member is probed once a period in the mean
HEARTBEAT_MS = 500.0  # between a member's questions, where the leader names no longer time
PAGES_MS = 15_000.0  # between a member's exchanges of everything
PAGES_TO_SEEDS = 2.0 / 3.0  # of them while nobody is dead: two turns in three go to a seed
LIFE = "0123456789ab"  # as long as the real ones; so are names and addresses
BEGAN = 1_790_000_000_000
REGIONS = 7
SERVER = "server-measured"
RUNS = [
    ["agent", "sha256-0123456789ab"],
    ["config", "sha256-0123456789ab"],
    ["server", "sha256-0123456789ab"],
]
HOLDS = ["sha256-0123456789ab"]
COUNTS = [["read", 1e5, 1e5, 10.0, 1e5, 10.0, 1e6], ["write", 1e5, 1e5, 10.0, 1e5, 10.0, 1e6]]
MEMORY_MB = 90.0
GOSSIP_MOST = 11  # news with a probe, beside the prober's own
RECENT_MS = 30_000.0  # for which it is handed on
JOINING_MS = 1000.0  # within which a zone's processes start
FIRST_PAGES_MS = (0.0, 1000.0, 3000.0, 7000.0)  # of a new process, with seeds
TABLE_READY = 10  # exchanges that a member has behind it


class HollowMember:
    """A member with its agent: both only ask the leader how they stand, at the pace that the leader names."""

    def __init__(self, who: MemberIdentity, due: float, pages: list[list[Any]]) -> None:
        """`pages` is what it answers who wants everything."""
        self.me, self.due, self.number = who, due, 0
        self.pages = pages
        self.asks: list[tuple[str, tuple[Any, ...]]] = []  # before its ordinary question
        self.agreed_at = 0.0  # when its last request was
        self.leader = ""
        self.again_ms = 0.0

    def step(self, now: float, name: str, *details: Any) -> list[effects.Effect]:
        found: list[effects.Effect] = []
        match name, details:
            case "told", [sender, "members", params]:
                found += self.heard(sender, params)
            case "answered", [_, error, result]:
                self.answered(now, error, result)
        if now >= self.due:
            found += self.questions()
            self.due = now + max(HEARTBEAT_MS, self.again_ms)
        return [*found, effects.WakeAt(self.due)]

    def heard(self, sender: tuple[str, str, str], params: Any) -> list[effects.Effect]:
        if params[0] == "whole" and params[2]:
            return [
                effects.SendNotification(sender[2], "members", tuple(page)) for page in self.pages
            ]
        if params[0] != "ping":
            return []
        mine = Update(self.me, 1, MemberPhase.SERVING, MemberState.ALIVE, self.me.name)
        answer = messages.encode(Ack(params[1], (mine,), ()))
        return [effects.SendNotification(sender[2], "members", tuple(answer))]

    def questions(self) -> list[effects.Effect]:
        name, life = self.me.name, self.me.process_id
        if self.asks:
            return [self.ask(*self.asks[0])]
        agent = (name, life, RUNS, HOLDS, "", "")
        return [
            self.ask("mine", (name, life, False)),
            self.ask("agent", agent),
            effects.SendNotification(self.leader, "counts", (COUNTS, MEMORY_MB)),
        ]

    def ask(self, verb: str, args: tuple[Any, ...]) -> effects.Effect:
        self.number += 1
        return effects.SendRequest(self.leader, self.number, verb, args)

    def answered(self, now: float, error: Any, result: Any) -> None:
        if error is None and self.asks:
            self.asks.pop(0)
            self.agreed_at = now
            self.due = now if self.asks else now + max(HEARTBEAT_MS, self.again_ms)
        elif error is None and isinstance(result, dict):
            self.again_ms = float(result.get("again_ms", self.again_ms))
            self.due = max(self.due, now + self.again_ms)


class HollowFleet:
    """Five real voters and one real server among hollow ones; all are agreed to serve."""

    def __init__(self, servers: int, seed: int, *, zones: int = 20, services: int = 1) -> None:
        self.chance = random.Random(seed)
        self.servers, self.zones, self.services = servers, zones, services
        self.day = founded(seed, fleet_budgets(zones), [(SERVER, zone_name(0))])
        self.leader = self.day.leader()
        self.follower = next(name for name in sorted(self.day.voters) if name != self.leader)
        self.server = SERVER
        self.names = [f"server-{at:07d}" for at in range(servers - 1)]
        self.members = [self.member(at, name) for at, name in enumerate(self.names)]
        self.news = [
            Update(self.who(at), 1, MemberPhase.SERVING, MemberState.ALIVE, "")
            for at in range(servers - 1)
        ]
        self.recent: deque[Update] = deque(maxlen=GOSSIP_MOST)  # what is news at the moment
        self.install_state()
        self.install_members()
        self.start_hollow()
        self.watched = (self.leader, self.follower, self.server)

    def zone(self, at: int) -> str:
        return zone_name(at % self.zones)

    def service(self, at: int) -> str:
        return f"service-{at % self.services:04d}"

    def region(self, at: int) -> str:
        return f"region-{at % self.zones % REGIONS}"

    def who(self, at: int) -> MemberIdentity:
        name = self.names[at]
        return MemberIdentity(name, name, LIFE, BEGAN, self.zone(at), self.region(at))

    def member(self, at: int, name: str) -> Member:
        return Member(
            name, LIFE, self.zone(at), self.region(at), uses=(self.service(at),), status=SERVING
        )

    def install_state(self) -> None:
        """The agreed state with all members in it, at each voter, as a snapshot would bring it."""
        for name in self.day.voters:
            core: Any = self.day.processes[name].core
            told = json.loads(snapshot.dump(core.state))
            told["members"] += [list(each) for each in self.members]
            nodes = [
                [each.name, LIFE, RUNS, HOLDS, "", "", ["", "", 0], 0] for each in self.members
            ]
            told["form"], told["releases"] = (
                2,
                {"level": 2, "stands": [], "nodes": nodes, "releases": []},
            )
            core.state = snapshot.load(json.dumps(told).encode())
            core.detector = FailureDetector(self.day.now, core.state.members)

    def install_members(self) -> None:
        """Everybody is known to the real processes, and nothing is news any more."""
        for name, process in self.day.processes.items():
            table: Any = process.core
            members = table.members
            for each in self.news:
                members.table.install(self.day.now, each)
            members.gossip.clear()
            members.prober.clear_round()
            members.exchange.exchange_count = TABLE_READY + self.chance.randrange(3)
            members.exchange.next_exchange_at_ms = self.day.now + self.chance.uniform(0.0, PAGES_MS)
            assert len(members.table) >= len(self.news), name

    def start_hollow(self) -> None:
        again_ms = max(HEARTBEAT_MS, 5.0 * self.servers)
        pages = [messages.encode(page) for page in self.pages(False)]
        for at, name in enumerate(self.names):
            process = self.day.processes[name] = Process(Spec(name, self.zone(at), False, {}), name)
            process.life = 1
            core = HollowMember(
                self.who(at), self.day.now + self.chance.uniform(0.0, again_ms), pages
            )
            core.leader, core.again_ms = self.leader, again_ms
            process.core = core  # type: ignore[assignment]
            self.day.alarm(process, core.due)

    # What hollow members would send

    def probes(self, to: str) -> None:
        """One probe a period from somebody by chance."""

        def one() -> None:
            self.tell(
                self.any_hollow(), to, Ping(1, (self.chance.choice(self.news), *self.recent), ())
            )
            self.day.at(self.day.now + self.chance.expovariate(1.0 / PERIOD_MS), one)

        self.day.at(self.day.now + self.chance.expovariate(1.0 / PERIOD_MS), one)

    def exchanges(self, to: str, each_ms: float) -> None:
        """Everything, so often in the mean, from somebody by chance, who wants everything back."""

        def one() -> None:
            self.page(self.any_hollow(), to)
            self.day.at(self.day.now + self.chance.uniform(0.9, 1.1) * each_ms, one)

        self.day.at(self.day.now + self.chance.uniform(0.0, each_ms), one)

    def pages(self, reply: bool) -> list[FullState]:
        parts = [
            tuple(self.news[at : at + MAX_UPDATES_PER_MESSAGE])
            for at in range(0, len(self.news), MAX_UPDATES_PER_MESSAGE)
        ]
        return [FullState(part, reply and at == len(parts) - 1) for at, part in enumerate(parts)]

    def page(self, name: str, to: str) -> None:
        for page in self.pages(True):
            self.tell(name, to, page)

    def any_hollow(self) -> str:
        return self.chance.choice(self.names)

    def tell(self, name: str, to: str, message: messages.Message) -> None:
        process = self.day.processes[name]
        told = self.day.wire(process, messages.encode(message))
        self.day.send(process, to, "told", (name, LIFE, name), "members", told)

    def ordinary(self) -> None:
        """Probes and exchanges at the rates of a fleet in which nothing happens."""
        many = len(self.day.processes)
        to_voter = PAGES_MS / (many * PAGES_TO_SEEDS / len(self.day.voters))
        to_server = PAGES_MS / (1.0 - PAGES_TO_SEEDS)
        self.every(HEARTBEAT_MS, lambda: self.day.put(self.server, "counted", COUNTS, MEMORY_MB))
        for name in self.watched:
            self.probes(name)
            self.exchanges(name, to_voter if name in self.day.voters else to_server)

    # What happens to members

    def every(self, each_ms: float, do: Callable[[], None]) -> None:
        """From now on, so often in the mean."""

        def one() -> None:
            do()
            self.day.at(self.day.now + self.chance.uniform(0.5, 1.5) * each_ms, one)

        self.day.at(self.day.now + self.chance.uniform(0.0, 1.0) * each_ms, one)

    def restart(self) -> None:
        """One leaves and comes back as a new process."""
        self.return_anew(self.chance.randrange(len(self.names)))

    def join_at_once(self, names: list[str]) -> None:
        """They come back as new processes, and exchange pages with voters as such do."""
        voters = sorted(self.day.voters)
        for name in names:
            begins = self.day.now + self.chance.uniform(0.0, JOINING_MS)
            self.day.at(begins, partial(self.return_anew, self.names.index(name)))
            for number, after_ms in enumerate(FIRST_PAGES_MS):
                to = self.chance.choice(voters)
                if to in self.watched:
                    self.day.at(begins + after_ms, partial(self.first_page, name, to, number == 0))

    def first_page(self, name: str, to: str, alone: bool) -> None:
        """At first a process knows itself alone; it wants everything back."""
        if alone:
            mine = self.news[self.names.index(name)]
            self.tell(name, to, FullState((mine,), True))
        else:
            self.page(name, to)

    def return_anew(self, at: int) -> None:
        core: Any = self.day.processes[self.names[at]].core
        if core.asks:
            return
        old = core.me
        self.tell_news(Update(old, 2, MemberPhase.LEFT, MemberState.ALIVE, old.name))
        core.me = old._replace(
            process_id=f"{self.chance.getrandbits(48):012x}", started_at_ms=old.started_at_ms + 1
        )
        member = self.members[at]._replace(process_id=core.me.process_id)
        core.asks = [
            ("gone", (old.name, old.process_id)),
            ("join", (member_to_wire(member),)),
            ("serving", (old.name, core.me.process_id)),
        ]
        core.due = self.day.now
        self.day.alarm(self.day.processes[old.name], core.due)
        self.news[at] = Update(core.me, 1, MemberPhase.SERVING, MemberState.ALIVE, old.name)
        self.tell_news(self.news[at])

    def fail(self) -> None:
        """One is taken for silent by a majority of the voters, and speaks again."""
        name = self.any_hollow()
        process_id = self.leading_node().state.members[name].process_id
        self.propose(SetFailure(name, process_id, SILENT))

    def leading_node(self) -> VoterNode:
        leader = self.day.processes[self.leader].core
        assert isinstance(leader, VoterNode)
        return leader

    def propose(self, command: Command) -> None:
        """A command that the leader itself proposes, metered as its own step."""
        meter = self.day.meters.get(self.leader, Meter())
        meter.run("propose", self.leading_node().propose_command, command)
        self.day.put(self.leader, "time")  # carries out what the proposal asks for

    def tell_news(self, update: Update) -> None:
        self.recent.append(update)
        self.day.at(self.day.now + RECENT_MS, lambda: self.forget_news(update))

    def forget_news(self, update: Update) -> None:
        if update in self.recent:
            self.recent.remove(update)

    def measure(self, span_ms: float, windows: int, warm_ms: float) -> dict[str, Meter]:
        self.day.run(warm_ms)
        self.day.meters.clear()
        self.day.watch(*self.watched)
        with frozen_heap():
            for _ in range(windows):
                self.day.run(span_ms / windows)
                for meter in self.day.meters.values():
                    meter.end_window()
        return dict(self.day.meters)
