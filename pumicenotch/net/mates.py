"""Instances among themselves: MessagePack-RPC by further method names, on a listener of its own.

Whoever dials says `hello` first, with the fleet and its own name, life and address; one that does not fit is
told why, counted and closed. Notices go one way, each on the link that its sender dials; requests are
answered on the link that they came by. A link that has not answered `alive` is dialled anew: a half-open one
would swallow all."""

from collections.abc import Callable
from functools import partial
from typing import Any, cast

import anyio
import msgpack
from anyio.abc import SocketAttribute, SocketListener, TaskGroup
from loguru import logger

from pumicenotch import start
from pumicenotch.fleet import effects
from pumicenotch.fleet.mate import Mate
from pumicenotch.net import gateways
from pumicenotch.net.clock import Clock
from pumicenotch.net.dial import Links, Put
from pumicenotch.net.hub import Hub
from pumicenotch.net.link import Frame

PARTY = "mate"
FRAME_MOST = 2 * 1024 * 1024  # among voters: 16 entries of the log at their largest, and as much again
ASKED_MOST = 64 * 1024  # of a request: 1,024 names
READ_MOST = 64 * 1024
UNREAD_FRAMES = 2  # that a mate leaves unread: so many at their largest
WAITING_MOST = 256  # messages for a link that is being dialled
REDIAL_MS = 200.0  # after a refused dial; what is told meanwhile is lost, as on a cut link
IDLE_MS = 5000.0  # a link without a word is closed: among 1,000 members each talks to some at a time
ALIVE_MS, DEAF_MS = 1000.0, 2500.0  # between questions on a link in use, and for their answer
LINKS_MOST = 4096  # of a voter, in and out: a leader hears of a thousand members, each on a link of its own

pack: Callable[[Any], bytes] = msgpack.Packer(autoreset=True).pack
FRAMES: dict[str, Frame] = {
    "hello": lambda fleet, name, life, address: pack([2, "hello", [fleet, name, life, address]]),
    "notice": lambda method, params: pack([2, method, params]),
    "request": lambda number, verb, args: pack([0, number, verb, args]),
    "result": lambda message, result: pack([1, message, None, result]),
    "error": lambda message, error: pack([1, message, error, None]),
    "refused": lambda why: pack([2, "refused", [why]]),
}
Hello = tuple[str, str, str, str]  # fleet, name, life, address; an operator's command has only the fleet


class Unpacker:
    """Whole frames out of what comes; ValueError for what is no MessagePack."""

    def __init__(self, most: int) -> None:
        """Of frames up to so many bytes."""
        self.unpacker = msgpack.Unpacker(
            max_buffer_size=2 * most,
            max_str_len=most,
            max_bin_len=most,
            max_array_len=65536,
            max_map_len=4096,
            max_ext_len=0,
            use_list=False,
        )

    def frames(self, data: bytes) -> list[tuple[Any, int]]:
        """Each with its size in bytes."""
        found = []
        try:
            self.unpacker.feed(data)
            before = self.unpacker.tell()
            for frame in self.unpacker:
                found.append((frame, self.unpacker.tell() - before))
                before = self.unpacker.tell()
        except (msgpack.UnpackException, ValueError, TypeError) as error:
            raise ValueError(f"{type(error).__name__} {error}"[:200]) from None
        return found


class Inward:
    """What one that has dialled this side says."""

    def __init__(self, hub: "Mates", conn: int) -> None:
        self.hub, self.conn, self.unpacker = hub, conn, Unpacker(hub.frame_most)
        self.sender: tuple[str, str, str] | None = None

    def feed(self, data: bytes) -> None:
        for frame, size in self.unpacker.frames(data):
            self.frame(frame, size)

    def frame(self, frame: Any, size: int) -> None:
        match frame:
            case [2, "hello", [str(fleet), str(name), str(life), str(address)]] if self.sender is None:
                self.sender = (name, life, address)
                self.hub.greeted(self.conn, (fleet, name, life, address))
            case _ if self.sender is None:
                raise ValueError("no hello first")
            case [0, int(message), "alive", [*_]]:
                self.hub.write(self.conn, ("result", message, True))
            case [0, int(message), str(verb), [*args]] if size <= ASKED_MOST:
                self.hub.put("asked", self.conn, message, verb, tuple(args))
            case [0, int(message), str(verb), _]:
                error = ("Refused", f"{verb}: {size} bytes: {ASKED_MOST} are allowed", None)
                self.hub.write(self.conn, ("error", message, error))
            case [2, str(method), [*params]] if self.sender[0]:
                self.hub.put("told", self.sender, method, tuple(params))
            case _:
                raise ValueError("no message among instances")


class Outward:
    """What comes back on a link that this side has dialled."""

    def __init__(self, hub: "Mates", _: Put, link: str) -> None:
        self.hub, self.link, self.unpacker = hub, link, Unpacker(hub.frame_most)

    def feed(self, data: bytes) -> None:
        for frame, _ in self.unpacker.frames(data):
            match frame:
                case [1, 0, None, True]:
                    self.hub.ways[self.link].asked_alive = None
                case [1, int(number), error, result]:
                    self.hub.put("answered", number, error, result)
                case [2, "refused", [str(why)]]:
                    self.hub.met("mates_refuse", f"{self.link} refuses this process: {why[:200]}")
                case _:
                    raise ValueError("no answer among instances")


class Way:
    """To one address: the link, and what waits for it."""

    def __init__(self, link: str) -> None:
        self.link, self.up, self.dialling = link, False, False
        self.waiting: list[tuple[Any, ...]] = []
        self.not_before = self.used = self.alive_at = 0.0
        self.asked_alive: float | None = None


class Alarm(Clock):
    """One that may be set earlier while it sleeps."""

    def __init__(self) -> None:
        super().__init__()
        self.moved = anyio.Event()

    def wake(self, after_ms: float) -> None:
        before = self.due
        super().wake(after_ms)
        if self.due < before:
            self.moved.set()

    async def run(self, ring: Callable[[], None]) -> None:
        while True:
            left = self.due - self.now()
            if left > 0.0:
                self.moved = anyio.Event()
                with anyio.move_on_after(left / 1000.0):
                    await self.moved.wait()
            else:
                self.wake(1000.0)  # the ring sets the next time; should it fail, this one holds
                ring()
                await anyio.sleep(0)


class Mates(Hub):
    """Carries a mate: inputs with the time go in, effects come out. `leave` is called when it is to drain."""

    def __init__(
        self, core: Mate, clock: Alarm, group: TaskGroup, leave: Callable[[str], None],
        frame_most: int = FRAME_MOST, links_most: int = LINKS_MOST,
    ) -> None:  # fmt: skip
        """`links_most` counts both ways together; half of them are for those that others dial."""
        super().__init__(cast(Any, core), clock)
        self.frame_most, self.unread = frame_most, UNREAD_FRAMES * frame_most
        self.links_most = max(2, links_most // 2)
        self.mate, self.group, self.leave = core, group, leave
        self.hello: Hello = (core.fleet, core.me.name, core.me.life, core.me.address)
        self.ways: dict[str, Way] = {}  # by link, which is "mate-ADDRESS"
        self.conns = 0
        self.idle_at = 0.0

    def put(self, name: str, *details: Any) -> None:
        match name:
            case "opened":
                self.conns += 1
                if self.conns > self.links_most:
                    self.met("mates_crowded", f"over {self.links_most} connections among instances")
                    self.close(details[0])
                return
            case "condemn":
                conn, trouble, text = details
                self.met(trouble, f"connection {conn} among instances: {text}")
                self.close(conn)
                return
            case "eof":
                self.close(details[0])
                return
            case "read_out" | "scarce":  # links among instances are never asked for the first
                return
            case "reset":
                self.conns -= 1
                name = "closed"
            case "linked":
                self.linked(details[0])
                return
            case "unlinked":
                self.unlinked(details[0], details[1].text)
                return
            case "met":
                self.met(*details)
                return
        super().put(name, *details)
        if name == "time":
            self.look()

    def fault(self, where: str, error: Exception) -> list[Any]:
        self.mate.counts["faults"] += 1
        if self.mate.counts["faults"] <= 10:
            logger.opt(exception=error).error("fault in {}", where)
        effects, self.mate.effects = self.mate.effects, []
        return cast(list[Any], effects)

    def met(self, trouble: str, text: str = "") -> None:
        self.mate.counts[trouble] += 1
        if text and str(self.mate.counts[trouble]).rstrip("0") == "1":
            logger.info("{} ({}={})", text, trouble, self.mate.counts[trouble])

    # Who dials this side

    def greeted(self, conn: int, hello: Hello) -> None:
        fleet, name, life, address = hello
        why = ""
        if fleet != self.hello[0]:
            why = f"this is a process of the fleet {self.hello[0]!r}, not of {fleet!r}"
        elif name == self.hello[1] and life != self.hello[2]:
            why = f"this process has the name {name!r} itself"
        elif len(name) > 64 or len(life) > 64 or (name and ":" not in address):
            why = f"no name, life and address of a member: {hello!r:.120}"
        if why:
            self.met("mates_refused", f"a mate is refused: {why}")
            self.write(conn, ("refused", why))
            raise ValueError(why)

    def write(self, link: int | str, message: tuple[Any, ...]) -> None:
        outbox = self.outboxes.get(link)
        if outbox is not None and not outbox.put(message):
            self.met("mates_slow", f"{link} leaves {outbox.size} bytes unread and is cut")
            outbox.scope.cancel()

    def close(self, link: int | str) -> None:
        outbox = self.outboxes.pop(link, None)
        if outbox is not None:
            outbox.close()

    # Whom this side dials

    def tell(self, address: str, message: tuple[Any, ...]) -> None:
        link, now = f"{PARTY}-{address}", self.clock.now()
        way = self.ways.get(link)
        if way is None:
            if len(self.ways) >= self.links_most:
                self.leave_one()
            way = self.ways[link] = Way(link)
        way.used = now
        if way.up and way.asked_alive is not None and now - way.asked_alive > DEAF_MS:
            self.met("mates_deaf", f"{address} does not answer on a link that is up")
            self.drop(way)
        if way.up:
            self.write(link, message)
            if way.asked_alive is None and now - way.alive_at > ALIVE_MS:
                way.asked_alive = way.alive_at = now
                self.write(link, ("request", 0, "alive", ()))
            return
        if len(way.waiting) < WAITING_MOST:
            way.waiting.append(message)
        if not way.dialling and now >= way.not_before:
            way.dialling = True
            self.dial(address, link)

    def dial(self, address: str, link: str) -> None:
        try:
            to = start.address(address)
        except ValueError:
            self.unlinked(link, f"{address!r} is no address")
            return
        reader = partial(Outward, self)
        Links(self, self.group, to, FRAMES, reader, self.unread).dial(link, 0.0)

    def linked(self, link: str) -> None:
        way = self.ways[link]
        way.up, way.dialling, way.asked_alive, way.alive_at = True, False, None, self.clock.now()
        waiting, way.waiting = way.waiting, []
        self.write(link, ("hello", *self.hello))
        for message in waiting:
            self.write(link, message)

    def unlinked(self, link: str, text: str) -> None:
        way = self.ways[link]
        if not way.up:
            self.mate.counts["mates_unreached"] += 1
        way.up, way.dialling, way.waiting = False, False, []
        way.not_before = self.clock.now() + REDIAL_MS

    def drop(self, way: Way) -> None:
        """A link whose peer may never see its end: cut at once, so that nothing waits for its writer."""
        outbox = self.outboxes.pop(way.link, None)
        if outbox is not None:
            outbox.scope.cancel()
        way.up, way.asked_alive = False, None

    def leave_one(self) -> None:
        """The way that was used least lately makes room."""
        found = [way for way in self.ways.values() if not way.dialling]
        if found:
            way = min(found, key=lambda each: each.used)
            self.close(way.link)
            del self.ways[way.link]

    def look(self) -> None:
        """Now and then: links that nobody uses are closed."""
        now = self.clock.now()
        if now < self.idle_at:
            return
        self.idle_at = now + IDLE_MS / 5.0
        for link, way in list(self.ways.items()):
            if now - way.used > IDLE_MS and not way.dialling:
                self.close(link)
                del self.ways[link]

    # Effects

    def carry_out(self, effect: Any) -> None:
        match effect:
            case effects.Post(address, method, params):
                self.tell(address, ("notice", method, params))
            case effects.Ask(address, number, verb, args):
                self.tell(address, ("request", number, verb, args))
            case effects.Reply(conn, message, None, result):
                self.write(conn, ("result", message, result))
            case effects.Reply(conn, message, error, _):
                self.write(conn, ("error", message, error))
            case effects.Leave(why):
                logger.info("leaves {}", why)
                self.leave(why)
            case effects.Wake(at):
                self.clock.wake(max(0.0, at - self.clock.now()))
            case effects.Log(text):
                logger.info("fleet: {}", text)
            case effects.Exit():
                self.exit.set()


async def listening(address: tuple[str, int]) -> SocketListener:
    """Raises OSError."""
    listeners = await anyio.create_tcp_listener(
        local_host=address[0], local_port=address[1], backlog=gateways.BACKLOG
    )
    return cast(SocketListener, listeners.listeners[0])


def begin(mates: Mates, listener: SocketListener) -> None:
    """The listener, the timer and the first input, in the mates' task group."""
    callers = gateways.Gateways(mates, mates.unread, FRAMES, cast(Any, Inward))
    mates.group.start_soon(callers.accept, listener, mates.group)
    mates.put("start")
    mates.group.start_soon(mates.clock.run, lambda: mates.put("time"))
    bound = "{}:{}".format(*listener.extra(SocketAttribute.local_address)[:2])
    logger.info("fleet: {} of {} is listening among instances on {}", mates.hello[1], mates.hello[0], bound)
