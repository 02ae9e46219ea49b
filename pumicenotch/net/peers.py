"""Instances among themselves: MessagePack-RPC by further method names, on a listener of its own.

Whoever dials says `hello` first, with the fleet and its own name, life and address; one that does not fit is
told why, counted and closed. Notices go one way, each on the link that its sender dials; requests are
answered on the link that they came by. A link that has not answered `alive` is dialled anew: a half-open one
would swallow all.
"""

from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple, Protocol, cast

import anyio
import msgpack
from anyio.abc import SocketAttribute, SocketListener, TaskGroup
from loguru import logger

from pumicenotch import start
from pumicenotch.fleet.member import effects
from pumicenotch.fleet.member.node import MemberNode
from pumicenotch.membership.messages import Update
from pumicenotch.net import gateway_listener
from pumicenotch.net.clock import Clock
from pumicenotch.net.dialer import Deliver, DialedProtocol, Dialer
from pumicenotch.net.gateway_listener import AcceptedProtocol, GatewayListener
from pumicenotch.net.hub import Hub
from pumicenotch.net.outbox import Encoders
from pumicenotch.sender import Sender
from pumicenotch.server.events import (
    ConnectionDown,
    ConnectionEnded,
    ConnectionOpened,
    ConnectionReset,
    ConnectionUp,
    ProblemFound,
    ProtocolViolated,
)

PARTY = "peer"
FRAME_MOST = (
    2 * 1024 * 1024
)  # among voters: 16 entries of the log at their largest, and as much again
REQUEST_MOST = 64 * 1024  # of a request: 1,024 names
READ_MOST = 64 * 1024
UNREAD_FRAMES = 2  # that a peer leaves unread: so many at their largest
QUEUED_MOST = 256  # messages for a link that is being dialled
REDIAL_MS = 200.0  # after a refused dial; what is sent meanwhile is lost, as on a cut link
IDLE_MS = (
    5000.0  # a link without a word is closed: among 1,000 members each talks to some at a time
)
PROBE_INTERVAL_MS = 1000.0  # between questions on a link in use
PROBE_TIMEOUT_MS = 2500.0  # for their answer
LINKS_MOST = (
    4096  # of a voter, in and out: a leader hears of a thousand members, each on a link of its own
)

pack: Callable[[Any], bytes] = msgpack.Packer(autoreset=True).pack
FRAMES: dict[str, Callable[..., bytes]] = {
    "hello": lambda fleet, name, life, address: pack([2, "hello", [fleet, name, life, address]]),
    "notice": lambda method, params: pack([2, method, params]),
    "request": lambda number, verb, args: pack([0, number, verb, args]),
    "result": lambda message, result: pack([1, message, None, result]),
    "error": lambda message, error: pack([1, message, error, None]),
    "refused": lambda why: pack([2, "refused", [why]]),
}
# A message is a tuple: the frame's kind, then its fields.
ENCODERS: Encoders = {tuple: lambda message: FRAMES[message[0]](*message[1:])}


class Hello(NamedTuple):
    """What one that dials says first; an operator's command has only the fleet."""

    fleet: str
    name: str
    life: str
    address: str


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


class InboundPeer:
    """What one that has dialled this side says."""

    def __init__(self, hub: "PeerHub", conn: int) -> None:
        self.hub, self.conn, self.unpacker = hub, conn, Unpacker(hub.frame_most)
        self.sender: Sender | None = None

    def feed(self, data: bytes) -> None:
        for frame, size in self.unpacker.frames(data):
            self.frame(frame, size)

    def frame(self, frame: Any, size: int) -> None:
        match frame:
            case [2, "hello", [str(fleet), str(name), str(life), str(address)]] if (
                self.sender is None
            ):
                self.sender = Sender(name, life, address)
                self.hub.check_hello(self.conn, Hello(fleet, name, life, address))
            case _ if self.sender is None:
                raise ValueError("no hello first")
            case [0, int(message), "alive", [*_]]:
                self.hub.write(self.conn, ("result", message, True))
            case [0, int(message), str(verb), [*args]] if size <= REQUEST_MOST:
                self.hub.put("asked", self.conn, message, verb, tuple(args))
            case [0, int(message), str(verb), _]:
                error = ("Refused", f"{verb}: {size} bytes: {REQUEST_MOST} are allowed", None)
                self.hub.write(self.conn, ("error", message, error))
            case [2, str(method), [*params]] if self.sender.name:
                self.hub.put("told", self.sender, method, tuple(params))
            case _:
                raise ValueError("no message among instances")


class OutboundPeer:
    """What comes back on a link that this side has dialled."""

    def __init__(self, hub: "PeerHub", _: Deliver, link: str) -> None:
        self.hub, self.link, self.unpacker = hub, link, Unpacker(hub.frame_most)

    def feed(self, data: bytes) -> None:
        for frame, _ in self.unpacker.frames(data):
            match frame:
                case [1, 0, None, True]:
                    self.hub.peer_links[self.link].probed_at = None
                case [1, int(number), error, result]:
                    self.hub.put("answered", number, error, result)
                case [2, "refused", [str(why)]]:
                    self.hub.count_trouble(
                        "mates_refuse", f"{self.link} refuses this process: {why[:200]}"
                    )
                case _:
                    raise ValueError("no answer among instances")


class PeerLink:
    """To one address: the link, and what waits for it."""

    def __init__(self, link: str) -> None:
        self.link, self.up, self.dialling = link, False, False
        self.queued: list[tuple[Any, ...]] = []
        self.not_before = self.used = self.last_probe_at = 0.0
        self.probed_at: float | None = None


class ResettableTimer(Clock):
    """One that may be set earlier while it sleeps."""

    def __init__(self) -> None:
        super().__init__()
        self.rescheduled = anyio.Event()

    def wake(self, delay_ms: float) -> None:
        before = self.wake_at
        super().wake(delay_ms)
        if self.wake_at < before:
            self.rescheduled.set()

    async def run(self, on_timer: Callable[[], None]) -> None:
        while True:
            left = self.wake_at - self.now()
            if left > 0.0:
                self.rescheduled = anyio.Event()
                with anyio.move_on_after(left / 1000.0):
                    await self.rescheduled.wait()
            else:
                self.wake(1000.0)  # the ring sets the next time; should it fail, this one holds
                on_timer()
                await anyio.sleep(0)


class Extension(Protocol):
    """A subsystem beside the node, whose notices and requests come by the same links."""

    def notice(self, sender: Sender, method: str, params: Any) -> bool:
        """Whether it was one of its own."""

    def request(self, conn: int, message: int, verb: str, args: Any) -> bool:
        """Whether it was one of its own, which it has answered then."""

    def member_changed(self, update: Update) -> None:
        """Membership has another opinion of that process."""

    def after_put(self) -> None:
        """The node has taken an input, and what came of it is carried out."""


class PeerHub(Hub[Any]):
    """Carries a node: inputs with the time go in, effects come out. `leave` is called when it is to drain."""

    def __init__(
        self,
        core: MemberNode,
        clock: ResettableTimer,
        group: TaskGroup,
        leave: Callable[[str], None],
        frame_most: int = FRAME_MOST,
        links_most: int = LINKS_MOST,
    ) -> None:
        """`links_most` counts both ways together; half of them are for those that others dial."""
        super().__init__(cast(Any, core), clock)
        self.frame_most, self.unread = frame_most, UNREAD_FRAMES * frame_most
        self.links_most = max(2, links_most // 2)
        self.node, self.group, self.leave = core, group, leave
        self.hello = Hello(core.fleet, core.me.name, core.me.process_id, core.me.address)
        self.peer_links: dict[str, PeerLink] = {}  # by link, which is "peer-ADDRESS"
        self.conns = 0
        self.idle_at = 0.0
        self.extension: Extension | None = None

    def deliver(self, event: object) -> None:
        """Handles what happens to connections; of the node's inputs it is one that a peer is gone."""
        match event:
            case ConnectionOpened(conn):
                self.conns += 1
                if self.conns > self.links_most:
                    self.count_trouble(
                        "mates_crowded", f"over {self.links_most} connections among instances"
                    )
                    self.close(conn)
            case ProtocolViolated(conn, trouble, text):
                self.count_trouble(trouble, f"connection {conn} among instances: {text}")
                self.close(conn)
            case ConnectionEnded(conn):
                self.close(conn)
            case ConnectionReset(conn):
                self.conns -= 1
                self.put("closed", conn)
            case ConnectionUp(link):
                self.linked(link)
            case ConnectionDown(link, failure):
                self.unlinked(link, failure.text)
            case ProblemFound(trouble, text):
                self.count_trouble(trouble, text)

    def put(self, name: str, *details: Any) -> None:
        """Has the node handle an input."""
        if self.taken_by_extension(name, details):
            return
        try:
            effects = self.node.step(self.clock.now(), name, *details)
        except Exception as error:
            effects = self.on_fault(name, error)
        for effect in effects:
            try:
                self.carry_out(effect)
            except Exception as error:
                self.on_fault(type(effect).__name__, error)
        if name == "time":
            self.close_idle_links()
        if self.extension is not None:
            self.extension.after_put()

    def taken_by_extension(self, name: str, details: tuple[Any, ...]) -> bool:
        if self.extension is None:
            return False
        if name == "told":
            return self.extension.notice(*details)
        return name == "asked" and self.extension.request(*details)

    def on_fault(self, place: str, error: Exception) -> list[Any]:
        self.node.counters["faults"] += 1
        if self.node.counters["faults"] <= 10:
            logger.opt(exception=error).error("fault in {}", place)
        effects, self.node.effects = self.node.effects, []
        return cast(list[Any], effects)

    def count_trouble(self, trouble: str, text: str = "") -> None:
        self.node.counters[trouble] += 1
        if text and str(self.node.counters[trouble]).rstrip("0") == "1":
            logger.info("{} ({}={})", text, trouble, self.node.counters[trouble])

    # Who dials this side

    def check_hello(self, conn: int, hello: Hello) -> None:
        fleet, name, life, address = hello
        why = ""
        if fleet != self.hello.fleet:
            why = f"this is a process of the fleet {self.hello.fleet!r}, not of {fleet!r}"
        elif name == self.hello.name and life != self.hello.life:
            why = f"this process has the name {name!r} itself"
        elif len(name) > 64 or len(life) > 64 or (name and ":" not in address):
            why = f"no name, life and address of a member: {tuple(hello)!r:.120}"
        if why:
            self.count_trouble("mates_refused", f"a peer is refused: {why}")
            self.write(conn, ("refused", why))
            raise ValueError(why)

    def write(self, link: int | str, message: tuple[Any, ...]) -> None:
        outbox = self.outboxes.get(link)
        if outbox is not None and not outbox.put(message):
            self.count_trouble(
                "mates_slow", f"{link} leaves {outbox.unwritten_bytes} bytes unread and is cut"
            )
            outbox.scope.cancel()

    def close(self, link: int | str) -> None:
        outbox = self.outboxes.pop(link, None)
        if outbox is not None:
            outbox.close()

    # Whom this side dials

    def send(self, address: str, message: tuple[Any, ...]) -> None:
        link, now = f"{PARTY}-{address}", self.clock.now()
        peer = self.peer_links.get(link)
        if peer is None:
            if len(self.peer_links) >= self.links_most:
                self.evict_least_used()
            peer = self.peer_links[link] = PeerLink(link)
        peer.used = now
        if peer.up and peer.probed_at is not None and now - peer.probed_at > PROBE_TIMEOUT_MS:
            self.count_trouble("mates_deaf", f"{address} does not answer on a link that is up")
            self.cut(peer)
        if peer.up:
            self.write(link, message)
            if peer.probed_at is None and now - peer.last_probe_at > PROBE_INTERVAL_MS:
                peer.probed_at = peer.last_probe_at = now
                self.write(link, ("request", 0, "alive", ()))
            return
        if len(peer.queued) < QUEUED_MOST:
            peer.queued.append(message)
        if not peer.dialling and now >= peer.not_before:
            peer.dialling = True
            self.dial(address, link)

    def dial(self, address: str, link: str) -> None:
        try:
            to = start.parse_address(address)
        except ValueError:
            self.unlinked(link, f"{address!r} is no address")
            return
        reader = partial(OutboundPeer, self)
        protocol = DialedProtocol(ENCODERS, reader, self.unread)
        Dialer(self, self.group, to, protocol).dial(link, 0.0)

    def linked(self, link: str) -> None:
        peer = self.peer_links[link]
        peer.up, peer.dialling, peer.probed_at, peer.last_probe_at = (
            True,
            False,
            None,
            self.clock.now(),
        )
        queued, peer.queued = peer.queued, []
        self.write(link, ("hello", *self.hello))
        for message in queued:
            self.write(link, message)

    def unlinked(self, link: str, text: str) -> None:
        peer = self.peer_links[link]
        if not peer.up:
            self.node.counters["mates_unreached"] += 1
        peer.up, peer.dialling, peer.queued = False, False, []
        peer.not_before = self.clock.now() + REDIAL_MS

    def cut(self, peer: PeerLink) -> None:
        """A link whose peer may never see its end: cut at once, so that nothing waits for its writer."""
        outbox = self.outboxes.pop(peer.link, None)
        if outbox is not None:
            outbox.scope.cancel()
        peer.up, peer.probed_at = False, None

    def evict_least_used(self) -> None:
        """The peer that was used least lately makes room."""
        found = [peer for peer in self.peer_links.values() if not peer.dialling]
        if found:
            peer = min(found, key=lambda each: each.used)
            self.close(peer.link)
            del self.peer_links[peer.link]

    def close_idle_links(self) -> None:
        """Now and then: links that nobody uses are closed."""
        now = self.clock.now()
        if now < self.idle_at:
            return
        self.idle_at = now + IDLE_MS / 5.0
        for link, peer in list(self.peer_links.items()):
            if now - peer.used > IDLE_MS and not peer.dialling:
                self.close(link)
                del self.peer_links[link]

    # Effects

    def carry_out(self, effect: Any) -> None:
        match effect:
            case effects.SendNotification(address, method, params):
                self.send(address, ("notice", method, params))
            case effects.SendRequest(address, number, verb, args):
                self.send(address, ("request", number, verb, args))
            case effects.SendResponse(conn, message, None, result):
                self.write(conn, ("result", message, result))
            case effects.SendResponse(conn, message, error, _):
                self.write(conn, ("error", message, error))
            case effects.MemberChanged(update):
                if self.extension is not None:
                    self.extension.member_changed(update)
            case effects.StartDraining(why):
                logger.info("leaves {}", why)
                self.leave(why)
            case effects.WakeAt(at):
                self.clock.wake(max(0.0, at - self.clock.now()))
            case effects.Log(text):
                logger.info("fleet: {}", text)
            case effects.Exit():
                self.exit.set()


async def open_listener(address: tuple[str, int]) -> SocketListener:
    """Raises OSError."""
    listeners = await anyio.create_tcp_listener(
        local_host=address[0], local_port=address[1], backlog=gateway_listener.BACKLOG
    )
    return cast(SocketListener, listeners.listeners[0])


def run_hub(hub: PeerHub, listener: SocketListener) -> None:
    """The listener, the timer and the first input, in the hub' task group."""
    callers = GatewayListener(hub, hub.unread, AcceptedProtocol(ENCODERS, InboundPeer))
    hub.group.start_soon(callers.accept, listener, hub.group)
    hub.put("start")
    hub.group.start_soon(hub.clock.run, lambda: hub.put("time"))
    bound = "{}:{}".format(*listener.extra(SocketAttribute.local_address)[:2])
    logger.info(
        "fleet: {} of {} is listening among instances on {}", hub.hello.name, hub.hello.fleet, bound
    )
