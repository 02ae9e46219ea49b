"""Runs the connections between the processes of a fleet, on a separate listener.

The dialing process first sends `hello` with the fleet and its own name, process id and address. A
hello that does not match is counted and answered with the reason, and its connection is closed.
Notices are sent one way, on the connection that their sender dialed. Requests are answered on the
connection on which they were received. A connection on which a probe is not answered is dialed
again.
"""

from collections.abc import Callable
from typing import Any, Protocol, cast

from anyio.abc import SocketAttribute, SocketListener, TaskGroup
from loguru import logger

from pumicenotch.fleet.member import effects
from pumicenotch.fleet.member.node import MemberNode
from pumicenotch.membership.messages import Update
from pumicenotch.net.gateway_listener import AcceptedProtocol, GatewayListener
from pumicenotch.net.hub import MAX_LOGGED_FAULTS, Hub
from pumicenotch.net.outbound_peers import OutboundPeers
from pumicenotch.net.peer_frames import (
    ENCODERS,
    ErrorResponse,
    FrameDecodeError,
    Hello,
    Notice,
    PeerMessage,
    Refusal,
    Request,
    Result,
)
from pumicenotch.net.peer_protocol import AcceptedPeer
from pumicenotch.net.resettable_timer import ResettableTimer
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

# Between voters: 16 log entries of the largest size, doubled.
MAX_FRAME_BYTES = 2 * 1024 * 1024
MAX_UNREAD_FRAMES = 2  # Frames of the largest size that a peer may leave unread.
# Inbound and outbound connections of a voter. A leader receives reports from a thousand members,
# each on its own connection.
MAX_CONNECTIONS = 4096
MAX_NAME_LENGTH = 64


class Extension(Protocol):
    """A subsystem that shares the node's connections for its own notices and requests."""

    def notice(self, sender: Sender, method: str, params: Any) -> bool:
        """Handles a notice; returns whether it belongs to the extension."""

    def request(self, connection_id: int, request_id: int, verb: str, args: Any) -> bool:
        """Answers a request that belongs to the extension; returns whether it does."""

    def member_changed(self, update: Update) -> None:
        """Called when the membership state of a process changes."""

    def after_put(self) -> None:
        """Called after the node has handled an input and its effects are applied."""


class PeerHub(Hub[Any]):
    """Passes inputs to a node of the fleet and applies its effects.

    Args:
        core: The node.
        clock: Supplies the node's time and timer.
        group: Runs the connections.
        on_shutdown: Called with the reason when the node requests that the process drains and
            exits.
        max_frame_bytes: Largest frame accepted from a peer.
        max_connections: Limit for accepted and dialed connections together; half for each.
    """

    def __init__(
        self,
        core: MemberNode,
        clock: ResettableTimer,
        group: TaskGroup,
        on_shutdown: Callable[[str], None],
        max_frame_bytes: int = MAX_FRAME_BYTES,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        super().__init__(cast(Any, core), clock)
        self.node = core
        self.group = group
        self.on_shutdown = on_shutdown
        self.max_frame_bytes = max_frame_bytes
        self.max_unread_bytes = MAX_UNREAD_FRAMES * max_frame_bytes
        self.max_connections_each_way = max(2, max_connections // 2)
        self.hello = Hello(core.fleet, core.me.name, core.me.process_id, core.me.address)
        self.outbound = OutboundPeers(self, group, self.max_connections_each_way)
        self.accepted_connections = 0
        self.extension: Extension | None = None

    # Inputs

    def deliver(self, event: object) -> None:
        """Handles a connection event. The node is informed only of closed accepted connections."""
        match event:
            case ConnectionOpened(connection_id):
                self.on_accepted(connection_id)
            case ProtocolViolated(connection_id, counter, text):
                self.count_problem(counter, f"peer connection {connection_id}: {text}")
                self.close(connection_id)
            case ConnectionEnded(connection_id):
                self.close(connection_id)
            case ConnectionReset(connection_id):
                self.accepted_connections -= 1
                self.put("closed", connection_id)
            case ConnectionUp(connection):
                self.outbound.on_up(connection)
            case ConnectionDown(connection):
                self.outbound.on_down(connection)
            case ProblemFound(counter, text):
                self.count_problem(counter, text)

    def on_accepted(self, connection_id: int) -> None:
        """Counts an accepted connection, and closes it if there are too many."""
        self.accepted_connections += 1
        if self.accepted_connections > self.max_connections_each_way:
            text = f"more than {self.max_connections_each_way} accepted peer connections"
            self.count_problem("mates_crowded", text)
            self.close(connection_id)

    def put(self, name: str, *details: Any) -> None:
        """Passes an input to the extension or the node and applies the resulting effects.

        An exception is logged and counted; it ends neither the connection nor the process.
        """
        if self.offer_to_extension(name, details):
            return
        try:
            node_effects = self.node.step(self.clock.now(), name, *details)
        except Exception as error:  # noqa: BLE001 - a faulty input must not end the process
            node_effects = self.on_fault(name, error)
        for effect in node_effects:
            try:
                self.carry_out(effect)
            except Exception as error:  # noqa: BLE001 - a faulty effect must not stop the others
                self.on_fault(type(effect).__name__, error)
        if name == "time":
            self.outbound.close_idle()
        if self.extension is not None:
            self.extension.after_put()

    def offer_to_extension(self, name: str, details: tuple[Any, ...]) -> bool:
        """Offers a notice or request to the extension; returns whether it was handled."""
        if self.extension is None:
            return False
        if name == "told":
            return self.extension.notice(*details)
        return name == "asked" and self.extension.request(*details)

    def on_fault(self, place: str, error: Exception) -> list[Any]:
        """Logs and counts a fault; returns the effects that the node requested before it."""
        self.node.counters["faults"] += 1
        if self.node.counters["faults"] <= MAX_LOGGED_FAULTS:
            logger.opt(exception=error).error("fault in {}", place)
        node_effects: list[Any] = list(self.node.effects)
        self.node.effects = []
        return node_effects

    def count_problem(self, counter: str, text: str = "") -> None:
        """Counts a problem, and logs the first, tenth, hundredth and so on of each counter."""
        self.node.counters[counter] += 1
        if text and str(self.node.counters[counter]).rstrip("0") == "1":
            logger.info("{} ({}={})", text, counter, self.node.counters[counter])

    # Hello of accepted connections

    def check_hello(self, connection_id: int, hello: Hello) -> None:
        """Checks the hello of a dialing process, and sends the reason if it is refused.

        Raises:
            FrameDecodeError: The hello was refused.
        """
        reason = self.refusal_reason(hello)
        if reason:
            self.count_problem("mates_refused", f"a peer is refused: {reason}")
            self.write(connection_id, Refusal(reason))
            raise FrameDecodeError(reason)

    def refusal_reason(self, hello: Hello) -> str:
        """Returns why the hello is refused; "" if it is accepted."""
        own_name = self.hello.name
        if hello.fleet != self.hello.fleet:
            return f"this is a process of the fleet {self.hello.fleet!r}, not of {hello.fleet!r}"
        if hello.name == own_name and hello.process_id != self.hello.process_id:
            return f"this process has the name {hello.name!r} itself"
        is_too_long = max(len(hello.name), len(hello.process_id)) > MAX_NAME_LENGTH
        if is_too_long or (hello.name and ":" not in hello.address):
            return f"no name, life and address of a member: {tuple(hello)!r:.120}"
        return ""

    # Messages

    def send(self, address: str, message: PeerMessage) -> None:
        """Sends a message to the process that listens on the address."""
        self.outbound.send(address, message)

    def write(self, connection: int | str, message: PeerMessage) -> None:
        """Writes to a connection, and closes it if the peer leaves too much unread."""
        outbox = self.outboxes.get(connection)
        if outbox is not None and not outbox.put(message):
            text = (
                f"connection {connection} has {outbox.unwritten_bytes} unread bytes and is closed"
            )
            self.count_problem("mates_slow", text)
            outbox.scope.cancel()

    def close(self, connection: int | str) -> None:
        """Closes a connection once its queued messages are written."""
        outbox = self.outboxes.pop(connection, None)
        if outbox is not None:
            outbox.close()

    # Effects

    def carry_out(self, effect: Any) -> None:
        """Applies one effect of the node."""
        match effect:
            case effects.SendNotification(address, method, params):
                self.send(address, Notice(method, params))
            case effects.SendRequest(address, request_id, verb, args):
                self.send(address, Request(request_id, verb, args))
            case effects.SendResponse():
                self.reply(effect)
            case effects.MemberChanged(update) if self.extension is not None:
                self.extension.member_changed(update)
            case effects.StartDraining(reason):
                logger.info("draining: {}", reason)
                self.on_shutdown(reason)
            case effects.WakeAt(wake_at_ms):
                self.clock.wake(max(0.0, wake_at_ms - self.clock.now()))
            case effects.Log(text):
                logger.info("fleet: {}", text)
            case effects.Exit():
                self.exit.set()

    def reply(self, reply: effects.SendResponse) -> None:
        """Answers a request with its result or its error."""
        response: Result | ErrorResponse
        if reply.error is None:
            response = Result(reply.message_id, reply.result)
        else:
            response = ErrorResponse(reply.message_id, reply.error)
        self.write(reply.connection_id, response)


def run_hub(hub: PeerHub, listener: SocketListener) -> None:
    """Starts the listener, the timer and the node in the hub's task group."""
    protocol = AcceptedProtocol(ENCODERS, AcceptedPeer)
    peer_listener = GatewayListener(hub, hub.max_unread_bytes, protocol)
    hub.group.start_soon(peer_listener.accept, listener, hub.group)
    hub.put("start")
    hub.group.start_soon(hub.clock.run, lambda: hub.put("time"))
    bound = "{}:{}".format(*listener.extra(SocketAttribute.local_address)[:2])
    logger.info(
        "fleet: {} of {} accepts peer connections on {}", hub.hello.name, hub.hello.fleet, bound
    )
