"""A model of the worker pool's connection for the checker: one run with two dependency calls, while the
connection breaks, is replaced by a reload, or loses a notice. Commands and notices may be anywhere on
their way. What the server decides is `server/worker_pool_client`; the pool is what its protocol says.
"""

import pickle
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from pumicenotch.lab.explore import Explorer, Found
from pumicenotch.server.backoff import Backoff
from pumicenotch.server.effects import Close, Dial, Effect, Write
from pumicenotch.server.messages import (
    BindPool,
    PollPool,
    SkipDependency,
    StartRun,
    SupplyReply,
)
from pumicenotch.server.pending_request import PendingRequest
from pumicenotch.server.worker_pool_client import WorkerPoolClient

CALLS = 2  # dependency calls of the run
RUN = "0123456789abcdef"
# Values of a notice's call.
END_OF_RUN = 0
REMARK = -1


class Notice(NamedTuple):
    """A notice of the pool: the call that the run waits for, END_OF_RUN, or REMARK."""

    serial: int
    call: int


class Bound(NamedTuple):
    """The pool's answer to `BindPool`."""


class Polled(NamedTuple):
    """The pool's answer to `PollPool`."""

    cookie: str


class Ended(NamedTuple):
    """The pool has closed the connection."""


class Bounds(NamedTuple):
    """How often each disturbance may occur, and how often the server polls by itself."""

    breaks: int = 1
    reloads: int = 1
    unreadable_notices: int = 0
    remarks: int = 0  # notices of the pool that concern no run
    polls: int = 1
    # Whether the class has a degraded result, so that an uncertain reply is followed by
    # `SkipDependency`; else its request fails.
    skips_calls: bool = False


class Connection:
    """What is on its way between server and pool."""

    def __init__(self) -> None:
        self.to_pool: list[Any] = []
        self.to_server: list[Any] = []


class Pool:
    """The worker pool with its only run."""

    def __init__(self) -> None:
        self.notices: list[Notice] = []
        self.started = False
        self.finished = False
        self.calls_made = 0
        self.waits_for = 0  # call number; 0 while the run does not wait
        self.wait_serial = 0
        self.request_is_over = False
        self.bound: Connection | None = None
        self.foreign_reply = ""

    def read(self, connection: Connection, message: Any) -> None:
        """Carries out one message of the server."""
        if isinstance(message, BindPool):
            if self.bound is not None:
                self.bound.to_server.append(Ended())
            self.bound = connection
            connection.to_server += [Bound(), *self.notices[message.last_serial :]]
        elif connection is not self.bound:
            return
        elif isinstance(message, PollPool):
            connection.to_server.append(Polled(message.cookie))
        elif isinstance(message, StartRun):
            self.started = True
        elif isinstance(message, SupplyReply) and self.waits_for:
            if message.reply != reply_to(self.waits_for):
                self.foreign_reply = f"call {self.waits_for} is given {message.reply.decode()!r}"
            self.waits_for = 0
        elif isinstance(message, SkipDependency) and message.serial == self.wait_serial:
            self.waits_for = 0

    def end_request(self) -> None:
        """The request is answered: a run that waits for a call ends there."""
        self.request_is_over = True
        if self.waits_for:
            self.finish()

    def go_on(self) -> None:
        """The run makes its next call or ends."""
        if self.request_is_over or self.calls_made == CALLS:
            self.finish()
            return
        self.calls_made += 1
        self.waits_for = self.calls_made
        self.wait_serial = self.notify(self.waits_for)

    def finish(self) -> None:
        """Ends the run."""
        self.finished = True
        self.waits_for = 0
        self.notify(END_OF_RUN)

    def notify(self, call: int) -> int:
        """Sends a notice on the bound connection; returns its serial."""
        self.notices.append(Notice(len(self.notices) + 1, call))
        if self.bound is not None:
            self.bound.to_server.append(self.notices[-1])
        return self.notices[-1].serial


def reply_to(call: int) -> bytes:
    """Returns the database's reply to a call."""
    return b"reply to call %d" % call


def no_jitter(low: float, _: float) -> float:
    """Returns the lower bound in place of a random number between two bounds."""
    return low


class World:
    """Server, pool, and the connections between them."""

    def __init__(self, bounds: Bounds) -> None:
        self.left = bounds
        self.effects: list[Effect] = []
        self.client = WorkerPoolClient(self.effects, Backoff(no_jitter))
        self.request = PendingRequest(1, RUN, 1, 1, "read", b"")
        self.open_calls: list[int] = []
        self.run_ended = False  # as the server has read it
        self.pool = Pool()
        self.connection: Connection | None = None
        self.closed: list[Connection] = []  # closed by the server, not all of it read by the pool
        self.dialing = True
        self.client.send(self.request, StartRun(RUN, "read", b""))

    def carry_out(self) -> None:
        """Applies the client's effects."""
        for effect in self.effects:
            if isinstance(effect, Write) and self.connection is not None:
                self.connection.to_pool.append(effect.message)
            elif isinstance(effect, Close) and self.connection is not None:
                self.closed.append(self.connection)
                self.connection = None
            elif isinstance(effect, Dial):
                self.dialing = True
        self.effects.clear()

    def connect(self) -> None:
        """A dial succeeds."""
        self.dialing = False
        self.connection = Connection()
        self.client.on_connection_up(0.0)

    def break_connection(self) -> None:
        """The connection is lost with all that is on its way."""
        self.left = self.left._replace(breaks=self.left.breaks - 1)
        if self.pool.bound is self.connection:
            self.pool.bound = None
        self.connection = None
        self.client.on_connection_down()

    def reload(self) -> None:
        """The pool's address changes; the connection at the old one stays open."""
        self.left = self.left._replace(reloads=self.left.reloads - 1)
        self.client.replace_connection(0.0)

    def poll(self) -> None:
        """The server's timer fires."""
        self.left = self.left._replace(polls=self.left.polls - 1)
        self.client.poll(0.0)

    def supply(self) -> None:
        """The database replies to the run's call."""
        call = self.open_calls.pop(0)
        self.client.send(self.request, SupplyReply(RUN, reply_to(call)))

    def read_at_pool(self, connection: Connection) -> None:
        """The pool reads the next message of a connection."""
        self.pool.read(connection, connection.to_pool.pop(0))

    def read_at_server(self, connection: Connection) -> None:
        """The server reads the next message of its connection."""
        message = connection.to_server.pop(0)
        if isinstance(message, Ended):
            self.connection = None
            self.client.on_connection_down()
        elif isinstance(message, Bound):
            self.client.on_bound(0.0)
        elif isinstance(message, Polled):
            self.client.on_poll_reply(message.cookie)
            for request in self.client.take_uncertain_replies():
                self.settle_uncertain_reply(request)
        elif self.client.accept_notice(0.0, message.serial):
            self.read_notice(message)

    def read_notice(self, notice: Notice) -> None:
        """The server handles a notice that it accepts."""
        if notice.call == REMARK:
            return
        self.request.last_notice_serial = -1 if notice.call == END_OF_RUN else notice.serial
        if notice.call == END_OF_RUN:
            self.run_ended = True
        else:
            self.open_calls.append(notice.call)

    def skip_notice(self, connection: Connection) -> None:
        """The next message is unreadable, and the server skips it."""
        self.left = self.left._replace(unreadable_notices=self.left.unreadable_notices - 1)
        connection.to_server.pop(0)

    def remark(self) -> None:
        """The pool sends a notice that concerns no run."""
        self.left = self.left._replace(remarks=self.left.remarks - 1)
        self.pool.notify(REMARK)

    def settle_uncertain_reply(self, request: PendingRequest) -> None:
        """What the admission controller does at the latest."""
        if self.left.skips_calls:
            self.client.send(request, SkipDependency(RUN, request.last_notice_serial))
        else:
            self.pool.end_request()


class State(NamedTuple):
    """A pickled world, and what is wrong with it."""

    world: bytes
    violation: str = ""


Move = Callable[[World], None]


def moves_of(world: World) -> Iterator[tuple[str, Move]]:
    """Returns what can happen next."""
    connection, pool, left = world.connection, world.pool, world.left
    if world.dialing:
        yield "connect", World.connect
    if connection is not None:
        if connection.to_pool:
            yield f"pool reads {connection.to_pool[0]}", read_current_at_pool
        if connection.to_server:
            yield f"server reads {connection.to_server[0]}", read_current_at_server
            if left.unreadable_notices and isinstance(connection.to_server[0], Notice):
                yield "a notice is unreadable", skip_current_notice
        if left.breaks:
            yield "the connection breaks", World.break_connection
        if left.reloads:
            yield "reload", World.reload
        can_poll = world.client.accepts_commands and world.client.awaiting_reply_since is None
        if left.polls and can_poll:
            yield "poll", World.poll
    if world.closed and world.closed[0].to_pool:
        yield f"pool reads {world.closed[0].to_pool[0]} (closed connection)", read_closed_at_pool
    if world.open_calls:
        yield f"the database replies to call {world.open_calls[0]}", World.supply
    if left.remarks and not left.unreadable_notices:
        yield "the pool makes a remark", World.remark
    if pool.started and not pool.finished and not pool.waits_for:
        yield "the run goes on", run_goes_on


def read_current_at_pool(world: World) -> None:
    """The pool reads from the server's connection."""
    assert world.connection is not None
    world.read_at_pool(world.connection)


def read_closed_at_pool(world: World) -> None:
    """The pool reads from the oldest connection that the server has closed."""
    world.read_at_pool(world.closed[0])
    if not world.closed[0].to_pool:
        world.closed.pop(0)


def read_current_at_server(world: World) -> None:
    """The server reads from its connection."""
    assert world.connection is not None
    world.read_at_server(world.connection)


def skip_current_notice(world: World) -> None:
    """The server cannot read the next notice."""
    assert world.connection is not None
    world.skip_notice(world.connection)


def run_goes_on(world: World) -> None:
    """The run makes its next call or ends."""
    world.pool.go_on()


def violation_of(world: World) -> str:
    """Returns what a world violates, "" if nothing."""
    if world.pool.foreign_reply:
        return world.pool.foreign_reply
    is_stuck = next(moves_of(world), None) is None
    return "the run waits for ever" if is_stuck and not world.run_ended else ""


class PoolLink:
    """The model within the given bounds."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds

    def after(self, state: State) -> Iterator[tuple[str, State]]:
        """Returns the steps from a state, each with its line for the trace."""
        if state.violation:
            return
        for line, move in moves_of(pickle.loads(state.world)):
            world: World = pickle.loads(state.world)
            move(world)
            world.carry_out()
            yield line, State(pickle.dumps(world), violation_of(world))

    def explore(self, max_states: int) -> Found:
        """Tries the orders of events, breadth first."""
        explorer = Explorer(self.after, lambda state: state.violation, max_states)
        return explorer.run(State(pickle.dumps(World(self.bounds))))
