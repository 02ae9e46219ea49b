"""Plays scenarios of the server's core, in the notation of tests/control/scenario_player.py with these steps:

serve KEY=VALUE ...        a core that is linked, bound and warm, with connections 1 and 2 open; `stop` is
                           its notice to end, `cold=yes` leaves the pool unbound, `db=no` has no calls,
                           `sockets` and `memory` are its limits
send CONN MSG STAGE ID [t0= token= acct= mem= est= body=]      a task that arrives now, or at t0
put INPUT ARG ...          any input of the core: numbers, b:BYTES, REFUSED or BROKEN for a fault
open FIRST..LAST [alive]   opens those connections, and checks on each
reload PARTY ...           moves those to other addresses
finish ID HOW [RESULT] | block ID BODY      notices with the next number
mute [off]                 polls stay unanswered until `off` answers the last one
unread                     from now on `put read_out CONN` alone says that all that has come is read
frozen MS                  moves the clock with no timer on the way
out LINK KIND [ARG ...]    written once; `none` for never, `out-count N LINK KIND ...` for N times
did EFFECT [ARG ...] | did-not EFFECT       any other effect
counts NAME N
"""

import re
from itertools import count
from typing import Any

from pumicenotch.interface import DependencyKind, Outcome
from pumicenotch.net.database import OUTCOMES
from pumicenotch.net.pool import RUN_OUTCOMES
from pumicenotch.server import events, messages
from pumicenotch.server.core import Server
from pumicenotch.server.effects import FinishReading, Wake, Write
from pumicenotch.server.settings import ServerSettings
from tests.control.scenario_player import ControlScenario, numbers
from tests.request_ids import rid, short

RID = re.compile("[0-9a-f]{16}")
ANSWERS = ("served", "rejected", "failed")
# The scenarios' words for events, messages and effects.
EVENTS: dict[str, Any] = {
    "start": events.Started,
    "time": events.TimerFired,
    "leave": events.ShutdownRequested,
    "show_counters": events.CountersRequested,
    "reported": events.ReportFinished,
    "linked": events.ConnectionUp,
    "unlinked": events.ConnectionDown,
    "opened": events.ConnectionOpened,
    "eof": events.ConnectionEnded,
    "reset": events.ConnectionReset,
    "condemn": events.ProtocolViolated,
    "read_out": events.ReadingFinished,
    "scarce": events.DescriptorsExhausted,
    "reload": events.AddressesChanged,
    "task": events.RequestReceived,
    "cancel": events.RequestCancelled,
    "alive": events.HealthCheckReceived,
    "bound": lambda how, uptime_ms: events.PoolBound(how == "starting", uptime_ms),
    "polled": events.GaugesReported,
    "blocked": events.RunBlocked,
    "finished": lambda serial, name, how, result: events.RunFinished(
        serial, name, RUN_OUTCOMES.get(how), result
    ),
    "chatter": events.NoticeSkipped,
    "unknown": lambda command, name: events.CommandUnknown(command, name, command == "spawn"),
    "replied": lambda link, name, how, reply: events.DependencyReplied(
        link, name, OUTCOMES.get(how.encode(), Outcome.OK), reply
    ),
}
MESSAGES: dict[type, str] = {
    messages.RequestServed: "served",
    messages.RequestFailed: "failed",
    messages.RequestRejected: "rejected",
    messages.HealthReply: "alive",
    messages.DrainNotice: "draining",
    messages.BindPool: "bind",
    messages.PollPool: "poll",
    messages.StartRun: "spawn",
    messages.SuspendRun: "suspend",
    messages.ResumeRun: "proceed",
    messages.SupplyReply: "supply",
    messages.SkipDependency: "pass",
    messages.DependencyCall: "call",
}
EFFECTS = {"ChangeAddress": "Move", "FinishReading": "ReadOut"}


def words_of(message: Any) -> tuple[Any, ...]:
    """A message as scenarios write it: its kind, then its fields."""
    if isinstance(message, messages.ReadinessReport):
        return ("draining" if message.draining else "ready",)
    return (MESSAGES[type(message)], *message)


def plain(part: Any) -> str:
    """As the scenarios write it."""
    return short(part) if isinstance(part, str) and RID.fullmatch(part) else str(part)


def argument(text: str) -> Any:
    if text.startswith("b:"):
        return text[2:].encode()
    if text in events.FailureReach.__members__:
        return events.ConnectionFailure(events.FailureReach[text], "as the scenario says")
    return None if text == "None" else int(text) if text.lstrip("-").isdigit() else text


class ServerScenario(ControlScenario):
    core: Server

    def __init__(self) -> None:
        super().__init__()
        self.made: list[tuple[str, ...]] = []
        self.serials = count(1)
        self.ring = 0.0
        self.unread = False

    def step(self, name: str, *details: Any) -> None:
        for effect in self.core.step(self.now, EVENTS[name](*details)):
            if isinstance(effect, Wake):
                self.ring = self.now + effect.delay_ms
            elif isinstance(effect, Write):
                words = words_of(effect.message)
                self.made.append(("Write", *map(plain, (effect.connection, *words))))
                if isinstance(effect.message, messages.PollPool) and self.answers:
                    self.step("polled", effect.message.cookie, tuple(self.gauges.values()))
            elif isinstance(effect, FinishReading) and not self.unread:
                self.step("read_out", effect.connection)
            else:
                kind = type(effect).__name__
                self.made.append((EFFECTS.get(kind, kind), *map(str, effect)))

    def do_serve(self, plain: list[str], pairs: dict[str, Any]) -> None:
        stop, cold, below = pairs.pop("stop", 3000), pairs.pop("cold", False), pairs.pop("db", True)
        max_descriptors, memory_mb = pairs.pop("sockets", 64), pairs.pop("memory", 192)
        pairs["below"] = DependencyKind.NEXT_TIER if below else DependencyKind.NONE
        self.now, self.answers, self.serials = 1e6, True, count(1)
        self.core = Server(
            ServerSettings(
                controller=self.settings(pairs),
                class_indexes={name: at for at, name in enumerate(self.stages)},
                tenant_indexes={name: at for at, name in enumerate(self.tenants)},
                seed=1,
                shutdown_ms=stop,
                has_database=below,
                memory_mb=memory_mb,
                max_descriptors=max_descriptors,
            )
        )
        self.step("start")
        self.step("linked", "pool")
        if not cold:
            self.step("bound", "running", 100.0)
        for conn in (1, 2):
            self.step("opened", conn)

    def do_at(self, plain: list[str], pairs: dict[str, Any]) -> None:
        until = 1e6 + float(plain[0])
        while self.ring <= until:
            self.now = max(self.now, self.ring)
            self.step("time")
        self.now = until

    def do_frozen(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.now = 1e6 + float(plain[0])  # no timer rang on the way

    def do_unread(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.unread = True

    def do_mute(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.answers = plain == ["off"]
        if self.answers:
            self.step("polled", str(self.core.worker_pool.poll_number), tuple(self.gauges.values()))

    def do_send(self, plain: list[str], pairs: dict[str, Any]) -> None:
        conn, message, stage, name = plain
        if ".." in message:
            for number in numbers([message]):
                self.do_send([conn, str(number), stage, f"{name}{number}"], dict(pairs))
            return
        body = pairs.pop("body", "body")
        arrived = 1e6 + pairs.pop("t0") if "t0" in pairs else self.now
        if "token" in pairs:
            pairs["token"] = 16 * "0" + rid(pairs["token"])
        told = {"rid": rid(name), "t0": int(arrived), "peer": 1, "prio": 0.5, "mem": 1.5, **pairs}
        fields = {key: str(value) for key, value in told.items() if value != "absent"}
        sent = None if body == "none" else body.encode()
        self.step("task", int(conn), int(message), 0.0, stage, fields, sent)

    def do_put(self, plain: list[str], pairs: dict[str, Any]) -> None:
        details = [argument(word) for word in plain[1:]]
        if plain[0] in ("finished", "blocked", "replied", "unknown"):
            details[1] = rid(plain[2])
        self.step(plain[0], *details)

    def do_open(self, plain: list[str], pairs: dict[str, Any]) -> None:
        for conn in numbers(plain[:1]):
            self.step("opened", conn)
            if plain[1:]:
                self.step("alive", conn, 1)

    def do_reload(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.step("reload", {party: ("127.0.0.9", 1) for party in plain}, "nothing")

    def do_finish(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.step(
            "finished", next(self.serials), rid(plain[0]), plain[1], "".join(plain[2:]).encode()
        )

    def do_block(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.step("blocked", next(self.serials), rid(plain[0]), plain[1].encode())

    def found(self, words: list[str]) -> int:
        return sum(list(made[: len(words)]) == words for made in self.made)

    def check(self, wanted: int, words: list[str]) -> None:
        found = self.found(words)
        assert found == wanted, f"{words} {found} times by {self.now - 1e6}: {self.made}"

    def do_out(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.check(1, ["Write", *plain])

    def do_none(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.check(0, ["Write", *plain])

    def do_out_count(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.check(int(plain[0]), ["Write", *plain[1:]])

    def do_did(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.check(1, plain)

    def do_did_not(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.check(0, plain)

    def do_counts(self, plain: list[str], pairs: dict[str, Any]) -> None:
        found = self.core.counters.counts[plain[0]]
        assert found == int(plain[1]), f"{plain[0]} is {found}: {self.core.counters.text()}"

    def end(self) -> None:
        """Holds at the end of every scenario: counters add up, and no message was answered twice."""
        counts = self.core.counters.counts
        answered = sum(
            counts[f"answered_{end}"] for end in ("served", "rejected", "failed", "gone")
        )
        assert counts["tasks"] == answered + self.core.requests.count_unanswered(), (
            self.core.counters.text()
        )
        answers = [made[1:4:2] for made in self.made if made[0] == "Write" and made[2] in ANSWERS]
        assert len(answers) == len(set(answers)), answers

    def do_forget_seen(self, plain: list[str], pairs: dict[str, Any]) -> None:
        self.made.clear()
