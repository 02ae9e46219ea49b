"""Carries the distribution of configuration between a process's hub among instances and its reducer: a
`Node` in a server; `net/voter_configuration` has what is a voter's alone.

Messages travel as notices of one method on the hub's links. The reducer has a timer of its own, so that a
large publication is applied in slices between everything else that the process does.
"""

import gc
import json
import math
import random
import time
from abc import ABC, abstractmethod
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, ClassVar

from loguru import logger

from pumicenotch.distribution import effects, events
from pumicenotch.distribution.data.records import split_key
from pumicenotch.distribution.data.tables import TABLES, table_of
from pumicenotch.distribution.data.view import View
from pumicenotch.distribution.errors import MalformedMessageError
from pumicenotch.distribution.instance_settings import InstanceSettings
from pumicenotch.distribution.node import Node
from pumicenotch.distribution.protocol.codec import message_of, plain
from pumicenotch.distribution.protocol.messages import METHOD
from pumicenotch.errors import PumicenotchError
from pumicenotch.fleet.member.voter_client import NO_MAJORITY, NOT_LEADER, REFUSED
from pumicenotch.membership.messages import MemberIdentity, Update
from pumicenotch.net.peers import PeerHub, ResettableTimer
from pumicenotch.sender import Sender

LOOKUP, STATUS = "lookup", "configuration"
VERBS = (LOOKUP, STATUS)
MEMBERSHIP_LINKS = 16  # of a server's links each way that its children never take


def peer_of(update: Update) -> events.Peer:
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
    return events.Peer(member.name, member.zone, member.region, member.address, member.process_id)


class StepTimes:
    """Processor time of the steps by which the distribution holds the event loop: what else the machine does
    meanwhile is not in it.
    """

    BOUND_MS = 1.0

    def __init__(self) -> None:
        self.count = self.over_bound = 0
        self.longest_ms = 0.0

    @contextmanager
    def measured(self) -> Iterator[None]:
        began = time.thread_time()
        try:
            yield
        finally:
            took_ms = (time.thread_time() - began) * 1000.0
            self.count += 1
            self.over_bound += took_ms > self.BOUND_MS
            self.longest_ms = max(self.longest_ms, took_ms)

    def plain(self) -> dict[str, Any]:
        return {
            "count": self.count,
            "over_1_ms": self.over_bound,
            "longest_ms": round(self.longest_ms, 2),
        }


class Carrier(ABC):
    """What instances and voters have in common: messages, the timer, effects and requests."""

    verbs: ClassVar[tuple[str, ...]] = VERBS

    def __init__(self, hub: PeerHub) -> None:
        self.hub = hub
        self.timer = ResettableTimer()
        self.step_times = StepTimes()

    def run(self) -> None:
        """Begins, in the hub's task group."""
        self.hub.extension = self
        self.put(events.Started())
        self.hub.group.start_soon(self.timer.run, self.tick)

    def tick(self) -> None:
        with self.step_times.measured():
            self.put(events.Ticked())

    # Inputs

    def put(self, event: events.NodeEvent | events.VoterEvent) -> None:
        """One event. A fault in it is logged and counted, and ends neither the connection nor the process."""
        try:
            found = self.step(self.timer.now(), event)
        except Exception as error:
            self.hub.on_fault(f"configuration {type(event).__name__}", error)
            return
        for effect in found:
            try:
                self.carry_out(effect)
            except Exception as error:
                self.hub.on_fault(f"configuration {type(effect).__name__}", error)

    def notice(self, sender: Sender, method: str, params: Any) -> bool:
        """Whether the notice was one of the distribution's."""
        if method != METHOD:
            return False
        with self.step_times.measured():
            self.receive(sender, params)
        return True

    def receive(self, sender: Sender, params: Any) -> None:
        try:
            message = message_of(params)
        except MalformedMessageError as error:
            self.hub.count_trouble("configuration_unreadable", f"{sender.name}: {error}")
            return
        self.put(events.Received(sender, message))

    def request(self, conn: int, message: int, verb: str, args: Any) -> bool:
        """Whether the request was one of the distribution's."""
        if verb not in self.verbs:
            return False
        try:
            result = self.answer(verb, args)
        except NotLeaderError as error:
            code, text = (
                (NOT_LEADER, f"{error.leader} leads")
                if error.leader
                else (NO_MAJORITY, "nobody leads")
            )
            self.hub.write(conn, ("error", message, (code, text, error.leader)))
        except PumicenotchError as error:
            self.hub.write(conn, ("error", message, (REFUSED, str(error), error.code)))
        else:
            self.hub.write(conn, ("result", message, result))
        return True

    # Effects

    def carry_out(self, effect: effects.Effect) -> None:
        match effect:
            case effects.SendTo(address, message):
                self.hub.send(address, ("notice", METHOD, plain(message)))
            case effects.WakeAt(at_ms):
                self.timer.wake(max(0.0, at_ms - self.timer.now()))
            case effects.Log(text):
                logger.info("configuration: {}", text)
            case effects.InForce(version):
                logger.debug("configuration: version {} is in force", version)

    # Requests

    def answer(self, verb: str, args: Any) -> dict[str, Any]:
        """Raises PumicenotchError."""
        match [verb, *args]:
            case ["lookup", str(table), str(key)]:
                return self.looked_up(table, key)
            case ["configuration"]:
                return {**self.status(), "steps": self.step_times.plain()}
        raise InvalidArgumentsError(
            "other values are wanted",
            place=verb,
            remedy="lookup: a table and a key; configuration: nothing",
        )

    def looked_up(self, table: str, key: str) -> dict[str, Any]:
        table_of(TABLES, table)
        scope, _ = split_key(f"record {table}:{key}", key)
        if not self.holds(table, scope):
            raise RecordNotHeldError(
                f"{self.hub.hello.name} does not hold the scope {scope}",
                place=f"record {table}:{key}",
                remedy="ask a process that subscribes to it, or a voter; one that has just started: ask again",
            )
        value = self.view.lookup(table, key)
        return {
            "instance": self.hub.hello.name,
            "life": self.hub.hello.life,
            "version": self.view.version,
            "value": None if value is None else json.loads(value),
            "age_ms": finite(self.age_ms()),
        }

    # What the two differ in

    @abstractmethod
    def after_put(self) -> None:
        """The hub has carried out what came of one of its own inputs."""

    @abstractmethod
    def member_changed(self, update: Update) -> None:
        """Membership has another opinion of that process."""

    @abstractmethod
    def step(self, now_ms: float, event: Any) -> list[effects.Effect]:
        """Of the reducer."""

    @abstractmethod
    def holds(self, table: str, scope: str) -> bool:
        """Whether the view has that scope, with or without records in it."""

    @property
    @abstractmethod
    def view(self) -> View:
        """What is in force here."""

    @abstractmethod
    def age_ms(self) -> float:
        """How long ago the view was known to be current."""

    @abstractmethod
    def status(self) -> dict[str, Any]:
        """For operators."""


class InvalidArgumentsError(PumicenotchError):
    """A request with other values than its verb takes."""

    code = "bad-request"


class RecordNotHeldError(PumicenotchError):
    """A record of a scope to which the process does not subscribe, or that it has not got yet."""

    code = "not-held"


class NotLeaderError(PumicenotchError):
    """A voter that does not lead is asked for what only the leader knows."""

    def __init__(self, leader: str) -> None:
        """`leader` is its address, if it is known."""
        super().__init__(leader)
        self.leader = leader


def finite(value: float) -> float | None:
    return value if math.isfinite(value) else None


class InstanceCarrier(Carrier):
    """Of a server."""

    def __init__(
        self, hub: PeerHub, settings: InstanceSettings, voters: tuple[str, ...], seed: int
    ) -> None:
        super().__init__(hub)
        self.voters = frozenset(voters)
        children = min(settings.settings.children_most, max(1, hub.links_most - MEMBERSHIP_LINKS))
        self.node = Node(
            self_of(hub.node.me),
            voters,
            settings.subscribed(),
            random.Random(seed),
            settings=settings.settings._replace(children_most=children),
            tables=settings.tables(),
            relay_eligible=settings.relay,
        )

    def run(self) -> None:
        # A full collection over all that the program has loaded would hold the loop for some 25 ms, and a
        # large publication brings one about.
        gc.freeze()
        super().run()
        for update in self.hub.node.members.table.updates.values():
            self.member_changed(update)

    def step(self, now_ms: float, event: events.NodeEvent) -> list[effects.Effect]:
        return self.node.step(now_ms, event)

    def after_put(self) -> None:
        """Nothing of the node matters here beside `member_changed`."""

    def member_changed(self, update: Update) -> None:
        if update.member.address not in self.voters:
            self.put(events.PeerChanged(peer_of(update)))

    def reload(self, settings: InstanceSettings) -> None:
        """The server's file says something else now: the subscription follows it, the rest at a restart."""
        self.put(events.SubscriptionChanged(settings.subscribed()))

    def holds(self, table: str, scope: str) -> bool:
        return self.node.holds(table, scope)

    @property
    def view(self) -> View:
        return self.node.view

    def age_ms(self) -> float:
        return self.node.age_ms(self.timer.now())

    def status(self) -> dict[str, Any]:
        return self.node.status(self.timer.now())
