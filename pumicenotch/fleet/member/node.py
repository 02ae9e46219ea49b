"""The fleet client of a member's process, as a reducer: membership, heartbeats, drain by permit.

The process keeps working whether or not the fleet is reachable. Only voluntary steps, such as a
planned drain, wait for the fleet's agreement.
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

MAX_HEARTBEAT_INTERVAL_MS = 60_000.0  # limits the interval that the leader sets


class MemberSetup(NamedTuple):
    """The initial state of a member's process."""

    fleet: str
    me: MemberIdentity
    member: Member  # the record that the fleet is to have of this process
    voters: tuple[str, ...]  # the addresses of all voters
    seeds: tuple[str, ...]  # addresses through which to join the membership
    now_ms: float
    seed: int


class MemberNode(VoterClient):
    """A reducer with the following inputs.

    `start`; `time`; `told` (sender, method, params): a notification; `asked` (connection, message,
    verb, args): a request; `closed` (connection); `answered` (number, error, result); `serve`
    (whether the process serves, whether it is overloaded); `leave` (reason): the process drains;
    `left`: the process is about to exit; `counted` (rows as `canary.counts` reads them, memory in
    MB).
    """

    HEARTBEAT_MS = 500.0  # minimum interval of heartbeats; the leader may set a longer one

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
        # The state of this process
        self.is_serving = False
        self.is_overloaded = False
        self.is_draining = False
        self.is_stopping = False
        self.drain_reason = ""
        # The agreed state of this process, as far as known
        self.has_joined = False
        self.is_agreed_serving = False
        self.termination_reported = False
        self.stop_reported = False
        self.join_refusal = ""
        self.permit_epoch = 0
        self.permit_refusal = ""
        self.permit_started = False  # by the agreed state; the answer may have been lost
        self.drain_started = False  # by permit, with the answer received
        self.fleet_halt_reason = ""
        self.wait_reason = ""  # why the queued drain waits
        # Reports
        self.next_heartbeat_at_ms = setup.now_ms
        self.heartbeat_interval_ms = self.HEARTBEAT_MS
        self.next_counts_at_ms = setup.now_ms
        self.wants_counts = False  # whether the leader wants reports of request counts

    def wake_at_ms(self) -> float:
        """Returns when the next input `time` is due."""
        return min(self.members.next_wake_at(), self.request_deadline_ms())

    def on_time(self) -> None:
        """Runs the timers of the membership and of the outstanding request."""
        self.step_membership(Tick())
        self.check_timeout()

    # Membership

    def step_membership(self, event: Event) -> None:
        """Passes an event to the membership, and carries out the resulting effects."""
        for effect in self.members.step(self.now_ms, event):
            match effect:
                case Send(address, message):
                    self.notify(address, "members", *messages.encode(message))
                case MemberUpdated(update):
                    self.on_member_changed(update)
                case NameConflict(other):
                    self.counters["names_taken"] += 1
                    self.log(
                        f"name conflict: another process has the name {other.name}: {other.address}"
                        f" ({other.process_id})"
                    )

    def on_member_changed(self, update: messages.Update) -> None:
        """Announces and logs a change in the membership's view of a member."""
        self.effects.append(MemberChanged(update))
        if update.state is not MemberState.ALIVE:
            state = update.state.name.lower()
            self.log(f"member {update.member.name} is {state}, reported by {update.reported_by}")

    def on_notification(self, sender: Sender, method: str, params: Any) -> None:
        """Handles a notification of another process of this fleet; counts a malformed one."""
        try:
            self.receive(sender, method, params)
        except ValueError as error:
            self.counters["notices_unreadable"] += 1
            self.log(f"malformed notification from {sender[0]}: {method}: {error}")

    def receive(self, sender: Sender, method: str, params: Any) -> None:
        """Handles a notification; raises ValueError if it is malformed."""
        _, _, address = sender
        match method:
            case "members":
                self.step_membership(MessageReceived(address, messages.decode(params)))
            case "permitted" if params and type(params[0]) is int:
                self.permit_epoch = max(self.permit_epoch, params[0])
                # Starts the drain now instead of at the next heartbeat.
                self.next_request_at_ms = min(self.next_request_at_ms, self.now_ms)
            case _:
                self.counters["notices_unknown"] += 1

    # Halts

    def halt_reason(self) -> str:
        """Returns why this process must not take voluntary steps; "" if it may."""
        halt = self.halt_gossip.current()
        if halt.key:
            return f"halted: by {halt.operator}: {halt.reason}"
        return self.fleet_halt_reason

    # Requests

    def on_request(self, connection_id: int, message_id: int, verb: str, args: Any) -> None:
        """Answers a request that any process of the fleet answers, and refuses all others.

        The requests are `local`, and `halt`: the halt is in force here at once and spreads by
        gossip.
        """
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
        """Does nothing: a member answers each request at once and keeps none."""

    def local_status(self) -> dict[str, Any]:
        """Returns this process's own view of the fleet, which is not an agreed state."""
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

    # Requests for agreement; a duplicate or late request changes nothing

    def send_next_request(self) -> None:
        """Sends the next command that this process needs agreed; otherwise a heartbeat when due."""
        if self.request is not None or self.now_ms < self.next_request_at_ms or not self.voters:
            return
        if self.is_stopping:
            if not self.stop_reported and self.has_joined:
                self.send_command(ReportStopped(self.me.name, self.me.process_id))
            return
        command = self._next_command()
        if command is not None:
            self.send_command(command)
        elif self.now_ms >= self.next_heartbeat_at_ms:
            self.next_heartbeat_at_ms = self.now_ms + self.HEARTBEAT_MS
            self.send_request("mine", self.me.name, self.me.process_id, self.is_overloaded)
        else:
            self.next_request_at_ms = self.next_heartbeat_at_ms

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
        """Requests that the leader propose a command."""
        verb, *fields = encode_command(command)
        self.send_request(verb, *fields)

    def on_result(self, verb: str, result: dict[str, Any]) -> None:
        """Handles the result of a request."""
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
        """Handles the leader's answer to a heartbeat. No step rests on the hint alone."""
        hint = read_member_hint(result)
        if 0 < hint.heartbeat_interval_ms <= MAX_HEARTBEAT_INTERVAL_MS:
            self.heartbeat_interval_ms = max(self.HEARTBEAT_MS, hint.heartbeat_interval_ms)
            self.next_heartbeat_at_ms = self.now_ms + self.heartbeat_interval_ms
        self.has_joined = hint.is_known
        if not hint.is_known:
            # A fleet that was bootstrapped anew needs a new report.
            self.termination_reported = False
        self.is_agreed_serving = hint.status == SERVING
        self.permit_epoch = hint.permit_epoch
        self.permit_started = hint.permit_started
        self.fleet_halt_reason = hint.halt_reason
        self.wants_counts = hint.wants_counts
        if hint.wait_reason and not self.wait_reason:
            self.log(f"a drain of this process is queued and waits: {hint.wait_reason}")
        self.wait_reason = hint.wait_reason

    def on_refusal(self, verb: str, text: str) -> None:
        """Handles the fleet's refusal of a request."""
        self.counters[f"{verb}_refused"] += 1
        if verb == "join":
            if text != self.join_refusal:
                self.log(f"the fleet refused the join: {text}")
            self.join_refusal = text
        elif verb == "began":
            # The next heartbeat's answer sets the epoch again if the permit is still in force.
            self.permit_epoch = 0
            if text != self.permit_refusal:
                self.log(f"the fleet refused the start of the drain: {text}")
            self.permit_refusal = text
        else:
            # The fleet has another process under this name, or none, so this process joins again.
            self.has_joined = False

    # The state of this process

    def set_serving(self, is_serving: bool, is_overloaded: bool) -> None:
        """Sets whether this process serves, and whether it has more load than it can serve."""
        if is_overloaded != self.is_overloaded:
            self.is_overloaded = is_overloaded
            self.next_heartbeat_at_ms = self.now_ms
            self.next_request_at_ms = min(self.next_request_at_ms, self.now_ms)
        if is_serving != self.is_serving:
            self.next_request_at_ms = min(self.next_request_at_ms, self.now_ms)
            self.is_serving = is_serving
            if not self.is_draining:
                self.set_phase(MemberPhase.SERVING if is_serving else MemberPhase.JOINING)

    def send_counts(self, rows: Any, memory_mb: float) -> None:
        """Reports the request counts since this process started, if the leader wants them.

        A lost report does no harm, because the next one has all counts again.

        Args:
            rows: the counts of each request class, as `canary.counts` reads them.
            memory_mb: the memory of this process.
        """
        is_report_due = self.now_ms >= self.next_counts_at_ms
        if self.wants_counts and self.has_joined and not self.is_draining and is_report_due:
            interval_ms = max(self.HEARTBEAT_MS, self.heartbeat_interval_ms)
            self.next_counts_at_ms = self.now_ms + interval_ms - 1.0
            self.notify(self.voters[self.voter_index], "counts", rows, memory_mb)

    def start_draining(self, reason: str) -> None:
        """Puts this process into the draining phase, with or without an agreed permit."""
        if not self.is_draining:
            self.is_draining = True
            self.drain_reason = reason[:MAX_TEXT_LENGTH] or "asked to leave"
            self.set_phase(MemberPhase.DRAINING)
            self.reset_request()

    def stop(self) -> None:
        """Announces that this process is about to exit."""
        if not self.is_stopping:
            self.is_draining = True
            self.is_stopping = True
            self.set_phase(MemberPhase.LEFT)
            self.reset_request()

    def reset_request(self) -> None:
        """Abandons the outstanding request, so that the next one is sent at once."""
        self.request = None
        self.next_request_at_ms = self.now_ms
        self.consecutive_failures = 0

    def set_phase(self, phase: MemberPhase) -> None:
        """Sets the phase that the membership announces for this process."""
        self.step_membership(SetPhase(phase))

    def notify(self, address: str, method: str, *params: Any) -> None:
        """Sends a notification to another process."""
        self.effects.append(SendNotification(address, method, params))
