"""The distribution of configuration, between a process's hub among instances and its reducer.

In a server the reducer is a `Node`; `net/voter_configuration` has what is a voter's alone.
Messages travel as notices of one method on the hub's connections. The reducer has a timer of its
own, so that a large publication is applied in slices between everything else that the process does.
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
MEMBERSHIP_CONNECTIONS = 16  # of a server's connections each way that its children never take


TICK = "tick"  # a step of the reducer's own timer, beside the kinds of messages
UNKNOWN = "unknown"  # of a message that cannot be read
PAGE = "page"  # a step that takes a message which was decoded in a step of its own
# Of changes, records or digests: decoding a larger message takes as long as a slice of work.
MAX_ITEMS_WITH_WORK = 32


def kind_of(params: Any) -> str:
    """Returns the kind of a message as it came, for figures alone."""
    kind = params[0] if isinstance(params, list | tuple) and params else None
    return kind if isinstance(kind, str) and kind in MESSAGE_TYPES else UNKNOWN


def peer_of(update: Update) -> events.Peer:
    """Returns a member as the distribution knows it."""
    member = update.member
    return events.Peer(
        member.name,
        member.zone,
        member.region,
        member.address,
        member.process_id,
        not update.is_dead_or_left,
    )


def self_of(member: MemberIdentity) -> events.Peer:
    """Returns this process as the distribution knows it."""
    return events.Peer(member.name, member.zone, member.region, member.address, member.process_id)


class DistributionService(ABC):
    """What instances and voters have in common: messages, the timer, effects and requests."""

    verbs: ClassVar[tuple[str, ...]] = VERBS

    def __init__(self, hub: PeerHub) -> None:
        self.hub = hub
        self.timer = ResettableTimer()
        self.step_times = StepTimes()
        self.decoded: deque[events.Received] = deque()  # and not yet taken, in their order
        self.has_decoded = anyio.Event()

    def run(self) -> None:
        """Starts, in the hub's task group."""
        self.hub.extension = self
        self.put(events.Started())
        self.hub.group.start_soon(self.timer.run, self.tick)
        self.hub.group.start_soon(self.take_decoded)

    def tick(self) -> None:
        """The timer is due."""
        with self.step_times.measured(TICK):
            self.put(events.Ticked())

    # Inputs

    def put(self, event: events.NodeEvent | events.VoterEvent) -> None:
        """Has the reducer take an event; a fault ends neither the connection nor the process."""
        try:
            reducer_effects = self.step(self.timer.now(), event)
        except Exception as error:  # noqa: BLE001 - one event must not end the process
            self.hub.on_fault(f"configuration {type(event).__name__}", error)
            return
        for effect in reducer_effects:
            try:
                self.carry_out(effect)
            except Exception as error:  # noqa: BLE001 - nor one effect the others
                self.hub.on_fault(f"configuration {type(effect).__name__}", error)

    def notice(self, sender: Sender, method: str, params: Any) -> bool:
        """Takes a notice; returns whether it was one of the distribution's."""
        if method != METHOD:
            return False
        with self.step_times.measured(kind_of(params)):
            self.receive(sender, params)
        return True

    async def take_decoded(self) -> None:
        """Gives decoded messages to the reducer, with a turn for all else before each."""
        while True:
            await self.has_decoded.wait()
            while self.decoded:
                await anyio.lowlevel.checkpoint()
                with self.step_times.measured(PAGE):
                    self.put(self.decoded.popleft())
            self.has_decoded = anyio.Event()

    def receive(self, sender: Sender, params: Any) -> None:
        """Decodes a message and gives it to the reducer, a large one in a later step."""
        try:
            message = decode(params)
        except MalformedMessageError as error:
            self.hub.count_problem("configuration_unreadable", f"{sender.name}: {error}")
            return
        received = events.Received(sender, message)
        if self.decoded or item_count(message) > MAX_ITEMS_WITH_WORK:
            self.decoded.append(received)
            self.has_decoded.set()
        else:
            self.put(received)

    def request(self, connection_id: int, request_id: int, verb: str, args: Any) -> bool:
        """Answers a request; returns whether it was one of the distribution's."""
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
        """Carries out one effect of the reducer."""
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
            PumicenotchError: It cannot be answered.
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
        """Returns a record as it is in force here."""
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
            "age_ms": finite(self.age_ms()),
        }

    # What instances and voters differ in

    @abstractmethod
    def after_put(self) -> None:
        """The hub has carried out what came of one of its own inputs."""

    @abstractmethod
    def member_changed(self, update: Update) -> None:
        """Membership has another opinion of that process."""

    @abstractmethod
    def step(self, now_ms: float, event: Any) -> list[effects.Effect]:
        """Has the reducer take an event."""

    @abstractmethod
    def has_scope(self, table: str, scope: str) -> bool:
        """Returns whether the view has that scope, with or without records in it."""

    @property
    @abstractmethod
    def view(self) -> View:
        """What is in force here."""

    @abstractmethod
    def age_ms(self) -> float:
        """Returns how long ago the view was known to be current."""

    @abstractmethod
    def status(self) -> dict[str, Any]:
        """Returns what operators are told."""


class InvalidArgumentsError(PumicenotchError):
    """A request with other values than its verb takes."""

    code = "bad-request"


class RecordNotHeldError(PumicenotchError):
    """A record of a scope to which the process does not subscribe, or that it has not got yet."""

    code = "not-held"


class NotLeaderError(PumicenotchError):
    """A voter that does not lead is asked for what only the leader knows."""

    def __init__(self, leader: str) -> None:
        super().__init__(leader)
        self.leader = leader  # its address; "" if it is not known

    def as_response(self) -> tuple[str, str, str]:
        """Returns the error as it is answered: with the leader's address, to be asked instead."""
        if self.leader:
            return NOT_LEADER, f"{self.leader} leads", self.leader
        return NO_MAJORITY, "nobody leads", self.leader


def finite(value: float) -> float | None:
    """Returns the value, or None where JSON has no number for it."""
    return value if math.isfinite(value) else None


class InstanceDistributionService(DistributionService):
    """The distribution's part in a server.

    Args:
        hub: Carries its messages.
        settings: To what the server subscribes, and its bounds.
        voters: The addresses of all voters.
        seed: Of the reducer's random choices.
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
            self_of(hub.node.me),
            voters,
            settings.subscribed(),
            new_context(random.Random(seed), limits, settings.tables()),
            settings.relay,
        )

    def run(self) -> None:
        """Starts, and tells the reducer of the members that are known already."""
        # A full collection over all that the program has loaded would hold the loop for some 25 ms,
        # and a large publication brings one about.
        gc.freeze()
        super().run()
        for update in self.hub.node.members.table.updates.values():
            self.member_changed(update)

    def step(self, now_ms: float, event: events.NodeEvent) -> list[effects.Effect]:
        """Has the reducer take an event."""
        return self.node.step(now_ms, event)

    def after_put(self) -> None:
        """Does nothing: of the node only `member_changed` matters here."""

    def member_changed(self, update: Update) -> None:
        """Tells the reducer, unless the process is a voter: those serve whoever asks."""
        if update.member.address not in self.voters:
            self.put(events.PeerChanged(peer_of(update)))

    def reload(self, settings: InstanceSettings) -> None:
        """Subscribes as the server's file says now; the rest of it takes a restart."""
        self.put(events.SubscriptionChanged(settings.subscribed()))

    def has_scope(self, table: str, scope: str) -> bool:
        """Returns whether the server subscribes to that scope and has it."""
        return self.node.covers(table, scope)

    @property
    def view(self) -> View:
        """What is in force here."""
        return self.node.view

    def age_ms(self) -> float:
        """Returns how long ago the view was known to be current."""
        return self.node.age_ms(self.timer.now())

    def status(self) -> dict[str, Any]:
        """Returns what operators are told."""
        return self.node.status(self.timer.now())
