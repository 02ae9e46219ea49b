"""One process in a fleet: what it thinks of the others, and its own drains by permit.

Whatever it hears or does not hear, its work goes on: only steps that nobody forces wait for agreement.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Any, ClassVar, NamedTuple

from pumicenotch.fleet.budgets import SERVING, Member
from pumicenotch.fleet.effects import Leave, MemberChanged, Post, Reply
from pumicenotch.fleet.entries import NAMES_MOST, TEXT_MOST
from pumicenotch.fleet.records import member_fields
from pumicenotch.fleet.voter_client import UNKNOWN, VoterClient
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

HALT = "halt"  # the key under which members hand a halt on


class HaltMarker(NamedTuple):
    """A halt as members hand it on; the highest rank holds."""

    rank: int
    key: str  # "": there is no halt
    by: str
    why: str


class MemberNode(VoterClient):
    """Its inputs: `start`, `time`, `told` (sender (name, life, address), method, params), `asked` (conn,
    message, verb, args), `closed` (conn), `answered` (number, error, result), `serve` (whether it does,
    whether it is overloaded past use), `leave` (why), `left`, `counted` (rows as `fleet/watch` reads them,
    MB).
    """

    HEARTBEAT_MS = 500.0  # between heartbeats to the leader, unless it names a longer time

    INPUTS: ClassVar = frozenset(
        (
            "start",
            "time",
            "told",
            "asked",
            "closed",
            "answered",
            "serve",
            "leave",
            "left",
            "counted",
        )
    )

    def __init__(
        self,
        *,
        fleet: str,
        me: MemberIdentity,
        member: Member,
        voters: Iterable[str],
        seeds: Iterable[str],
        now: float,
        seed: int,
    ) -> None:
        """`voters` are the addresses of all voters; `member` is what the fleet counts of this process."""
        super().__init__(voters, now, seed)
        self.fleet, self.me, self.member = fleet, me, member
        self.members = SwimMembership(me, now, seeds, self.random)
        self.heartbeat_at = now
        # What is agreed of this process, as far as it was told.
        self.joined = self.agreed_serving = self.gone_sent = self.leaving_sent = False
        self.permit, self.began = 0, False
        # that permit is agreed as begun, though this process has not heard so when it asked
        self.begun = False
        self.agreed_halt = ""  # why nothing goes on
        self.waits = ""  # for what a drain of it waits, and about how long
        self.permit_refusal = ""  # why the last one could not be used
        self.counts_at, self.heartbeat_wait = (
            now,
            self.HEARTBEAT_MS,
        )  # as often as its heartbeats, among many more seldom
        self.counting = False  # whether the leader wants to hear how this process does
        # What it is.
        self.serves = self.leaving = self.ending = self.overloaded = False
        self.why = ""
        self.name_taken_by = ""  # by whom the name is taken

    def due(self) -> float:
        return min(self.members.next_wake_at(), self.request_due())

    def start(self) -> None:
        self.time()

    def time(self) -> None:
        self.of_members(Tick())
        self.check_timeout()

    # Members

    def of_members(self, event: Event) -> None:
        for effect in self.members.step(self.now, event):
            match effect:
                case Send(address, message):
                    self.post(address, "members", *messages.encode(message))
                case MemberUpdated(update):
                    self.changed(update)
                case NameConflict(other):
                    self.counts["names_taken"] += 1
                    self.log(
                        f"another process goes by the name {other.name}: {other.address} ({other.process_id})"
                    )

    def changed(self, update: messages.Update) -> None:
        self.effects.append(MemberChanged(update))
        if update.state is not MemberState.ALIVE:
            self.log(
                f"{update.member.name} is thought {update.state.name.lower()} by {update.reported_by}"
            )

    def told(self, sender: Sender, method: str, params: Any) -> None:
        """A notification of another process of this fleet."""
        try:
            self.receive(sender, method, params)
        except ValueError as error:
            self.counts["notices_unreadable"] += 1
            name, _, _ = sender
            self.log(f"{name}: {method}: {error}")

    def receive(self, sender: Sender, method: str, params: Any) -> None:
        _, _, address = sender
        match method:
            case "members":
                self.of_members(MessageReceived(address, messages.decode(params)))
            case "permitted" if params and type(params[0]) is int:
                self.permit = max(self.permit, params[0])
                self.request_at = min(
                    self.request_at, self.now
                )  # not at the next heartbeat that is due anyway
            case _:
                self.counts["notices_unknown"] += 1

    # Halt

    def marker(self) -> HaltMarker:
        """The halt that members hand on."""
        rank, key, by, why = self.members.broadcasts.values.get(HALT, (0, "", "", ""))
        return HaltMarker(rank, key, by, why)

    def halted(self) -> str:
        """Why this process takes no step that it need not take; "" if it may."""
        halt = self.marker()
        if halt.key:
            return f"halted: by {halt.by}: {halt.why}"
        return self.agreed_halt

    def mark(self, key: str, by: str, why: str) -> None:
        self.members.broadcasts.put(HALT, HaltMarker(self.marker().rank + 1, key, by, why))

    # Requests of operators and of other processes

    def asked(self, conn: int, message: int, verb: str, args: Any) -> None:
        match [verb, *args] if isinstance(args, list | tuple) else [verb]:
            case ["local"]:
                self.reply(conn, message, self.local())
            case ["halt", str(key), str(by), str(why)] if (
                key and by and why and len(key + by + why) <= TEXT_MOST
            ):
                if self.marker().key != key:
                    self.mark(key, by, why)
                    self.log(f"HALT by {by}: {why}")
                self.reply(
                    conn,
                    message,
                    {"text": "halted here, and handed on to the others", "agreed": False},
                )
            case _:
                self.refuse(
                    conn, message, UNKNOWN, f"{verb}: ask a voter: {', '.join(self.voters)}"
                )

    def closed(self, conn: int) -> None:
        """Nobody waits on that connection any more."""

    def local(self) -> dict[str, Any]:
        """What this process thinks by itself: an opinion."""
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
        many = Counter(row["opinion"] for row in rows)
        return {
            "fleet": self.fleet,
            "name": self.me.name,
            "life": self.me.process_id,
            "halted": self.halted(),
            "permit": self.permit,
            "waits": self.waits,
            "joined": self.joined,
            "members": rows[:NAMES_MOST],
            "opinions": dict(many),
            "counts": dict(self.counts),
            "taken": self.name_taken_by,
        }

    def reply(self, conn: int, message: int, result: Any) -> None:
        self.effects.append(Reply(conn, message, None, result))

    def refuse(self, conn: int, message: int, code: str, text: str, more: Any = None) -> None:
        self.effects.append(Reply(conn, message, (code, text, more)))

    # What it wants agreed of itself: every request may come twice, or late, and changes nothing then

    def next_request(self) -> None:
        if self.request is not None or self.now < self.request_at or not self.voters:
            return
        name, life = self.me.name, self.me.process_id
        if self.ending:
            if not self.gone_sent and self.joined:
                self.ask("gone", name, life)
        elif not self.joined:
            self.ask("join", member_fields(self.member._replace(life=life)))
        elif self.leaving and not self.leaving_sent:
            self.ask("leaving", name, life, self.why)
        elif (
            self.permit
            and not self.leaving
            and not self.began
            and (self.begun or not self.halted())
        ):
            self.ask("began", name, life, self.permit)
        elif self.serves and not self.leaving and not self.agreed_serving:
            self.ask("serving", name, life)
        elif self.now >= self.heartbeat_at:
            self.heartbeat_at = self.now + self.HEARTBEAT_MS
            self.ask("mine", name, life, self.overloaded)
        else:
            self.request_at = self.heartbeat_at

    def agreed(self, verb: str, result: dict[str, Any]) -> None:
        match verb:
            case "join":
                self.joined, self.name_taken_by = True, ""
            case "serving":
                self.agreed_serving = True
            case "leaving":
                self.leaving_sent = True
            case "gone":
                self.gone_sent = True
            case "began":
                self.began = True
                self.effects.append(Leave(f"by permit of epoch {self.permit}"))
            case "mine":
                self.heartbeat_answered(result)

    def heartbeat_answered(self, result: dict[str, Any]) -> None:
        """What the leader says is agreed: a hint, since it may have stopped leading. No step rests on it."""
        again, permit = result.get("again_ms"), result.get("permit")
        if isinstance(again, int | float) and 0 < again <= 60_000:
            self.heartbeat_wait = max(self.HEARTBEAT_MS, again)
            self.heartbeat_at = self.now + self.heartbeat_wait
        self.joined = bool(result.get("known"))
        if not self.joined:
            self.leaving_sent = False  # a fleet that was founded anew counts it again
        self.agreed_serving = result.get("standing") == SERVING
        self.permit, self.begun = permit if type(permit) is int else 0, bool(result.get("begun"))
        self.agreed_halt = str(result.get("halted", ""))[:1000]
        self.counting = bool(result.get("counts"))
        waits = str(result.get("waits", ""))[:1000]
        if waits and not self.waits:
            self.log(f"a drain of this process is asked for, and waits: {waits}")
        self.waits = waits

    def refused(self, verb: str, text: str) -> None:
        self.counts[f"{verb}_refused"] += 1
        if verb == "join":
            if text != self.name_taken_by:
                self.log(f"cannot join the fleet: {text}")
            self.name_taken_by = text
        elif verb == "began":
            self.permit = 0  # the leader's next answer tells whether it is there still
            if text != self.permit_refusal:
                self.log(f"permit refused: {text}")
            self.permit_refusal = text
        else:
            self.joined = False  # it knows another life, or none: say all again

    # This process

    def serve(self, good: bool, overloaded: bool) -> None:
        if overloaded != self.overloaded:
            self.overloaded, self.heartbeat_at, self.request_at = (
                overloaded,
                self.now,
                min(self.request_at, self.now),
            )
        if good != self.serves:
            self.request_at = min(self.request_at, self.now)
            self.serves = good
            if not self.leaving:
                self.set_phase(MemberPhase.SERVING if good else MemberPhase.JOINING)

    def counted(self, rows: Any, memory_mb: float) -> None:
        """How its tasks have gone, since its start: for whoever leads, while a release is on. Lost ones do
        no harm: the next says it all again.
        """
        if self.counting and self.joined and not self.leaving and self.now >= self.counts_at:
            self.counts_at = self.now + max(self.HEARTBEAT_MS, self.heartbeat_wait) - 1.0
            self.post(self.voters[self.voter_index], "counts", rows, memory_mb)

    def leave(self, why: str) -> None:
        """It drains from now on, whether anybody agreed or not."""
        if not self.leaving:
            self.leaving, self.why = True, why[:TEXT_MOST] or "asked to leave"
            self.set_phase(MemberPhase.DRAINING)
            self.request_now()

    def left(self) -> None:
        """It is about to end."""
        if not self.ending:
            self.leaving = self.ending = True
            self.set_phase(MemberPhase.LEFT)
            self.request_now()

    def request_now(self) -> None:
        """The next request goes out at once, whatever the last one came to."""
        self.request, self.request_at, self.failures = None, self.now, 0

    def set_phase(self, phase: MemberPhase) -> None:
        self.of_members(SetPhase(phase))

    def post(self, address: str, method: str, *params: Any) -> None:
        self.effects.append(Post(address, method, params))
