"""Runs scenarios of the server's core, in the notation of tests/control/scenario_player.py with these steps:

serve KEY=VALUE ...        creates a core with a bound, warm pool and open gateway connections 1 and 2;
                           `stop` is `shutdown_ms`, `cold=yes` leaves the pool unbound, `db=no` is a server
                           without a database, `sockets` and `memory` are limits of descriptors and memory
send CONN MSG STAGE ID [t0= token= acct= mem= est= body=]      sends a request that arrives now, or at t0
put INPUT ARG ...          delivers any event; arguments are numbers, b:BYTES, or REFUSED or BROKEN for a failure
open FIRST..LAST [alive]   opens these connections, and sends a health check on each
reload PARTY ...           changes the addresses of these parties
finish ID HOW [RESULT] | block ID BODY      delivers a notice of the pool with the next serial
mute [off]                 leaves polls unanswered; `off` answers the last poll
unread                     from now on a `FinishReading` is answered only by `put read_out CONN`
frozen MS                  moves the clock without firing timers
out LINK KIND [ARG ...]    expects a message written once; `none` never, `out-count N LINK KIND ...` N times
did EFFECT [ARG ...] | did-not EFFECT       expects any other effect once, or never
counts NAME N              expects the value of a counter
"""

import re
from itertools import count
from typing import Any

from pumicenotch.interface import DependencyKind, Outcome
from pumicenotch.net.database import OUTCOMES
from pumicenotch.net.pool import RUN_OUTCOMES
from pumicenotch.server import events, messages
from pumicenotch.server.core import Server
from pumicenotch.server.core_share import BusyTime
from pumicenotch.server.effects import FinishReading, Wake, Write
from pumicenotch.server.settings import ServerSettings
from tests.control.scenario_player import ControlScenario, numbers
from tests.request_ids import rid, short

REQUEST_ID = re.compile("[0-9a-f]{16}")
ANSWERS = ("served", "rejected", "failed")
# The names of events, messages and effects in scenario files.
EVENTS: dict[str, Any] = {
    "start": events.Started,
    "time": events.TimerFired,
    "leave": events.ShutdownRequested,
    "busy": lambda elapsed_ms, processor_ms: events.BusyTimeMeasured(
        BusyTime(elapsed_ms, processor_ms)
    ),
    "listener_closed": events.ListenerClosed,
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


def message_words(message: Any) -> tuple[Any, ...]:
    """Returns a message in the scenarios' notation: its name, then its fields."""
    if isinstance(message, messages.ReadinessReport):
        return ("draining" if message.draining else "ready",)
    return (MESSAGES[type(message)], *message)


def scenario_text(field: Any) -> str:
    """Returns a field in the scenarios' notation, with the short name for a request id."""
    return short(field) if isinstance(field, str) and REQUEST_ID.fullmatch(field) else str(field)


def parse_argument(text: str) -> Any:
    if text.startswith("b:"):
        return text[2:].encode()
    if text in events.FailureReach.__members__:
        return events.ConnectionFailure(events.FailureReach[text], "as the scenario says")
    return None if text == "None" else int(text) if text.lstrip("-").isdigit() else text


class ServerScenario(ControlScenario):
    core: Server

    def __init__(self) -> None:
        super().__init__()
        self.recorded: list[tuple[str, ...]] = []
        self.serials = count(1)
        self.timer_at = 0.0
        self.defers_reads = False

    def step(self, name: str, *arguments: Any) -> None:
        for effect in self.core.step(self.now, EVENTS[name](*arguments)):
            if isinstance(effect, Wake):
                self.timer_at = self.now + effect.delay_ms
            elif isinstance(effect, Write):
                words = message_words(effect.message)
                self.recorded.append(("Write", *map(scenario_text, (effect.connection, *words))))
                if isinstance(effect.message, messages.PollPool) and self.answers_polls:
                    self.step("polled", effect.message.cookie, tuple(self.gauges.values()))
            elif isinstance(effect, FinishReading) and not self.defers_reads:
                self.step("read_out", effect.connection)
            else:
                kind = type(effect).__name__
                self.recorded.append((EFFECTS.get(kind, kind), *map(str, effect)))

    def do_serve(self, words: list[str], options: dict[str, Any]) -> None:
        shutdown_ms, cold, has_database = (
            options.pop("stop", 3000),
            options.pop("cold", False),
            options.pop("db", True),
        )
        max_descriptors, memory_mb = options.pop("sockets", 64), options.pop("memory", 192)
        options["below"] = DependencyKind.NEXT_TIER if has_database else DependencyKind.NONE
        self.now, self.answers_polls, self.serials = 1e6, True, count(1)
        self.core = Server(
            ServerSettings(
                controller=self.settings(options),
                class_indexes={name: at for at, name in enumerate(self.stages)},
                tenant_indexes={name: at for at, name in enumerate(self.tenants)},
                seed=1,
                shutdown_ms=shutdown_ms,
                has_database=has_database,
                memory_mb=memory_mb,
                max_descriptors=max_descriptors,
            )
        )
        self.step("start")
        self.step("linked", "pool")
        if not cold:
            self.step("bound", "running", 100.0)
        for connection_id in (1, 2):
            self.step("opened", connection_id)

    def do_at(self, words: list[str], options: dict[str, Any]) -> None:
        end_at = 1e6 + float(words[0])
        while self.timer_at <= end_at:
            self.now = max(self.now, self.timer_at)
            self.step("time")
        self.now = end_at

    def do_frozen(self, words: list[str], options: dict[str, Any]) -> None:
        self.now = 1e6 + float(words[0])  # no timer fires meanwhile

    def do_unread(self, words: list[str], options: dict[str, Any]) -> None:
        self.defers_reads = True

    def do_mute(self, words: list[str], options: dict[str, Any]) -> None:
        self.answers_polls = words == ["off"]
        if self.answers_polls:
            self.step("polled", str(self.core.worker_pool.poll_number), tuple(self.gauges.values()))

    def do_send(self, words: list[str], options: dict[str, Any]) -> None:
        connection_id, message, class_name, name = words
        if ".." in message:
            for message_id in numbers([message]):
                self.do_send(
                    [connection_id, str(message_id), class_name, f"{name}{message_id}"],
                    dict(options),
                )
            return
        body = options.pop("body", "body")
        arrived_at = 1e6 + options.pop("t0") if "t0" in options else self.now
        if "token" in options:
            options["token"] = 16 * "0" + rid(options["token"])
        field_values = {
            "rid": rid(name),
            "t0": int(arrived_at),
            "peer": 1,
            "prio": 0.5,
            "mem": 1.5,
            **options,
        }
        fields = {key: str(value) for key, value in field_values.items() if value != "absent"}
        sent_body = None if body == "none" else body.encode()
        self.step("task", int(connection_id), int(message), 0.0, class_name, fields, sent_body)

    def do_put(self, words: list[str], options: dict[str, Any]) -> None:
        arguments = [parse_argument(word) for word in words[1:]]
        if words[0] in ("finished", "blocked", "replied", "unknown"):
            arguments[1] = rid(words[2])
        self.step(words[0], *arguments)

    def do_open(self, words: list[str], options: dict[str, Any]) -> None:
        for connection_id in numbers(words[:1]):
            self.step("opened", connection_id)
            if words[1:]:
                self.step("alive", connection_id, 1)

    def do_reload(self, words: list[str], options: dict[str, Any]) -> None:
        self.step("reload", {party: ("127.0.0.9", 1) for party in words}, "nothing")

    def do_finish(self, words: list[str], options: dict[str, Any]) -> None:
        self.step(
            "finished", next(self.serials), rid(words[0]), words[1], "".join(words[2:]).encode()
        )

    def do_block(self, words: list[str], options: dict[str, Any]) -> None:
        self.step("blocked", next(self.serials), rid(words[0]), words[1].encode())

    def count_recorded(self, words: list[str]) -> int:
        return sum(list(effect[: len(words)]) == words for effect in self.recorded)

    def check_count(self, expected: int, words: list[str]) -> None:
        found = self.count_recorded(words)
        assert found == expected, (
            f"{words} found {found} times by {self.now - 1e6}: {self.recorded}"
        )

    def do_out(self, words: list[str], options: dict[str, Any]) -> None:
        self.check_count(1, ["Write", *words])

    def do_none(self, words: list[str], options: dict[str, Any]) -> None:
        self.check_count(0, ["Write", *words])

    def do_out_count(self, words: list[str], options: dict[str, Any]) -> None:
        self.check_count(int(words[0]), ["Write", *words[1:]])

    def do_did(self, words: list[str], options: dict[str, Any]) -> None:
        self.check_count(1, words)

    def do_did_not(self, words: list[str], options: dict[str, Any]) -> None:
        self.check_count(0, words)

    def do_counts(self, words: list[str], options: dict[str, Any]) -> None:
        found = self.core.counters.counts[words[0]]
        assert found == int(words[1]), f"{words[0]} is {found}: {self.core.counters.text()}"

    def end(self) -> None:
        """Checks at the end of every scenario that counters add up and no message was answered twice."""
        counts = self.core.counters.counts
        answered = sum(
            counts[f"answered_{answer}"] for answer in ("served", "rejected", "failed", "gone")
        )
        assert counts["tasks"] == answered + self.core.requests.count_unanswered(), (
            self.core.counters.text()
        )
        answers = [
            effect[1:4:2]
            for effect in self.recorded
            if effect[0] == "Write" and effect[2] in ANSWERS
        ]
        assert len(answers) == len(set(answers)), answers

    def do_forget_seen(self, words: list[str], options: dict[str, Any]) -> None:
        self.recorded.clear()
