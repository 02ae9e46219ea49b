"""One process in a fleet: what it thinks of the others, and its own drains by permit.

Whatever it hears or does not hear, its work goes on: only steps that nobody forces wait for agreement."""

from collections import Counter
from collections.abc import Iterable
from typing import Any, ClassVar

from pumicenotch.fleet.asker import UNKNOWN, Asker
from pumicenotch.fleet.budgets import SERVING, Member
from pumicenotch.fleet.effects import Leave, Post, Reply
from pumicenotch.fleet.entries import NAMES_MOST, TEXT_MOST
from pumicenotch.fleet.state import told
from pumicenotch.members import messages
from pumicenotch.members.members import Members
from pumicenotch.members.messages import Changed, Opinion, Refused, Send, Standing, Who

HALT = "halt"  # the key under which members hand a halt on


class Mate(Asker):
    """Its inputs: `start`, `time`, `told` (sender (name, life, address), method, params), `asked` (conn,
    message, verb, args), `closed` (conn), `answered` (number, error, result), `serve` (whether it does,
    whether it is overloaded past use), `leave` (why), `left`, `counted` (rows as `fleet/watch` reads them,
    MB)."""

    MINE_MS = 500.0  # between words to the leader, unless it names a longer time

    INPUTS: ClassVar = frozenset(
        ("start", "time", "told", "asked", "closed", "answered", "serve", "leave", "left", "counted")
    )

    def __init__(
        self, *, fleet: str, me: Who, member: Member, voters: Iterable[str], seeds: Iterable[str], now: float,
        seed: int,
    ) -> None:  # fmt: skip
        """`voters` are the addresses of all voters; `member` is what the fleet counts of this process."""
        super().__init__(voters, now, seed)
        self.fleet, self.me, self.member = fleet, me, member
        self.members = Members(me, now, seeds, self.chance)
        self.mine_at = now
        # What is agreed of this process, as far as it was told.
        self.joined = self.agreed_serving = self.gone_told = self.leaving_told = False
        self.permit, self.began = 0, False
        # that permit is agreed as begun, though this process has not heard so when it asked
        self.begun = False
        self.agreed_halt = ""  # why nothing goes on
        self.waits = ""  # for what a drain of it waits, and about how long
        self.no_permit = ""  # why the last one could not be used
        self.count_at, self.mine_wait = (
            now,
            self.MINE_MS,
        )  # as often as its other words, among many more seldom
        self.counting = False  # whether the leader wants to hear how this process does
        # What it is.
        self.serves = self.leaving = self.over = self.overloaded = False
        self.why = ""
        self.taken = ""  # by whom the name is taken

    def due(self) -> float:
        return min(self.members.due(), self.ask_due())

    def start(self) -> None:
        self.time()

    def time(self) -> None:
        self.of_members("time")
        self.unanswered()

    # Members

    def of_members(self, name: str, *details: Any) -> None:
        for effect in self.members.step(self.now, name, *details):
            match effect:
                case Send(address, message):
                    self.post(address, "members", *messages.plain(message))
                case Changed(news):
                    self.changed(news)
                case Refused(other):
                    self.counts["names_taken"] += 1
                    self.log(f"another process goes by the name {other.name}: {other.address} ({other.life})")

    def changed(self, news: messages.News) -> None:
        if news.opinion is not Opinion.ALIVE:
            self.log(f"{news.who.name} is thought {news.opinion.name.lower()} by {news.by}")

    def told(self, sender: tuple[str, str, str], method: str, params: Any) -> None:
        """A notification of another process of this fleet."""
        try:
            self.hear(sender, method, params)
        except ValueError as error:
            self.counts["notices_unreadable"] += 1
            self.log(f"{sender[0]}: {method}: {error}")

    def hear(self, sender: tuple[str, str, str], method: str, params: Any) -> None:
        match method:
            case "members":
                self.of_members("message", sender[2], messages.message_of(params))
            case "permitted" if params and type(params[0]) is int:
                self.permit = max(self.permit, params[0])
                self.ask_at = min(self.ask_at, self.now)  # not at the next word that is due anyway
            case _:
                self.counts["notices_unknown"] += 1

    # Halt

    def marker(self) -> tuple[int, str, str, str]:
        """The halt that members hand on: its rank, id, by, why; without an id there is none."""
        rank, key, by, why = self.members.extras.get(HALT, (0, "", "", ""))
        return rank, key, by, why

    def halted(self) -> str:
        """Why this process takes no step that it need not take; "" if it may."""
        _, key, by, why = self.marker()
        if key:
            return f"halted: by {by}: {why}"
        return self.agreed_halt

    def mark(self, key: str, by: str, why: str) -> None:
        self.members.hand(HALT, (self.marker()[0] + 1, key, by, why))

    # Requests of operators and of other processes

    def asked(self, conn: int, message: int, verb: str, args: Any) -> None:
        match [verb, *args] if isinstance(args, list | tuple) else [verb]:
            case ["local"]:
                self.reply(conn, message, self.local())
            case ["halt", str(key), str(by), str(why)] if (
                key and by and why and len(key + by + why) <= TEXT_MOST
            ):
                if self.marker()[1] != key:
                    self.mark(key, by, why)
                    self.log(f"HALT by {by}: {why}")
                self.reply(
                    conn, message, {"text": "halted here, and handed on to the others", "agreed": False}
                )
            case _:
                self.refuse(conn, message, UNKNOWN, f"{verb}: ask a voter: {', '.join(self.voters)}")

    def closed(self, conn: int) -> None:
        """Nobody waits on that connection any more."""

    def local(self) -> dict[str, Any]:
        """What this process thinks by itself: an opinion."""
        rows = [
            {
                "name": name,
                "zone": news.who.zone,
                "region": news.who.region,
                "standing": news.standing.name.lower(),
                "opinion": news.opinion.name.lower(),
                "life": news.who.life,
                "address": news.who.address,
            }
            for name, news in sorted(self.members.table().items())
        ]
        many = Counter(row["opinion"] for row in rows)
        return {
            "fleet": self.fleet,
            "name": self.me.name,
            "life": self.me.life,
            "halted": self.halted(),
            "permit": self.permit,
            "waits": self.waits,
            "joined": self.joined,
            "members": rows[:NAMES_MOST],
            "opinions": dict(many),
            "counts": dict(self.counts),
            "taken": self.taken,
        }

    def reply(self, conn: int, message: int, result: Any) -> None:
        self.effects.append(Reply(conn, message, None, result))

    def refuse(self, conn: int, message: int, code: str, text: str, more: Any = None) -> None:
        self.effects.append(Reply(conn, message, (code, text, more)))

    # What it wants agreed of itself: every request may come twice, or late, and changes nothing then

    def want(self) -> None:
        if self.ask is not None or self.now < self.ask_at or not self.voters:
            return
        name, life = self.me.name, self.me.life
        if self.over:
            if not self.gone_told and self.joined:
                self.send("gone", name, life)
        elif not self.joined:
            self.send("join", told(self.member._replace(life=life)))
        elif self.leaving and not self.leaving_told:
            self.send("leaving", name, life, self.why)
        elif self.permit and not self.leaving and not self.began and (self.begun or not self.halted()):
            self.send("began", name, life, self.permit)
        elif self.serves and not self.leaving and not self.agreed_serving:
            self.send("serving", name, life)
        elif self.now >= self.mine_at:
            self.mine_at = self.now + self.MINE_MS
            self.send("mine", name, life, self.overloaded)
        else:
            self.ask_at = self.mine_at

    def agreed(self, verb: str, result: dict[str, Any]) -> None:
        match verb:
            case "join":
                self.joined, self.taken = True, ""
            case "serving":
                self.agreed_serving = True
            case "leaving":
                self.leaving_told = True
            case "gone":
                self.gone_told = True
            case "began":
                self.began = True
                self.effects.append(Leave(f"by permit of epoch {self.permit}"))
            case "mine":
                self.heard_mine(result)

    def heard_mine(self, result: dict[str, Any]) -> None:
        """What the leader says is agreed: a hint, since it may have stopped leading. No step rests on it."""
        again, permit = result.get("again_ms"), result.get("permit")
        if isinstance(again, int | float) and 0 < again <= 60_000:
            self.mine_wait = max(self.MINE_MS, again)
            self.mine_at = self.now + self.mine_wait
        self.joined = bool(result.get("known"))
        if not self.joined:
            self.leaving_told = False  # a fleet that was founded anew counts it again
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
            if text != self.taken:
                self.log(f"cannot join the fleet: {text}")
            self.taken = text
        elif verb == "began":
            self.permit = 0  # the leader's next word tells whether it is there still
            if text != self.no_permit:
                self.log(f"permit refused: {text}")
            self.no_permit = text
        else:
            self.joined = False  # it knows another life, or none: say all again

    # This process

    def serve(self, good: bool, overloaded: bool) -> None:
        if overloaded != self.overloaded:
            self.overloaded, self.mine_at, self.ask_at = overloaded, self.now, min(self.ask_at, self.now)
        if good != self.serves:
            self.ask_at = min(self.ask_at, self.now)
            self.serves = good
            if not self.leaving:
                self.stand(Standing.SERVING if good else Standing.JOINING)

    def counted(self, rows: Any, memory_mb: float) -> None:
        """How its tasks have gone, since its start: for whoever leads, while a release is on. Lost words do
        no harm: the next one says it all again."""
        if self.counting and self.joined and not self.leaving and self.now >= self.count_at:
            self.count_at = self.now + max(self.MINE_MS, self.mine_wait) - 1.0
            self.post(self.voters[self.voter_at], "counts", rows, memory_mb)

    def leave(self, why: str) -> None:
        """It drains from now on, whether anybody agreed or not."""
        if not self.leaving:
            self.leaving, self.why = True, why[:TEXT_MOST] or "asked to leave"
            self.stand(Standing.DRAINING)
            self.hurry()

    def left(self) -> None:
        """It is about to end."""
        if not self.over:
            self.leaving = self.over = True
            self.stand(Standing.OUT)
            self.hurry()

    def hurry(self) -> None:
        """The next word goes out at once, whatever the last one came to."""
        self.ask, self.ask_at, self.failures = None, self.now, 0

    def stand(self, standing: Standing) -> None:
        self.of_members("stand", standing)

    def post(self, address: str, method: str, *params: Any) -> None:
        self.effects.append(Post(address, method, params))
