"""A member's process: its opinion of the others, and its own drain by permit.

Whatever it hears or does not hear, its work goes on: only steps that nobody forces wait for
agreement.
"""

from collections import Counter
from collections.abc import Mapping
from typing import Any, ClassVar, NamedTuple

from pumicenotch.fleet.drains.budgets import SERVING, Member
from pumicenotch.fleet.member.effects import (
    MemberChanged,
    RequestError,
    SendNotification,
    SendResponse,
    StartDraining,
)
from pumicenotch.fleet.member.halt_gossip import HaltGossip
from pumicenotch.fleet.member.hint import read_member_hint
from pumicenotch.fleet.member.voter_client import UNKNOWN_VERB, VoterClient
from pumicenotch.fleet.replicated.commands import (
    JoinMember,
    MemberCommand,
    ReportServing,
    ReportStopped,
    ReportTermination,
    StartDrain,
)
from pumicenotch.fleet.replicated.fields import MAX_NAMES, MAX_TEXT_LENGTH
from pumicenotch.fleet.replicated.registry import encode_command
from pumicenotch.membership import messages
from pumicenotch.membership.events import (
    Event,
    MemberUpdated,
    MessageReceived,
    NameConflict,
    Send,
    SetPhase,
    Tick,
)
from pumicenotch.membership.messages import (
    PHASE_LABELS,
    MemberIdentity,
    MemberPhase,
    MemberState,
)
from pumicenotch.membership.swim import SwimMembership
from pumicenotch.sender import Sender

MAX_HEARTBEAT_INTERVAL_MS = 60_000.0  # whatever the leader says


class MemberSetup(NamedTuple):
    """What a member's process is made from."""

    fleet: str
    me: MemberIdentity
    member: Member  # what the fleet counts of this process
    voters: tuple[str, ...]  # the addresses of all voters
    seeds: tuple[str, ...]  # addresses to join the membership by
    now_ms: float
    seed: int


class MemberNode(VoterClient):
    """A reducer of these inputs.

    `start`; `time`; `told` (sender, method, params): a notification; `asked` (connection, message,
    verb, args): a request; `closed` (connection); `answered` (number, error, result); `serve`
    (whether it serves, whether it is overloaded); `leave` (reason): it drains; `left`: it is about
    to exit; `counted` (rows as `canary.counts` reads them, MB).
    """

    HEARTBEAT_MS = 500.0  # between heartbeats to the leader, unless it names a longer interval

    INPUTS: ClassVar[Mapping[str, str]] = {
        "start": "on_time",
        "time": "on_time",
        "told": "on_notification",
        "asked": "on_request",
        "closed": "on_connection_closed",
        "answered": "on_response",
        "serve": "set_serving",
        "leave": "start_draining",
        "left": "stop",
        "counted": "send_counts",
    }

    def __init__(self, setup: MemberSetup) -> None:
        super().__init__(setup.voters, setup.now_ms, setup.seed)
        self.fleet = setup.fleet
        self.me = setup.me
        self.member = setup.member
        self.members = SwimMembership(setup.me, setup.now_ms, setup.seeds, self.rng)
        self.halt_gossip = HaltGossip(self.members.broadcasts)
        # What this process is.
        self.is_serving = False
        self.is_overloaded = False
        self.is_draining = False
        self.is_stopping = False
        self.drain_reason = ""
        # What is agreed of this process, as far as it knows.
        self.has_joined = False
        self.is_agreed_serving = False
        self.termination_reported = False
        self.stop_reported = False
        self.join_refusal = ""
        self.permit_epoch = 0
        self.permit_refusal = ""
        self.permit_started = False  # agreed, though the answer may have been lost
        self.drain_started = False  # by permit, and this process knows it
        self.fleet_halt_reason = ""
        self.wait_reason = ""  # of its queued drain
        # Its reports.
        self.heartbeat_at_ms = setup.now_ms
        self.heartbeat_interval_ms = self.HEARTBEAT_MS
        self.counts_at_ms = setup.now_ms
        self.wants_counts = False  # the leader does

    def wake_at_ms(self) -> float:
        """Returns when the next input `time` is due."""
        return min(self.members.next_wake_at(), self.request_deadline_ms())

    def on_time(self) -> None:
        """Lets the membership and the request time out."""
        self.step_members(Tick())
        self.check_timeout()

    # Membership

    def step_members(self, event: Event) -> None:
        """Gives the membership an input, and carries out its effects."""
        for effect in self.members.step(self.now_ms, event):
            match effect:
                case Send(address, message):
                    self.notify(address, "members", *messages.encode(message))
                case MemberUpdated(update):
                    self.on_member_changed(update)
                case NameConflict(other):
                    self.counters["names_taken"] += 1
                    self.log(
                        f"another process goes by the name {other.name}: {other.address}"
                        f" ({other.process_id})"
                    )

    def on_member_changed(self, update: messages.Update) -> None:
        """Reports another opinion of a member."""
        self.effects.append(MemberChanged(update))
        if update.state is not MemberState.ALIVE:
            state = update.state.name.lower()
            self.log(f"{update.member.name} is thought {state} by {update.reported_by}")

    def on_notification(self, sender: Sender, method: str, params: Any) -> None:
        """Takes a notification of another process of this fleet; a malformed one is counted."""
        try:
            self.receive(sender, method, params)
        except ValueError as error:
            self.counters["notices_unreadable"] += 1
            self.log(f"{sender[0]}: {method}: {error}")

    def receive(self, sender: Sender, method: str, params: Any) -> None:
        """Handles a notification; raises ValueError if it is malformed."""
        _, _, address = sender
        match method:
            case "members":
                self.step_members(MessageReceived(address, messages.decode(params)))
            case "permitted" if params and type(params[0]) is int:
                self.permit_epoch = max(self.permit_epoch, params[0])
                # Not at the next heartbeat only, which is due anyway.
                self.next_request_at_ms = min(self.next_request_at_ms, self.now_ms)
            case _:
                self.counters["notices_unknown"] += 1

    # Halts

    def halt_reason(self) -> str:
        """Returns why this process takes no step that can wait; "" if it may."""
        halt = self.halt_gossip.current()
        if halt.key:
            return f"halted: by {halt.operator}: {halt.reason}"
        return self.fleet_halt_reason

    # Requests of operators and of other processes

    def on_request(self, connection_id: int, message_id: int, verb: str, args: Any) -> None:
        """Answers what any process of the fleet answers."""
        match [verb, *args] if isinstance(args, list | tuple) else [verb]:
            case ["local"]:
                self.respond(connection_id, message_id, self.local_status())
            case ["halt", str(key), str(operator), str(reason)] if (
                key and operator and reason and len(key + operator + reason) <= MAX_TEXT_LENGTH
            ):
                if self.halt_gossip.current().key != key:
                    self.halt_gossip.replace(key, operator, reason)
                    self.log(f"HALT by {operator}: {reason}")
                answer = {"text": "halted here, and handed on to the others", "agreed": False}
                self.respond(connection_id, message_id, answer)
            case _:
                problem = f"{verb}: ask a voter: {', '.join(self.voters)}"
                self.refuse(connection_id, message_id, RequestError(UNKNOWN_VERB, problem))

    def on_connection_closed(self, connection_id: int) -> None:
        """Nobody waits on that connection any more."""

    def local_status(self) -> dict[str, Any]:
        """Returns what this process thinks by itself: an opinion."""
        rows = [
            {
                "name": name,
                "zone": update.member.zone,
                "region": update.member.region,
                "standing": PHASE_LABELS[update.phase],
                "opinion": update.state.name.lower(),
                "life": update.member.process_id,
                "address": update.member.address,
            }
            for name, update in sorted(self.members.members().items())
        ]
        return {
            "fleet": self.fleet,
            "name": self.me.name,
            "life": self.me.process_id,
            "halted": self.halt_reason(),
            "permit": self.permit_epoch,
            "waits": self.wait_reason,
            "joined": self.has_joined,
            "members": rows[:MAX_NAMES],
            "opinions": dict(Counter(row["opinion"] for row in rows)),
            "counts": dict(self.counters),
            "taken": self.join_refusal,
        }

    def respond(self, connection_id: int, message_id: int, result: Any) -> None:
        """Answers a request."""
        self.effects.append(SendResponse(connection_id, message_id, None, result))

    def refuse(self, connection_id: int, message_id: int, error: RequestError) -> None:
        """Answers a request with an error."""
        self.effects.append(SendResponse(connection_id, message_id, error))

    # What it wants agreed of itself: each request may come twice, or late, and changes nothing then

    def send_next_request(self) -> None:
        """Sends the first report or request that is due, else a heartbeat."""
        if self.request is not None or self.now_ms < self.next_request_at_ms or not self.voters:
            return
        if self.is_stopping:
            if not self.stop_reported and self.has_joined:
                self.send_command(ReportStopped(self.me.name, self.me.process_id))
            return
        command = self._next_command()
        if command is not None:
            self.send_command(command)
        elif self.now_ms >= self.heartbeat_at_ms:
            self.heartbeat_at_ms = self.now_ms + self.HEARTBEAT_MS
            self.send_request("mine", self.me.name, self.me.process_id, self.is_overloaded)
        else:
            self.next_request_at_ms = self.heartbeat_at_ms

    def _next_command(self) -> MemberCommand | None:
        name = self.me.name
        process_id = self.me.process_id
        if not self.has_joined:
            return JoinMember(self.member._replace(process_id=process_id))
        if self.is_draining:
            if self.termination_reported:
                return None
            return ReportTermination(name, process_id, self.drain_reason)
        may_start = self.permit_started or not self.halt_reason()
        if self.permit_epoch and not self.drain_started and may_start:
            return StartDrain(name, process_id, self.permit_epoch)
        if self.is_serving and not self.is_agreed_serving:
            return ReportServing(name, process_id)
        return None

    def send_command(self, command: MemberCommand) -> None:
        """Asks the leader to propose a command."""
        verb, *fields = encode_command(command)
        self.send_request(verb, *fields)

    def on_result(self, verb: str, result: dict[str, Any]) -> None:
        """Takes the result of a request."""
        match verb:
            case "join":
                self.has_joined = True
                self.join_refusal = ""
            case "serving":
                self.is_agreed_serving = True
            case "leaving":
                self.termination_reported = True
            case "gone":
                self.stop_reported = True
            case "began":
                self.drain_started = True
                self.effects.append(StartDraining(f"by permit of epoch {self.permit_epoch}"))
            case "mine":
                self.on_hint(result)

    def on_hint(self, result: dict[str, Any]) -> None:
        """Takes what the leader says is agreed: no step rests on it alone."""
        hint = read_member_hint(result)
        if 0 < hint.heartbeat_interval_ms <= MAX_HEARTBEAT_INTERVAL_MS:
            self.heartbeat_interval_ms = max(self.HEARTBEAT_MS, hint.heartbeat_interval_ms)
            self.heartbeat_at_ms = self.now_ms + self.heartbeat_interval_ms
        self.has_joined = hint.is_known
        if not hint.is_known:
            self.termination_reported = False  # a fleet that was founded again counts it again
        self.is_agreed_serving = hint.status == SERVING
        self.permit_epoch = hint.permit_epoch
        self.permit_started = hint.permit_started
        self.fleet_halt_reason = hint.halt_reason
        self.wants_counts = hint.wants_counts
        if hint.wait_reason and not self.wait_reason:
            self.log(f"a drain of this process is asked for, and waits: {hint.wait_reason}")
        self.wait_reason = hint.wait_reason

    def on_refusal(self, verb: str, text: str) -> None:
        """Takes the fleet's refusal of a request."""
        self.counters[f"{verb}_refused"] += 1
        if verb == "join":
            if text != self.join_refusal:
                self.log(f"cannot join the fleet: {text}")
            self.join_refusal = text
        elif verb == "began":
            self.permit_epoch = 0  # the next heartbeat's answer tells whether it is still in force
            if text != self.permit_refusal:
                self.log(f"permit refused: {text}")
            self.permit_refusal = text
        else:
            # The fleet knows another process, or none: this process joins again.
            self.has_joined = False

    # This process

    def set_serving(self, is_serving: bool, is_overloaded: bool) -> None:
        """Whether this process serves, and whether its load is more than it can use."""
        if is_overloaded != self.is_overloaded:
            self.is_overloaded = is_overloaded
            self.heartbeat_at_ms = self.now_ms
            self.next_request_at_ms = min(self.next_request_at_ms, self.now_ms)
        if is_serving != self.is_serving:
            self.next_request_at_ms = min(self.next_request_at_ms, self.now_ms)
            self.is_serving = is_serving
            if not self.is_draining:
                self.announce(MemberPhase.SERVING if is_serving else MemberPhase.JOINING)

    def send_counts(self, rows: Any, memory_mb: float) -> None:
        """Tells the leader how requests have gone since this process started.

        A lost report does no harm: the next one says it all again.
        """
        is_due = self.now_ms >= self.counts_at_ms
        if self.wants_counts and self.has_joined and not self.is_draining and is_due:
            interval_ms = max(self.HEARTBEAT_MS, self.heartbeat_interval_ms)
            self.counts_at_ms = self.now_ms + interval_ms - 1.0
            self.notify(self.voters[self.voter_index], "counts", rows, memory_mb)

    def start_draining(self, reason: str) -> None:
        """This process drains from now on, whether anybody agreed or not."""
        if not self.is_draining:
            self.is_draining = True
            self.drain_reason = reason[:MAX_TEXT_LENGTH] or "asked to leave"
            self.announce(MemberPhase.DRAINING)
            self.reset_request()

    def stop(self) -> None:
        """This process is about to exit."""
        if not self.is_stopping:
            self.is_draining = True
            self.is_stopping = True
            self.announce(MemberPhase.LEFT)
            self.reset_request()

    def reset_request(self) -> None:
        """Has the next request sent at once, whatever came of the last one."""
        self.request = None
        self.next_request_at_ms = self.now_ms
        self.failures = 0

    def announce(self, phase: MemberPhase) -> None:
        """Tells the membership what this process does."""
        self.step_members(SetPhase(phase))

    def notify(self, address: str, method: str, *params: Any) -> None:
        """Sends a notification to another process."""
        self.effects.append(SendNotification(address, method, params))
