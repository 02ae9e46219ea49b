"""The router's reducer: every input enters by `step`, effects go back, as in `server/core`, whose sockets
carry it too.

A task has one answer: from the walk through its tenant's nodes, or, at its time limit, failed. Nothing is
held back and nothing is queued: what no node may take is rejected at once, with a time to come back.
"""

import random
from collections.abc import Mapping
from itertools import count
from typing import Any, NamedTuple

from pumicenotch.cells.fence import WORDS, Role
from pumicenotch.cells.map import CellMap
from pumicenotch.cells.views import Views
from pumicenotch.cells.walk import SAYS, End, Said, Step, Walk, walk
from pumicenotch.control import TimerQueue
from pumicenotch.interface import Idempotency
from pumicenotch.pools.retry_budget import RetryBudget
from pumicenotch.server import events
from pumicenotch.server.effects import Close, Dial, Exit, Log, Wake, Write
from pumicenotch.server.gateway_side import GatewaySide
from pumicenotch.server.messages import HealthReply
from pumicenotch.server.pending_request import PendingRequest
from pumicenotch.server.request_decoder import InvalidRequestError, RequestDecoder

PARTY = "node"
LISTENER = "listener"
CELLS = {word: SAYS[verdict] for verdict, word in WORDS.items()}  # what a node says on the wire


class ForwardedRequest(NamedTuple):
    """A request as it goes on to a node."""

    message_id: int
    class_name: str
    fields: dict[str, str]
    body: bytes


class ForwardedCancel(NamedTuple):
    """The answer of a node is no longer wanted."""

    message_id: int


class MapRead(NamedTuple):
    """The cell map of the file as it is now; `text` describes a change of it."""

    cells: CellMap
    confirmed: float
    text: str


class NodeDraining(NamedTuple):
    """The node wants nothing more on this connection."""

    connection: str


class NodeAnswered(NamedTuple):
    """A node's answer; `kind` is served, rejected or failed."""

    connection: str
    message_id: int
    kind: str
    body: bytes
    fields: Mapping[str, str]


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

    def __init__(self, held: PendingRequest, fields: Mapping[str, str], path: Walk) -> None:
        self.held, self.fields, self.path = held, dict(fields), path
        self.way: Way | None = None
        self.message = 0
        self.sent_at = 0.0
        self.written = False  # of this send: it may have arrived


class Router(GatewaySide):
    MOST_OPEN = 32  # the protocol's, on one connection
    WAYS = 8  # connections to one node: as many tasks as a node takes from one caller
    IDLE_MS = 5000.0  # a connection to a node that nothing used is closed
    TICK_MS = 25.0
    MARGIN_MS = 35.0  # before a task's time limit: as the server's
    UNHEARD_MS = 300.0  # before the stop the door closes
    CONNECTIONS_CLOSE_MS = 250.0  # before the stop, those with nothing open: as the server's
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
        super().__init__(sockets // 2, max(8, half))
        self.decoder = RequestDecoder(stages, numbers, {}, self.requests)
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

    def on_started(self, _: events.Started) -> None:
        self.effects.append(Wake(self.TICK_MS))

    def on_timer(self, _: events.TimerFired) -> None:
        self.timers.run_expired(self.now)
        self.connections.sweep(self.now)
        for link, way in list(self.ways.items()):
            if way.up and not way.open and self.now - way.used_at > self.IDLE_MS:
                self.close(link)
        if self.quiet and not self.connections.by_id:
            self.exit(self.now, None)
        self.effects.append(Wake(self.TICK_MS))

    def on_shutdown_requested(self, event: events.ShutdownRequested) -> None:
        if self.leaving:
            return
        self.leaving = True
        requested_at = self.now - event.waited_ms
        stop = self.stop = requested_at + max(0.0, self.stop_ms - self.STOP_MARGIN_MS)
        self.connections.notify_all(self.now)
        self.timers.schedule(max(self.now, stop - self.UNHEARD_MS), self.close_door, None)
        self.timers.schedule(stop - self.CONNECTIONS_CLOSE_MS, self.close_connections, None)
        self.timers.schedule(stop - self.MARGIN_MS, self.give_all_up, None)
        self.timers.schedule(stop, self.exit, None)
        self.effects.append(
            Log(f"leaving in {stop - self.now:.0f} ms with {len(self.trips)} tasks open")
        )

    def close_door(self, now: float, _: None) -> None:
        self.quiet = True
        self.connections.notify_all(now)
        self.effects.append(Close(LISTENER))

    def close_connections(self, now: float, _: None) -> None:
        """Closes each connection as soon as nothing is open on it: callers that never stop do not
        hold up the end.
        """
        self.connections.finish_all()

    def give_all_up(self, now: float, _: None) -> None:
        for trip in list(self.trips.values()):
            self.too_late(now, trip)

    def exit(self, now: float, _: None) -> None:
        if not self.over:
            self.over = True
            self.give_all_up(now, None)
            self.effects += [] if self.quiet else [Close(LISTENER)]
            self.connections.finish_all()
            self.log_counters()
            left = self.stop + self.STOP_MARGIN_MS - self.END_MS - self.now
            self.effects.append(Exit(max(self.END_MS, left)))

    def on_counters_requested(self, _: events.CountersRequested) -> None:
        self.log_counters()

    def log_counters(self) -> None:
        self.effects.append(
            Log(f"counters: open={len(self.trips)} epoch={self.cells.epoch} {self.counters.text()}")
        )

    def on_map_read(self, event: MapRead) -> None:
        """What is on its way goes on as it began."""
        cells, confirmed, text = event
        self.counters.add("remaps" if cells is not self.cells else "confirms")
        self.cells, self.confirmed = cells, max(self.confirmed, confirmed)
        self.views.keep(node.name for cell in cells.cells.values() for node in cell.nodes)
        if text:
            self.effects.append(Log(f"reload: {text}"))

    # Gateways

    def on_connection_opened(self, event: events.ConnectionOpened) -> None:
        self.counters.add("connections")
        self.connections.opened(self.now, event.connection_id, notify=self.leaving)
        self.connections.close_if_done(event.connection_id)

    def on_health_check(self, event: events.HealthCheckReceived) -> None:
        if event.connection_id in self.connections.by_id:
            self.connections.received(self.now, event.connection_id, event.message_id)
            reply = HealthReply(event.message_id, None, not self.leaving)
            self.effects.append(Write(event.connection_id, reply))

    def on_request(self, event: events.RequestReceived) -> None:
        if not self.accept_message(event):
            return
        unix = self.now + event.clock_offset_ms
        fields = event.fields
        try:
            held = self.decoder.decode(event, unix)
        except InvalidRequestError as error:
            self.answer_invalid(event, error)
            return
        self.connections.add_request(held)
        self.requests.add(held)
        if self.over:
            self.fail_request(held)  # it may have run on a node, which can't be asked any more
            self.requests.remove(held)
            return
        if self.connections.closes_idle and not (held.idempotency_key or held.is_retry):
            self.reject_request(held, 0.0, False)  # too late for a first attempt: it never ran
            self.requests.remove(held)
            return
        tenant = fields.get("acct", "")
        begun = walk(
            self.cells,
            self.confirmed,
            unix,
            tenant,
            held.request_class.idempotency,
            held.idempotency_key,
            self.choices(held, tenant),
        )
        if isinstance(begun, End):
            self.ended(held, begun)
            return
        limit = (
            self.now
            - max(0.0, unix - held.stamped_at_ms)
            + held.request_class.timeout_ms
            - self.MARGIN_MS
        )
        trip = self.trips[held.request_id] = Trip(held, fields, begun)
        self.timers.schedule(limit, self.too_late, trip)
        if not held.is_retry:
            self.budget.deposit(tenant)
        self.onward(trip, begun.start())

    def choices(self, held: PendingRequest, tenant: str) -> list[str]:
        """The nodes of its tenant by preference; a task that must not run twice is no probe of a node that
        may be dead.
        """
        if held.idempotency_key:
            return []
        nodes = [(node.name, node.weight) for node in self.cells.nodes(tenant)]
        probes = held.request_class.idempotency is Idempotency.IDEMPOTENT
        return [choice.node for choice in self.views.choose(self.now, nodes, probes)]

    def release(self, held: PendingRequest) -> None:
        """Nobody waits for it. The node is told, and an answer that comes all the same finds nobody."""
        trip = self.trips.pop(held.request_id, None)
        self.requests.remove(held)
        if trip is not None and trip.way is not None:
            way = trip.way
            if way.open.pop(trip.message, None) is not None and way.up:
                self.effects.append(Write(way.link, ForwardedCancel(trip.message)))
            if trip in way.waiting:
                way.waiting.remove(trip)
            self.views.given_up(way.node)
            trip.way = None

    def ended(self, held: PendingRequest, end: End, result: bytes = b"") -> None:
        """The walk's end is the task's one answer."""
        self.counters.add(f"ends_{end.why}")
        match end.kind:
            case "served":
                self.serve_request(held, result)
            case "rejected":
                self.reject_request(held, end.after_ms, False)
            case _:
                self.fail_request(held)
        self.trips.pop(held.request_id, None)
        self.requests.remove(held)

    def too_late(self, now: float, trip: Trip) -> None:
        if not trip.held.answered:
            self.counters.add("too_late")
            self.fail_request(trip.held)
            self.release(trip.held)

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
            Write(
                way.link,
                ForwardedRequest(way.message, held.class_name, trip.fields, held.body),
            )
        )

    def on_connection_up(self, event: events.ConnectionUp) -> None:
        link = event.connection
        way = self.ways.get(link)
        if way is None:
            self.effects.append(Close(link))
            return
        way.up, way.used_at = True, self.now
        waiting, way.waiting = way.waiting, []
        for trip in waiting:
            self.write(way, trip)

    def on_connection_down(self, event: events.ConnectionDown) -> None:
        link, fault = event
        way = self.ways.get(link)
        if way is None:
            return
        self.count_problem(
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

    def on_node_draining(self, event: NodeDraining) -> None:
        """The node leaves, or has enough of idle connections."""
        link = event.connection
        way = self.ways.get(link)
        if way is not None:
            way.draining = True
            if not way.open:
                self.close(link)

    def on_node_answered(self, event: NodeAnswered) -> None:
        link, message, kind, body, fields = event
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


Router.handlers = {
    events.Started: Router.on_started,
    events.TimerFired: Router.on_timer,
    events.ShutdownRequested: Router.on_shutdown_requested,
    events.CountersRequested: Router.on_counters_requested,
    MapRead: Router.on_map_read,
    events.ProblemFound: Router.on_problem,
    events.ConnectionOpened: Router.on_connection_opened,
    events.ConnectionEnded: Router.on_connection_ended,
    events.ConnectionReset: Router.on_connection_reset,
    events.ProtocolViolated: Router.violate_protocol,
    events.ReadingFinished: Router.on_reading_finished,
    events.DescriptorsExhausted: Router.on_descriptors_exhausted,
    events.HealthCheckReceived: Router.on_health_check,
    events.RequestReceived: Router.on_request,
    events.RequestCancelled: Router.on_cancel,
    events.ConnectionUp: Router.on_connection_up,
    events.ConnectionDown: Router.on_connection_down,
    NodeDraining: Router.on_node_draining,
    NodeAnswered: Router.on_node_answered,
}
