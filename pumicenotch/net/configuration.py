"""Connects the reducer of the configuration distribution with the process's peer hub.

In a server the reducer is a `Node`; `net/voter_configuration` contains the part for voters.
Messages are sent as notices of one method on the hub's connections. The reducer has its own timer,
so that a large publication is applied in slices between the other work of the process.
"""

import gc
import json
import math
import random
from abc import ABC, abstractmethod
from collections import deque
from typing import Any, ClassVar

import anyio
import anyio.lowlevel
from loguru import logger

from pumicenotch.distribution import effects, events
from pumicenotch.distribution.context import new_context
from pumicenotch.distribution.data.records import split_key
from pumicenotch.distribution.data.tables import TABLES, table_of
from pumicenotch.distribution.data.view import View
from pumicenotch.distribution.errors import MalformedMessageError
from pumicenotch.distribution.instance_settings import InstanceSettings
from pumicenotch.distribution.node import Node
from pumicenotch.distribution.protocol.codec import decode, encode
from pumicenotch.distribution.protocol.messages import MESSAGE_TYPES, METHOD, item_count
from pumicenotch.errors import PumicenotchError
from pumicenotch.fleet.member.voter_client import NO_MAJORITY, NOT_LEADER, REFUSED
from pumicenotch.membership.messages import MemberIdentity, Update
from pumicenotch.net.peer_frames import ErrorResponse, Notice, Result
from pumicenotch.net.peers import PeerHub
from pumicenotch.net.resettable_timer import ResettableTimer
from pumicenotch.net.step_times import StepTimes
from pumicenotch.sender import Sender

LOOKUP_VERB = "lookup"
STATUS_VERB = "configuration"
VERBS = (LOOKUP_VERB, STATUS_VERB)
MEMBERSHIP_CONNECTIONS = 16  # Connections in each direction that are reserved for membership.

# Step kinds in the step times, in addition to the kinds of messages.
TICK = "tick"  # A step of the reducer's timer.
UNKNOWN = "unknown"  # A step for an unreadable message.
PAGE = "page"  # A step that handles a message decoded in an earlier step.
# Changes, records or digests in a message that is decoded and handled in one step. Decoding a
# larger message takes as long as a slice of work.
MAX_ITEMS_IN_ONE_STEP = 32


def message_kind(params: Any) -> str:
    """Returns the kind of an undecoded message, used only for step times."""
    kind = params[0] if isinstance(params, list | tuple) and params else None
    return kind if isinstance(kind, str) and kind in MESSAGE_TYPES else UNKNOWN


def peer_from_update(update: Update) -> events.Peer:
    """Returns the distribution's representation of a member."""
    member = update.member
    return events.Peer(
        member.name,
        member.zone,
        member.region,
        member.address,
        member.process_id,
        not update.is_dead_or_left,
    )


def peer_from_identity(member: MemberIdentity) -> events.Peer:
    """Returns the distribution's representation of this process."""
    return events.Peer(member.name, member.zone, member.region, member.address, member.process_id)


class DistributionService(ABC):
    """Base of the services in servers and voters: messages, timer, effects and requests."""

    verbs: ClassVar[tuple[str, ...]] = VERBS

    def __init__(self, hub: PeerHub) -> None:
        self.hub = hub
        self.timer = ResettableTimer()
        self.step_times = StepTimes()
        self.decoded: deque[events.Received] = deque()  # Decoded messages not yet handled.
        self.has_decoded = anyio.Event()

    def run(self) -> None:
        """Starts the service in the hub's task group."""
        self.hub.extension = self
        self.put(events.Started())
        self.hub.group.start_soon(self.timer.run, self.tick)
        self.hub.group.start_soon(self.handle_decoded)

    def tick(self) -> None:
        """Passes a timer event to the reducer."""
        with self.step_times.measured(TICK):
            self.put(events.Ticked())

    # Inputs

    def put(self, event: events.NodeEvent | events.VoterEvent) -> None:
        """Passes an event to the reducer and applies the resulting effects.

        An exception is logged and counted; it ends neither the connection nor the process.
        """
        try:
            reducer_effects = self.step(self.timer.now(), event)
        except Exception as error:  # noqa: BLE001 - a faulty event must not end the process
            self.hub.on_fault(f"configuration {type(event).__name__}", error)
            return
        for effect in reducer_effects:
            try:
                self.carry_out(effect)
            except Exception as error:  # noqa: BLE001 - a faulty effect must not stop the others
                self.hub.on_fault(f"configuration {type(effect).__name__}", error)

    def notice(self, sender: Sender, method: str, params: Any) -> bool:
        """Handles a notice of the distribution; returns whether it was one."""
        if method != METHOD:
            return False
        with self.step_times.measured(message_kind(params)):
            self.receive(sender, params)
        return True

    async def handle_decoded(self) -> None:
        """Passes decoded messages to the reducer; other tasks run before each message."""
        while True:
            await self.has_decoded.wait()
            while self.decoded:
                await anyio.lowlevel.checkpoint()
                with self.step_times.measured(PAGE):
                    self.put(self.decoded.popleft())
            self.has_decoded = anyio.Event()

    def receive(self, sender: Sender, params: Any) -> None:
        """Decodes a message and passes it to the reducer, a large message in a later step."""
        try:
            message = decode(params)
        except MalformedMessageError as error:
            self.hub.count_problem("configuration_unreadable", f"{sender.name}: {error}")
            return
        received = events.Received(sender, message)
        if self.decoded or item_count(message) > MAX_ITEMS_IN_ONE_STEP:
            self.decoded.append(received)
            self.has_decoded.set()
        else:
            self.put(received)

    def request(self, connection_id: int, request_id: int, verb: str, args: Any) -> bool:
        """Answers a request to the distribution; returns whether it was one."""
        if verb not in self.verbs:
            return False
        response: Result | ErrorResponse
        try:
            response = Result(request_id, self.answer(verb, args))
        except NotLeaderError as error:
            response = ErrorResponse(request_id, error.as_response())
        except PumicenotchError as error:
            response = ErrorResponse(request_id, (REFUSED, str(error), error.code))
        self.hub.write(connection_id, response)
        return True

    # Effects

    def carry_out(self, effect: effects.Effect) -> None:
        """Applies one effect of the reducer."""
        match effect:
            case effects.SendTo(address, message):
                self.hub.send(address, Notice(METHOD, encode(message)))
            case effects.WakeAt(at_ms):
                self.timer.wake(max(0.0, at_ms - self.timer.now()))
            case effects.Log(text):
                logger.info("configuration: {}", text)
            case effects.InForce(version):
                logger.debug("configuration: version {} is in force", version)

    # Requests

    def answer(self, verb: str, args: Any) -> dict[str, Any]:
        """Returns the result of a request.

        Raises:
            PumicenotchError: The request cannot be answered.
        """
        match [verb, *args]:
            case [_, str(table), str(key)] if verb == LOOKUP_VERB:
                return self.look_up(table, key)
            case [_] if verb == STATUS_VERB:
                return {**self.status(), "steps": self.step_times.as_json()}
        raise InvalidArgumentsError(
            "other values are wanted",
            place=verb,
            remedy="lookup: a table and a key; configuration: nothing",
        )

    def look_up(self, table: str, key: str) -> dict[str, Any]:
        """Returns the value of a record in this process's current version.

        Raises:
            RecordNotHeldError: This process does not hold the record's scope.
        """
        table_of(TABLES, table)
        scope, _ = split_key(f"record {table}:{key}", key)
        if not self.has_scope(table, scope):
            raise RecordNotHeldError(
                f"{self.hub.hello.name} does not hold the scope {scope}",
                place=f"record {table}:{key}",
                remedy="ask a process that subscribes to it, or a voter; one that has just started:"
                " ask again",
            )
        value = self.view.lookup(table, key)
        return {
            "instance": self.hub.hello.name,
            "life": self.hub.hello.process_id,
            "version": self.view.version,
            "value": None if value is None else json.loads(value),
            "age_ms": finite_or_none(self.age_ms()),
        }

    # Differences between servers and voters

    @abstractmethod
    def after_put(self) -> None:
        """Called after the hub has handled an input and applied its effects."""

    @abstractmethod
    def member_changed(self, update: Update) -> None:
        """Called when the membership state of a process changes."""

    @abstractmethod
    def step(self, now_ms: float, event: Any) -> list[effects.Effect]:
        """Passes an event to the reducer and returns its effects."""

    @abstractmethod
    def has_scope(self, table: str, scope: str) -> bool:
        """Returns whether the view contains the scope, even without records in it."""

    @property
    @abstractmethod
    def view(self) -> View:
        """The configuration in force in this process."""

    @abstractmethod
    def age_ms(self) -> float:
        """Returns the time in ms since the view was last known to be current."""

    @abstractmethod
    def status(self) -> dict[str, Any]:
        """Returns the status that operators request."""


class InvalidArgumentsError(PumicenotchError):
    """A request has arguments that its verb does not accept."""

    code = "bad-request"


class RecordNotHeldError(PumicenotchError):
    """The process does not subscribe to the record's scope, or has not received it yet."""

    code = "not-held"


class NotLeaderError(PumicenotchError):
    """A follower received a request that only the leader can answer."""

    def __init__(self, leader: str) -> None:
        super().__init__(leader)
        self.leader = leader  # Address of the leader; "" if there is none.

    def as_response(self) -> tuple[str, str, str]:
        """Returns the error response, with the leader's address for a repeated request."""
        if self.leader:
            return NOT_LEADER, f"{self.leader} leads", self.leader
        return NO_MAJORITY, "nobody leads", self.leader


def finite_or_none(value: float) -> float | None:
    """Returns the value, or None for infinity and NaN, which JSON cannot represent."""
    return value if math.isfinite(value) else None


class InstanceDistributionService(DistributionService):
    """The configuration distribution in a server, which subscribes to scopes and may relay them.

    Args:
        hub: Sends and receives the messages.
        settings: The server's subscriptions and limits.
        voters: The addresses of all voters.
        seed: Seed of the reducer's random choices.
    """

    def __init__(
        self, hub: PeerHub, settings: InstanceSettings, voters: tuple[str, ...], seed: int
    ) -> None:
        super().__init__(hub)
        self.voters = frozenset(voters)
        children = min(
            settings.settings.max_children,
            max(1, hub.max_connections_each_way - MEMBERSHIP_CONNECTIONS),
        )
        limits = settings.settings._replace(max_children=children)
        self.node = Node(
            peer_from_identity(hub.node.me),
            voters,
            settings.subscribed(),
            new_context(random.Random(seed), limits, settings.tables()),
            settings.relay,
        )

    def run(self) -> None:
        """Starts the service and passes the known members to the reducer."""
        # A large publication triggers a full garbage collection. Over all loaded modules it would
        # block the event loop for about 25 ms, so their objects are excluded from collections.
        gc.freeze()
        super().run()
        for update in self.hub.node.members.table.updates.values():
            self.member_changed(update)

    def step(self, now_ms: float, event: events.NodeEvent) -> list[effects.Effect]:
        """Passes an event to the reducer and returns its effects."""
        return self.node.step(now_ms, event)

    def after_put(self) -> None:
        """Does nothing; a server's service needs only `member_changed` from the node."""

    def member_changed(self, update: Update) -> None:
        """Passes a changed member to the reducer; voters are omitted, as they serve any process."""
        if update.member.address not in self.voters:
            self.put(events.PeerChanged(peer_from_update(update)))

    def reload(self, settings: InstanceSettings) -> None:
        """Applies the subscriptions of a reloaded file; other settings require a restart."""
        self.put(events.SubscriptionChanged(settings.subscribed()))

    def has_scope(self, table: str, scope: str) -> bool:
        """Returns whether the server subscribes to the scope and holds it."""
        return self.node.covers(table, scope)

    @property
    def view(self) -> View:
        """The configuration in force in this process."""
        return self.node.view

    def age_ms(self) -> float:
        """Returns the time in ms since the view was last known to be current."""
        return self.node.age_ms(self.timer.now())

    def status(self) -> dict[str, Any]:
        """Returns the status that operators request."""
        return self.node.status(self.timer.now())
