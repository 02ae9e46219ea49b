"""The router's reducer: every input enters by `step`, effects go back, as in `server/core`, whose sockets
carry it too.

A task has one answer: from the walk through its tenant's nodes, or, at its time limit, failed. Nothing is
held back and nothing is queued: what no node may take is rejected at once, with a time to come back.
"""

import random
from collections.abc import Mapping
from itertools import count
from typing import Any

from pumicenotch.cells.fence import WORDS, Role
from pumicenotch.cells.map import CellMap
from pumicenotch.cells.views import Views
from pumicenotch.cells.walk import SAYS, End, Said, Step, Walk, walk
from pumicenotch.control import TimerQueue
from pumicenotch.interface import Idempotency
from pumicenotch.pools.retry_budget import RetryBudget
from pumicenotch.server.effects import Close, Dial, Exit, Fault, Log, Wake, Write
from pumicenotch.server.front import Front
from pumicenotch.server.tasks import Held, InvalidRequestError, Tasks

PARTY = "node"
LISTENER = "listener"
CELLS = {word: SAYS[verdict] for verdict, word in WORDS.items()}  # what a node says on the wire


class Way:
    """One connection to a node, and what is open on it."""

    def __init__(self, link: str, node: str, now: float) -> None:
        self.link, self.node, self.used_at = link, node, now
        self.up = self.draining = False
        self.message = 0
        self.open: dict[int, Trip] = {}
        self.waiting: list[Trip] = []  # for the connection to be made


class Trip:
    """A task on its way through nodes."""

    def __init__(self, held: Held, fields: Mapping[str, str], path: Walk) -> None:
        self.held, self.fields, self.path = held, dict(fields), path
        self.way: Way | None = None
        self.message = 0
        self.sent_at = 0.0
        self.written = False  # of this send: it may have arrived


class Router(Front):
    MOST_OPEN = 32  # the protocol's, on one connection
    WAYS = 8  # connections to one node: as many tasks as a node takes from one caller
    IDLE_MS = 5000.0  # a connection to a node that nothing used is closed
    TICK_MS = 25.0
    MARGIN_MS = 35.0  # before a task's time limit: as the server's
    UNHEARD_MS = 300.0  # before the stop the door closes
    STOP_MARGIN_MS, END_MS = 100.0, 40.0  # as the server's
    RETRY, BURST = 0.2, 20.0  # further tries for each first one of a tenant, and saved up
    SPARE = 64  # descriptors beside those of callers and nodes

    def __init__(
        self,
        *,
        cells: CellMap,
        confirmed: float,
        stages: list[Any],
        numbers: dict[str, int],
        seed: int,
        stop_ms: float,
        sockets: int,
    ) -> None:
        half = sockets // 2 - self.SPARE // 2  # for callers, and as many for nodes
        super().__init__(Tasks(stages, numbers, {}), sockets // 2, max(8, half))
        self.most_ways = max(4, half)
        self.cells, self.confirmed = cells, confirmed
        self.stop_ms, self.stop = stop_ms, float("inf")
        chance = random.Random(seed)
        self.views = Views(chance.random)
        self.budget = RetryBudget(self.RETRY, self.BURST, 4096)
        self.timers = TimerQueue()
        self.names = count(1)
        self.ways: dict[str, Way] = {}
        self.of_node: dict[str, list[str]] = {}
        self.trips: dict[int, Trip] = {}
        self.leaving = self.over = self.quiet = False

    # Its own life

    def start(self) -> None:
        self.effects.append(Wake(self.TICK_MS))

    def time(self) -> None:
        self.timers.run_expired(self.now)
        self.callers.close_idle(self.now)
        for link, way in list(self.ways.items()):
            if way.up and not way.open and self.now - way.used_at > self.IDLE_MS:
                self.close(link)
        if self.quiet and not self.callers.connections:
            self.exit(self.now, None)
        self.effects.append(Wake(self.TICK_MS))

    def leave(self) -> None:
        if self.leaving:
            return
        self.leaving = True
        stop = self.stop = self.now + max(0.0, self.stop_ms - self.STOP_MARGIN_MS)
        self.callers.tell_all(self.now)
        self.timers.schedule(max(self.now, stop - self.UNHEARD_MS), self.close_door, None)
        self.timers.schedule(stop - self.MARGIN_MS, self.give_all_up, None)
        self.timers.schedule(stop, self.exit, None)
        self.effects.append(
            Log(f"leaving in {stop - self.now:.0f} ms with {len(self.trips)} tasks open")
        )

    def close_door(self, now: float, _: None) -> None:
        self.quiet = True
        self.callers.tell_all(now)
        self.effects.append(Close(LISTENER))

    def give_all_up(self, now: float, _: None) -> None:
        for trip in list(self.trips.values()):
            self.too_late(now, trip)

    def exit(self, now: float, _: None) -> None:
        if not self.over:
            self.over = True
            self.give_all_up(now, None)
            self.effects += [] if self.quiet else [Close(LISTENER)]
            for conn in list(self.callers.connections):
                self.callers.end(conn)
            self.show_counters()
            left = self.stop + self.STOP_MARGIN_MS - self.END_MS - self.now
            self.effects.append(Exit(max(self.END_MS, left)))

    def show_counters(self) -> None:
        self.effects.append(
            Log(f"counters: open={len(self.trips)} epoch={self.cells.epoch} {self.counters.text()}")
        )

    def remap(self, cells: CellMap, confirmed: float, text: str) -> None:
        """The map of the file as it is now; what is on its way goes on as it began."""
        self.counters.add("remaps" if cells is not self.cells else "confirms")
        self.cells, self.confirmed = cells, max(self.confirmed, confirmed)
        self.views.keep(node.name for cell in cells.cells.values() for node in cell.nodes)
        if text:
            self.effects.append(Log(f"reload: {text}"))

    # Gateways

    def opened(self, conn: int) -> None:
        self.counters.add("connections")
        self.callers.opened(self.now, conn, told=self.leaving)
        if self.over:
            self.callers.end(conn)

    def alive(self, conn: int, message: int) -> None:
        if conn in self.callers.connections:
            self.callers.heard(self.now, conn, message)
            self.effects.append(Write(conn, ("alive", message, None, not self.leaving)))

    def task(
        self,
        conn: int,
        message: int,
        ahead_ms: float,
        stage: str,
        fields: Mapping[str, str],
        body: Any,
    ) -> None:
        if not self.received(conn, message):
            return
        unix = self.now + ahead_ms
        try:
            held = self.tasks.read(conn, message, unix, stage, fields, body)
        except InvalidRequestError as error:
            self.malformed(conn, message, error)
            return
        self.callers.taken(conn, message, held)
        self.tasks.add(held)
        if self.over:
            self.answer(held, "failed")  # it may have run on a node, which can't be asked any more
            self.tasks.remove(held)
            return
        tenant = fields.get("acct", "")
        begun = walk(
            self.cells,
            self.confirmed,
            unix,
            tenant,
            held.stage.idempotency,
            held.token,
            self.choices(held, tenant),
        )
        if isinstance(begun, End):
            self.ended(held, begun)
            return
        limit = self.now - max(0.0, unix - held.t0) + held.stage.timeout_ms - self.MARGIN_MS
        trip = self.trips[held.id] = Trip(held, fields, begun)
        self.timers.schedule(limit, self.too_late, trip)
        if not held.again:
            self.budget.deposit(tenant)
        self.onward(trip, begun.start())

    def choices(self, held: Held, tenant: str) -> list[str]:
        """The nodes of its tenant by preference; a task that must not run twice is no probe of a node that
        may be dead.
        """
        if held.token:
            return []
        nodes = [(node.name, node.weight) for node in self.cells.nodes(tenant)]
        probes = held.stage.idempotency is Idempotency.IDEMPOTENT
        return [choice.node for choice in self.views.choose(self.now, nodes, probes)]

    def let_go(self, held: Held) -> None:
        """Nobody waits for it. The node is told, and an answer that comes all the same finds nobody."""
        trip = self.trips.pop(held.id, None)
        self.tasks.remove(held)
        if trip is not None and trip.way is not None:
            way = trip.way
            if way.open.pop(trip.message, None) is not None and way.up:
                self.effects.append(Write(way.link, ("cancel", trip.message)))
            if trip in way.waiting:
                way.waiting.remove(trip)
            self.views.given_up(way.node)
            trip.way = None

    def ended(self, held: Held, end: End, result: bytes = b"") -> None:
        """The walk's end is the task's one answer."""
        self.counters.add(f"ends_{end.why}")
        rest = {"served": (result,), "rejected": (end.after_ms, False)}.get(end.kind, ())
        self.answer(held, end.kind, *rest)
        self.trips.pop(held.id, None)
        self.tasks.remove(held)

    def too_late(self, now: float, trip: Trip) -> None:
        if not trip.held.answered:
            self.counters.add("too_late")
            self.answer(trip.held, "failed")
            self.let_go(trip.held)

    # Nodes

    def onward(self, trip: Trip, step: Step, result: bytes = b"") -> None:
        if isinstance(step, End):
            self.ended(trip.held, step, result)
            return
        way = self.way_to(step.node)
        if way is None:
            self.counters.add("ways_crowded")
            self.onward(trip, trip.path.said(Said.REFUSED))
            return
        trip.fields["epoch"] = str(step.epoch)
        trip.fields.pop("ask", None)
        if step.role is Role.ASK:
            trip.fields["ask"] = "1"
        trip.way, trip.written, trip.sent_at = way, False, self.now
        self.views.sent(step.node)
        if way.up:
            self.write(way, trip)
        else:
            way.waiting.append(trip)

    def way_to(self, node: str) -> Way | None:
        """A connection with room, else a new one, up to the most."""
        links = self.of_node.setdefault(node, [])
        ways = [self.ways[link] for link in links]
        room = [
            way
            for way in ways
            if not way.draining and len(way.open) + len(way.waiting) < self.MOST_OPEN
        ]
        if room:
            return min(room, key=lambda way: (not way.up, len(way.open) + len(way.waiting)))
        if (
            len([way for way in ways if not way.draining]) >= self.WAYS
            or len(self.ways) >= self.most_ways
        ):
            return None
        link = f"{PARTY}-{next(self.names)}-{node}"
        way = self.ways[link] = Way(link, node, self.now)
        links.append(link)
        self.effects.append(Dial(link, 0.0))
        return way

    def write(self, way: Way, trip: Trip) -> None:
        way.message += 1
        way.used_at = self.now
        trip.message, trip.written = way.message, True
        way.open[way.message] = trip
        held = trip.held
        self.effects.append(
            Write(way.link, ("task", way.message, held.stage_name, trip.fields, held.body))
        )

    def linked(self, link: str) -> None:
        way = self.ways.get(link)
        if way is None:
            self.effects.append(Close(link))
            return
        way.up, way.used_at = True, self.now
        waiting, way.waiting = way.waiting, []
        for trip in waiting:
            self.write(way, trip)

    def unlinked(self, link: str, fault: Fault) -> None:
        way = self.ways.get(link)
        if way is None:
            return
        self.met(
            f"links_lost_{fault.reach.name.lower()}",
            f"{link}: {fault.text}" if way.open or way.waiting else "",
        )
        self.drop(link)
        for trip in (*way.open.values(), *way.waiting):
            self.missed(trip, Said.BROKEN if trip.written else Said.REFUSED)

    def missed(self, trip: Trip, said: Said) -> None:
        if trip.way is not None:
            self.views.missed(self.now, trip.way.node)
        trip.way = None
        if not trip.held.answered:
            self.onward(trip, trip.path.said(said, self.may_try_on(trip)))

    def may_try_on(self, trip: Trip) -> bool:
        tenant = trip.fields.get("acct", "")
        if self.budget.tokens_of(tenant) < 1.0:
            self.counters.add("tries_over_budget")
            return False
        self.budget.withdraw(tenant)
        return True

    def drains(self, link: str) -> None:
        """The node wants nothing more on this connection: it leaves, or has enough of idle ones."""
        way = self.ways.get(link)
        if way is not None:
            way.draining = True
            if not way.open:
                self.close(link)

    def returned(
        self, link: str, message: int, kind: str, body: bytes, fields: Mapping[str, str]
    ) -> None:
        way = self.ways.get(link)
        trip = way.open.pop(message, None) if way is not None else None
        if way is None or trip is None:
            self.counters.add("answers_stale")
            return
        way.used_at = self.now
        cell = fields.get("cell", "")
        said = CELLS.get(cell) or {"served": Said.SERVED, "rejected": Said.REJECTED}.get(
            kind, Said.FAILED
        )
        load, away = number(fields.get("hint")), number(fields.get("backoff")) or 0.0
        self.views.answered(
            self.now,
            way.node,
            self.now - trip.sent_at,
            load,
            0.0 if cell else away,
            kind == "served",
        )
        trip.way = None
        if way.draining and not way.open:
            self.close(link)
        step = trip.path.said(said, said is not Said.REJECTED or self.may_try_on(trip))
        if isinstance(step, End) and step.kind == "rejected" and away > step.after_ms:
            step = step._replace(after_ms=away)
        self.onward(trip, step, body)

    def close(self, link: str) -> None:
        self.drop(link)
        self.effects.append(Close(link))

    def drop(self, link: str) -> None:
        way = self.ways.pop(link)
        self.of_node[way.node].remove(link)
        if not self.of_node[way.node]:
            del self.of_node[way.node]


def number(text: str | None) -> float | None:
    """A field's number; what is none says nothing."""
    try:
        found = float(text) if text is not None and len(text) < 32 else None
    except ValueError:
        return None
    return found if found is not None and 0.0 <= found < 1e9 else None


Router.inputs = {
    name: getattr(Router, name)
    for name in (
        "start",
        "time",
        "leave",
        "show_counters",
        "remap",
        "met",
        "opened",
        "eof",
        "reset",
        "condemn",
        "read_out",
        "scarce",
        "alive",
        "task",
        "cancel",
        "linked",
        "unlinked",
        "drains",
        "returned",
    )
}
