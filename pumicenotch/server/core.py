"""The reducer: every input enters by `step`, which changes state and returns the effects asked for. It holds
one control and decides nothing; what the control asks for comes back through the methods of its Actions.
"""

import random
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from pumicenotch.control import AdmissionController, ControllerSettings, TimerQueue
from pumicenotch.interface import IncomingRequest, Outcome, Pools
from pumicenotch.server import runs
from pumicenotch.server.backoff import Backoff
from pumicenotch.server.calls import ENDS, PARTY, Call, Calls
from pumicenotch.server.effects import Close, Dial, Exit, Fault, Log, Move, Wake, Write
from pumicenotch.server.front import Front
from pumicenotch.server.kept import Kept
from pumicenotch.server.runs import Runs
from pumicenotch.server.tasks import Held, InvalidRequestError, Tasks

if TYPE_CHECKING:  # nothing of cells is loaded where there are none
    from pumicenotch.cells.fence import Fence
    from pumicenotch.cells.map import CellMap

REGISTRY = "registry"
LISTENER = "listener"
RUN_ENDS = {
    "fine": Outcome.OK,
    "fault": Outcome.ERROR,
    "broken_off": Outcome.CANCELLED,
    "late": Outcome.NOT_STARTED,
}


# Counters keep the names that dashboards know.
COUNTED_AS = {
    Outcome.REJECTED: "full",
    Outcome.UNREACHABLE: "unreached",
    Outcome.NOT_STARTED: "moot",
}


class Server(Front):
    REPORT_MS = (
        1000.0  # a third of the time after which the registry takes a silent server off its list
    )
    HOUSE_MS = (
        250.0  # between looks for idle connections: a quarter of the shortest time they may idle
    )
    STOP_MARGIN_MS = (
        100.0  # left of the notice when the last answers go out: a crowded core is late
    )
    END_MS = 40.0  # of that margin, for the process to end once the last answers are written
    UNHEARD_MS = 300.0  # before the stop the door closes: enough for what crossed it to be answered
    KEPT_PART = 0.125  # of the memory, for results that are kept: they never bring the program down
    CELL_AGAIN_MS = 200.0  # to come back after a map was old: some reads of a map by a router
    SPARE = 32  # descriptors left for the pool, the registry, the listener, dials and closes on their way
    CALLS_PART = 0.25  # of the descriptors, for calls below: gateways open up to half

    def __init__(
        self,
        *,
        settings: ControllerSettings,
        stages: dict[str, int],
        tenants: dict[str, int],
        seed: int,
        stop_ms: float,
        below: bool,
        memory_mb: float,
        sockets: int,
        pools: Callable[[float], Pools] | None = None,
        decides: type[AdmissionController] = AdmissionController,
        fence: "Fence | None" = None,
        node: str = "",
    ) -> None:
        links = max(1, int(self.CALLS_PART * sockets))
        most = max(8, sockets - links - self.SPARE)
        super().__init__(Tasks(settings.request_classes, stages, tenants), sockets // 2, most)
        self.tasks.stamped = fence is not None
        self.settings, self.seed, self.stop_ms, self.below = settings, seed, stop_ms, below
        self.fence, self.node = fence, node  # where this node knows its cells
        self.pools, self.decides = pools, decides  # pools are made anew from the time they start at
        self.control: AdmissionController | None = (
            None  # made when the pool is first bound: warmth counts from its start
        )
        chance = random.Random(seed).uniform
        self.kept = Kept(int(self.KEPT_PART * memory_mb * 1024 * 1024))
        self.runs = Runs(self.effects, Backoff(chance))
        self.calls = Calls(self.effects, Backoff(chance), links)
        self.reports = Backoff(chance)
        self.timers = TimerQueue()
        self.rang_at = self.house_at = 0.0
        self.tick_ms = self.HOUSE_MS
        self.gauges: tuple[float, ...] = ()
        self.good = self.leaving = self.over = False
        self.report_at = 0.0
        self.stop = self.quiet_from = float("inf")

    # The program's own life

    def on_start(self) -> None:
        self.effects.append(Dial(runs.LINK, 0.0))
        self.rang_at = self.house_at = self.now
        self.house(self.now, None)
        self.schedule_tick(0.0)

    def time(self) -> None:
        self.rang_at = self.now
        self.timers.run_expired(self.now)
        if self.control is not None and self.runs.hangs(self.now):
            self.met("links_hung", "pool: no answer on a link that is up")
            self.runs.renew()
        if self.control is None:
            self.schedule_tick(self.HOUSE_MS)
        elif self.runs.up and self.runs.asked_at is None:
            self.runs.poll(self.now)  # its answer brings the tick, with fresh gauges
            self.schedule_tick(self.tick_ms)
        else:
            self.counters.add("ticks_without_gauges")
            self.control.on_tick(self.now, self.gauges)

    def house(self, now: float, _: None) -> None:
        if now >= self.report_at:
            self.report()
        if (
            now <= self.house_at + self.HOUSE_MS
        ):  # after a stall the news of the idle ones is still unread
            self.callers.close_idle(now)
        self.house_at = now + self.HOUSE_MS
        self.timers.schedule(self.house_at, self.house, None)
        self.calls.close_idle(now)
        if now >= self.quiet_from and not self.callers.connections:
            self.exit(now, None)  # what the listener still holds is answered after it

    def leave(self) -> None:
        """Asked to end: callers and the registry are told, then what is in hand is answered."""
        if self.leaving:
            return
        self.leaving = True
        self.stop = self.now + max(0.0, self.stop_ms - self.STOP_MARGIN_MS)
        grace = self.now + self.settings.drain_grace_ms
        self.timers.schedule(min(grace, self.stop - self.UNHEARD_MS), self.close_door, None)
        self.report()
        self.callers.tell_all(self.now)
        if self.control is not None:
            self.control.start_draining(self.now, self.stop)
        self.timers.schedule(self.stop, self.exit, None)

    def close_door(self, now: float, _: None) -> None:
        """What comes from now on is not run anyway, and a refused connection proves it to the caller."""
        self.quiet_from = now + self.HOUSE_MS
        self.callers.tell_all(now)
        self.effects.append(Close(LISTENER))

    def exit(self, now: float, _: None) -> None:
        if self.over:
            return
        self.over = True
        if self.control is not None:
            self.control.on_tick(
                self.now, self.gauges
            )  # after a stall the last answers may still be owed
        if self.quiet_from == float("inf"):
            self.effects.append(Close(LISTENER))
        for conn, connection in list(self.callers.connections.items()):
            for held in list(connection.open.values()):  # none, but for a fault
                self.answer(held, "failed")
            if conn in self.callers.connections:
                self.callers.end(conn)
        self.show_counters()
        left = self.stop + self.STOP_MARGIN_MS - self.END_MS - self.now
        self.effects.append(Exit(max(self.END_MS, left)))

    def show_counters(self) -> None:
        self.counters.counts["results_dropped"] = self.kept.dropped
        self.effects.append(Log(f"counters: open={self.tasks.open} {self.counters.text()}"))
        counts = getattr(self.control.pools, "counts", None) if self.control is not None else None
        if counts is not None:
            told = " ".join(f"{name}={value}" for name, value in counts().items())
            self.effects.append(Log(f"pools: {told}"))

    def report(self) -> None:
        self.report_at = self.now + self.REPORT_MS
        self.effects.append(Write(REGISTRY, ("draining" if self.leaving else "ready",)))

    def reported(self, fault: Fault | None) -> None:
        if fault is None:
            self.reports.reset()
            self.counters.add("reports")
        else:
            self.reports.failed()
            self.met("reports_failed", f"registry: {fault.text}")
            self.report_at = self.now + self.reports.wait()

    def reload(self, addresses: Mapping[str, tuple[str, int]], unapplied: str) -> None:
        """New addresses of the parties below. Runs and notice numbers carry on."""
        self.counters.add("reloads")
        self.effects.append(Log(f"reload: moved {sorted(addresses)}; not applied: {unapplied}"))
        self.effects += [Move(party, address) for party, address in addresses.items()]
        if runs.LINK in addresses:
            self.runs.backoff.reset()
            self.runs.renew()
        if PARTY in addresses:
            self.calls.moved(self.now)
        if REGISTRY in addresses:
            self.reports.reset()
            self.report()

    def repool(self, pools: Callable[[float], Pools] | None, text: str) -> None:
        """Other pools, or none, take over all that waits and runs. Budgets and estimates begin anew."""
        self.counters.add("repools")
        self.effects.append(Log(f"reload: {text}"))
        self.pools = pools
        if self.control is not None:
            self.control.use_pools(self.now, pools(self.now) if pools is not None else None)

    def linked(self, link: str) -> None:
        if link == runs.LINK:
            self.counters.add(f"links_{link}")
            self.runs.linked(self.now)
        else:
            self.counters.add(f"links_{PARTY}")
            self.calls.linked(self.now, link)

    def unlinked(self, link: str, fault: Fault) -> None:
        reach = fault.reach.name.lower()
        if link == runs.LINK:
            self.met(f"links_lost_{link}_{reach}", f"{link}: {fault.text}")
            self.runs.unlinked()
            return
        ended = self.calls.unlinked(self.now, link)
        self.met(f"links_lost_{PARTY}_{reach}", f"{link}: {fault.text}" if ended else "")
        if ended is not None:
            self.call_ended(*ended)

    # Gateways

    def opened(self, conn: int) -> None:
        self.counters.add("connections")
        # One that comes in the grace is of use until the door closes. Told at once, its gateway would open
        # another for each task, and a handshake costs the cores as much as some tasks.
        self.callers.opened(self.now, conn, told=self.quiet_from < float("inf"))
        if self.over:
            self.callers.end(conn)

    def task(
        self,
        conn: int,
        message: int,
        ahead_ms: float,
        stage: str,
        fields: Mapping[str, str],
        body: Any,
    ) -> None:
        """`ahead_ms`: what the Unix clock is ahead of `now`, read before it: a stall between the two readings
        lets a task seem older than it is, never younger.
        """
        if not self.received(conn, message):
            return
        unix = self.now + ahead_ms
        try:
            held = self.tasks.read(conn, message, unix, stage, fields, body)
            waited = max(0.0, unix - held.t0)
            same = self.kept.same(held, self.now - waited) if held.token else None
        except InvalidRequestError as error:
            self.malformed(conn, message, error)
            return
        self.callers.taken(conn, message, held)
        self.tasks.add(held)
        if self.seen is not None:
            self.seen.taken(self.now, held, waited)
        if self.fence is not None and (cell := self.barred(held, unix, fields, same is not None)):
            self.counters.add(f"cells_{cell}")
            self.answer(held, "rejected", self.CELL_AGAIN_MS, False, cell)
            self.tasks.remove(held)
        elif self.over:
            self.too_late(held, same)
        elif (
            self.control is None
        ):  # none is to arrive before the pool is up, and nothing of it has run
            self.reject(held.id, False, 0.0)
        else:
            self.control.on_request(
                self.now,
                IncomingRequest(
                    request_id=held.id,
                    class_index=held.stage_number,
                    tenant_index=held.tenant,
                    waited_ms=waited,
                    expires_at=None,
                    estimated_work=held.work,
                    memory_kb=held.kb,
                    original_id=same,
                    caller_id=held.peer,
                    is_marked_retry=held.again,
                    content_digest=held.print() if self.pools is not None else 0,
                ),
            )

    def too_late(self, held: Held, same: int | None) -> None:
        """Read after the last word: it cannot be run any more. What has run already is not rejected."""
        entry = self.kept.reuse(held) if same is not None else None
        if entry is None:
            self.reject(held.id, False, 0.0)
        elif entry.outcome is Outcome.OK:
            self.answer(held, "served", entry.result)
            self.tasks.remove(held)
        else:
            self.fail(held.id)

    def barred(self, held: Held, unix: float, fields: Mapping[str, str], known: bool) -> str:
        """Why the task may not run on this node, by the cells that its tenant lives in; nothing if it may. A
        caller that is no router brings no stamp: it goes by this node's own map. Read at another time than
        it arrived, a task is judged as of now: what was sworn off in between stays so.
        """
        assert self.fence is not None
        tenant, epoch = fields.get("acct", ""), held.epoch
        if not held.token:
            return "" if self.fence.admits(self.node, tenant, epoch) else "old"
        if epoch is None:
            if not known and not self.fence.admits(self.node, tenant, None):
                return "old"
            epoch = self.fence.newest(tenant)
        return self.fence.word(unix, tenant, epoch, held.asks, known)

    def remap(self, cells: "CellMap", text: str) -> None:
        """A newer map stands in this node's file."""
        self.counters.add("remaps")
        self.effects.append(Log(f"reload: {text}"))
        if self.fence is not None:
            self.fence.map(cells)

    def let_go(self, held: Held) -> None:
        """Nobody waits for it: what runs goes on to its end, the rest is over. The result of a fingerprinted
        task is kept, and a further try is worth it only with its call.
        """
        if held.started:
            if not held.token:
                self.calls.give_up(held)
        else:
            self.tasks.remove(held)
        if self.control is not None:
            self.control.on_cancel(self.now, held.id)

    def alive(self, conn: int, message: int) -> None:
        self.counters.add("checks")
        connection = self.callers.connections.get(conn)
        if connection is not None:
            self.callers.heard(self.now, conn, message)
            good = self.good and self.control is not None
            self.effects.append(Write(conn, ("alive", message, self.hint, good)))

    # The pool

    def bound(self, how: str, for_ms: float) -> None:
        if self.control is None:
            # Kept entries lie in the program's own memory: counted in the settings', which is for runs, they
            # would turn tasks away that have room. Some hundred bytes each, and no more than ran in a window.
            settings = self.settings._replace(starts_cold=how == "starting", key_memory_kb=0.0)
            pools = self.pools(self.now) if self.pools is not None else None
            self.control = self.decides(self, self.now - for_ms, settings, self.seed, pools)
            if self.leaving:
                self.control.start_draining(self.now, self.stop)
        self.runs.bound(self.now)

    def polled(self, cookie: str, gauges: tuple[float, ...]) -> None:
        if self.runs.answered(cookie):
            self.gauges = gauges
            if self.control is not None:
                self.control.on_tick(self.now, gauges)

    def blocked(self, serial: int, name: str, body: bytes) -> None:
        held = self.tasks.by_name.get(name) if self.runs.fresh(serial) else None
        if held is None or self.control is None:
            self.counters.add("notices_stale")
        else:
            held.heard, held.asked = serial, body
            self.control.on_dependency_needed(self.now, held.id)

    def finished(self, serial: int, name: str, how: str, result: bytes) -> None:
        held = self.tasks.by_name.get(name) if self.runs.fresh(serial) else None
        if held is None:
            self.counters.add("notices_stale")
        else:
            held.heard = serial
            self.counters.add(f"runs_{how if how in RUN_ENDS else 'other'}")
            self.run_ended(held, RUN_ENDS.get(how, Outcome.ERROR), result)

    def chatter(self, serial: int) -> None:
        self.runs.fresh(serial)

    def unknown(self, command: str, name: str) -> None:
        """The pool did not carry a command out. A run that it never began is over: it would keep its place
        for good, and its fingerprint from the tasks that it belongs to.
        """
        self.met("unknown", f"pool does not know {command} of {name}")
        held = self.tasks.by_name.get(name)
        if held is not None and held.started and command == "spawn":
            self.run_ended(held, Outcome.NOT_STARTED, b"")
            self.kept.forget(held.id, proven=True)

    def run_ended(self, held: Held, outcome: Outcome, result: bytes) -> None:
        self.calls.give_up(held)
        held.heard = -1  # no command about it goes out again on a new link
        if outcome is Outcome.OK:
            self.answer(held, "served", result)
        else:
            self.answer(held, "failed")
        self.tasks.remove(held)
        for other in self.kept.ended(held, outcome, result):
            self.reuse_ended(other, outcome, result)
        if self.control is not None:
            self.control.on_run_finished(self.now, held.id, outcome)

    def reuse_ended(self, held: Held, outcome: Outcome, result: bytes) -> None:
        if not held.answered:
            self.counters.add("reused")
            self.later.append(lambda: self.run_ended(held, outcome, result))

    # Below

    def replied(self, link: str, name: str, how: str, reply: bytes) -> None:
        held = self.calls.replied(self.now, link, name)
        if held is None:
            self.counters.add("replies_stale")
            return
        outcome = ENDS.get(how, Outcome.ERROR)
        if outcome is Outcome.OK:
            self.runs.send(held, "supply", held.name, reply)
        self.call_ended(held, outcome)

    def call_ended(self, held: Held, outcome: Outcome) -> None:
        self.counters.add(f"calls_{COUNTED_AS.get(outcome, outcome.name.lower())}")
        if self.seen is not None:
            self.seen.call_ended(self.now, held, outcome)
        if self.control is not None:
            self.control.on_dependency_finished(self.now, held.id, outcome)

    def call_due(self, now: float, call: Call) -> None:
        if self.calls.in_hand(call):
            written = self.calls.give_up(call.held)
            self.call_ended(call.held, Outcome.TIMEOUT if written else Outcome.UNREACHABLE)

    # What the control asks for

    def start(self, request_id: int) -> None:
        held = self.tasks.by_id[request_id]
        self.counters.add("runs")
        if held.halted:
            held.halted = False
            self.runs.send(held, "proceed", held.name)
        else:
            held.started = True
            self.kept.run(held)
            self.runs.send(held, "spawn", held.name, held.stage_name, held.body)

    def reject(self, request_id: int, do_not_retry: bool, retry_after_ms: float) -> None:
        held = self.tasks.by_id[request_id]
        self.answer(held, "rejected", retry_after_ms, do_not_retry)
        self.tasks.remove(held)

    def fail(self, request_id: int) -> None:
        held = self.tasks.by_id[request_id]
        self.answer(held, "failed")
        if held.started:
            self.calls.give_up(held)
        else:
            self.tasks.remove(held)

    def cancel_run(self, request_id: int) -> None:
        held = self.tasks.by_id[request_id]
        held.halted = True
        self.runs.send(held, "suspend", held.name)

    def call_dependency(self, request_id: int, timeout_ms: float) -> None:
        held = self.tasks.by_id[request_id]
        if not self.below:
            self.later.append(lambda: self.call_ended(held, Outcome.UNREACHABLE))
            return
        self.counters.add("calls")
        if self.seen is not None:
            self.seen.called(self.now, held)
        self.timers.schedule(
            self.now + timeout_ms, self.call_due, self.calls.start(self.now, held, timeout_ms)
        )

    def skip_dependency(self, request_id: int) -> None:
        held = self.tasks.by_id[request_id]
        self.counters.add("calls_left_out")
        self.runs.send(held, "pass", held.name, held.heard)

    def retain_key(self, request_id: int, ttl_ms: float) -> None:
        held = self.tasks.by_id[request_id]
        if held.token:
            self.kept.keep(held, self.now + ttl_ms)
            after_ms = held.stage.timeout_ms
            self.timers.schedule(self.now + ttl_ms + after_ms, self.expire, (held.id, after_ms))

    def expire(self, now: float, what: tuple[int, float]) -> None:
        owner, after_ms = what
        if not self.kept.expire(owner):
            self.timers.schedule(now + after_ms, self.expire, what)

    def drop_key(self, request_id: int) -> None:
        for other in self.kept.forget(request_id):
            self.reuse_ended(other, Outcome.ERROR, b"")

    def replay_result(self, request_id: int) -> None:
        held = self.tasks.by_id[request_id]
        entry = self.kept.reuse(held)
        if entry is None:
            self.reuse_ended(held, Outcome.ERROR, b"")
        elif entry.outcome is not None:
            self.reuse_ended(held, entry.outcome, entry.result)

    def set_health(self, healthy: bool, cached: bool) -> None:
        self.good = healthy

    def report_load(self, value: float) -> None:
        self.hint = value

    def set_idle_timeout(self, timeout_ms: float) -> None:
        self.callers.idle_ms = timeout_ms

    def schedule_tick(self, after_ms: float) -> None:
        """From when the timer last rang, not from when the pool had answered with its gauges."""
        self.tick_ms = after_ms
        self.effects.append(Wake(max(0.0, self.rang_at + after_ms - self.now)))

    def log(self, text: str) -> None:
        self.effects.append(Log(text))


Server.inputs = {
    "start": Server.on_start,  # `start` is an action
} | {
    name: getattr(Server, name)
    for name in (
        "time",
        "leave",
        "show_counters",
        "reported",
        "linked",
        "unlinked",
        "opened",
        "eof",
        "reset",
        "condemn",
        "read_out",
        "scarce",
        "reload",
        "repool",
        "remap",
        "task",
        "cancel",
        "alive",
        "met",
        "bound",
        "polled",
        "blocked",
        "finished",
        "chatter",
        "unknown",
        "replied",
    )
}
