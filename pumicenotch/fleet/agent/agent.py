"""The agent beside a server: it holds versions, starts and ends its server, and takes no step between
versions that was not agreed an instant ago. Cut off from the fleet it keeps its server running as it is.

A permission is good for as long as a request waits for its answer (`REQUEST_TIMEOUT_MS`), by this
process's own clock: one that comes later, or that its process slept through, is none.
"""

from collections.abc import Iterable
from typing import Any, ClassVar, NamedTuple

from pumicenotch.fleet.drains.budgets import SERVING
from pumicenotch.fleet.member.effects import Anew, End, Hold, Proven, Reread, Start, Swap
from pumicenotch.fleet.member.voter_client import VoterClient
from pumicenotch.fleet.releases.release import GONE, NOTHING_DUE, RESTARTS, STARTING, STUCK, Step
from pumicenotch.fleet.replicated.fields import TEXT_MOST

LOOP = "crash loop"  # how that trouble begins
AGAIN_MOST_MS = 60_000.0  # between reports, whatever the leader says
AGENT_FAILED = "agent refused"  # how a trouble begins of a version of the agent itself


class AgentHint(NamedTuple):
    """What the leader says of this node."""

    due: Step
    halted: str
    life: str  # of the server, as the fleet counts it
    standing: str
    permit: int
    begun: bool
    again_ms: float
    hold: tuple[str, ...]  # versions


def step_of(told: Any) -> Step:
    if isinstance(told, list | tuple) and len(told) == 2:
        return Step(str(told[0]), str(told[1]))
    return NOTHING_DUE


def hint_of(told: dict[str, Any]) -> AgentHint:
    """From the wire. What is missing or of another kind counts as not said."""
    permit, again = told.get("permit"), told.get("again_ms")
    return AgentHint(
        due=step_of(told.get("due")),
        halted=str(told.get("halted", "")),
        life=str(told.get("life", "")),
        standing=str(told.get("standing", "")),
        permit=permit if type(permit) is int else 0,
        begun=bool(told.get("begun")),
        again_ms=again if isinstance(again, int | float) else 0.0,
        hold=tuple(map(str, told.get("hold") or ())),
    )


class Agent(VoterClient):
    """Its inputs: `start`, `time`, `answered` (number, error, result), `ended` (status; None: unknown),
    `held` (version, why not), `swapped` (slot, why not).
    """

    REPORT_MS = 500.0  # between its words
    PATIENCE_MS = (
        5000.0  # for its server to use its permit by itself: some of its own words to the leader
    )
    # Without an answer after its server's end, until what is there is started: an election's time; and when
    # this process has just started: where voters are there, they answer at once.
    ALONE_MS, FIRST_MS = 4000.0, 1000.0
    LOOP_MS, LOOP = 60_000.0, 3  # so many unasked ends in such a time are a crash loop
    REFUSED = 2  # ends before it ever served: the first may be a port that is not free yet
    BACKOFF_MS, BACKOFF_MOST_MS = 250.0, 10_000.0  # before a start after an unasked end, doubling
    KILL_MS = 3000.0  # for a server to end that was told to and need not drain
    HOLD_AGAIN_MS = 5000.0  # before a version is fetched again that could not be

    INPUTS: ClassVar = frozenset(("start", "time", "answered", "ended", "held", "swapped"))

    def __init__(
        self,
        *,
        fleet: str,
        node: str,
        life: str,
        voters: Iterable[str],
        runs: dict[str, str],
        holds: Iterable[str],
        child: bool,
        start_ms: float,
        drain_ms: float,
        now: float,
        seed: int,
        trouble: str = "",
    ) -> None:
        """`runs` is what stands in each slot; `child`: its server is there already, of an agent before this
        one.
        """
        super().__init__(voters, now, seed)
        self.fleet, self.node, self.life = fleet, node, life
        self.runs, self.holds = dict(runs), list(holds)
        self.start_ms, self.drain_ms = start_ms, drain_ms
        self.child = child
        self.served = child  # since its start
        self.trouble = trouble  # of this agent's former start, if any
        self.spoken = False  # with the fleet
        self.ends: list[float] = []  # unasked ones
        self.refusals = 0
        self.started_at = self.answered_at = now
        self.ended_at = now - (self.ALONE_MS - self.FIRST_MS)
        self.start_at = now  # not before
        self.ending: float = float("inf")  # asked to end: force from then on
        self.report_at = now
        self.holding: dict[
            str, float
        ] = {}  # version: not again before; infinite while it is on its way
        self.swapping = False
        # What the fleet said last.
        self.known_life = self.life_before = ""
        self.move = NOTHING_DUE
        self.permit, self.begun = 0, False
        self.permit_at = self.begun_at = now
        self.halted = ""
        self.wanted: tuple[str, ...] = ()  # versions to hold

    def due(self) -> float:
        return min(self.request_due(), self.now + self.REPORT_MS / 2.0)

    def start(self) -> None:
        self.log(f"the agent of {self.node}: {self.describe_runs()}")

    def time(self) -> None:
        self.check_timeout()

    def describe_runs(self) -> str:
        return ", ".join(f"{slot} {version}" for slot, version in sorted(self.runs.items()))

    # Its server

    def look(self) -> None:
        """What is to be done without any answer."""
        if self.child:
            late = not self.served and self.now - self.started_at > self.start_ms
            if late and not self.trouble:
                self.fail(f"silent: not in service {self.start_ms / 1000.0:.0f} s after its start")
            if self.now >= self.ending:
                self.ending = float("inf")
                self.effects.append(End(True))
            return
        if self.swapping or self.now < self.start_at:
            return
        moves = self.move.slot in RESTARTS and self.move.version in self.holds
        if (self.answered_since_end() and not moves) or self.now >= self.ended_at + self.ALONE_MS:
            self.begin()

    def answered_since_end(self) -> bool:
        """Whether the fleet has answered since its server ended."""
        return self.spoken and self.answered_at > self.ended_at

    def begin(self) -> None:
        self.child, self.served, self.started_at = True, False, self.now
        self.ending = float("inf")
        self.life_before = self.known_life
        self.log(f"starts its server: {self.describe_runs()}")
        self.effects.append(Start())

    def ended(self, status: int | None) -> None:
        asked = self.ending < float("inf") or (self.served and (status in (0, None) or self.begun))
        self.child, self.ended_at, self.ending = False, self.now, float("inf")
        self.start_at = self.now
        if not asked:
            self.ends = [at for at in self.ends if self.now - at < self.LOOP_MS] + [self.now]
            wait = self.BACKOFF_MS * 2.0 ** min(len(self.ends) - 1, 8)
            self.start_at = self.now + min(self.BACKOFF_MOST_MS, wait)
            self.refusals += not self.served
            if self.refusals >= self.REFUSED:
                self.fail(f"start refused: it ended with status {status} before it served")
            elif len(self.ends) >= self.LOOP:
                lasted = self.now - self.ends[0]
                self.fail(
                    f"{LOOP}: {len(self.ends)} ends in {lasted / 1000.0:.0f} s, status {status}"
                )
        self.served = False
        self.log(f"its server has ended: status {status}")
        self.report_soon()

    def fail(self, why: str) -> None:
        if self.trouble != why:
            self.trouble = why[:TEXT_MOST]
            self.log(why)
            self.report_soon()

    def end(self, after_ms: float) -> None:
        if self.child and self.ending == float("inf"):
            self.ending = self.now + after_ms
            self.effects.append(End(False))

    def report_soon(self) -> None:
        self.report_at = self.now
        if self.request is None:
            self.request_at = min(self.request_at, self.now)

    # Versions

    def held(self, version: str, why: str) -> None:
        if why:
            self.holding[version] = self.now + self.HOLD_AGAIN_MS
            self.fail(f"{STUCK} {version}: {why}")
            return
        self.holding.pop(version, None)
        if version not in self.holds:
            self.holds.append(version)
        if self.trouble.startswith(f"{STUCK} {version}"):
            self.trouble = ""
        self.report_soon()

    def swapped(self, slot: str, why: str) -> None:
        self.swapping = False
        if why:
            self.fail(f"{STUCK} {self.move.version}: {why}")
            self.ended_at = min(self.ended_at, self.now - self.ALONE_MS)  # what is there is started
            return
        self.runs[slot] = self.move.version
        self.move = NOTHING_DUE
        self.report_soon()
        if slot == "agent":
            self.effects.append(Anew())
        elif slot not in RESTARTS:
            self.effects.append(Reread())
        else:
            self.trouble, self.ends, self.refusals = "", [], 0
            self.begin()

    # What it says and asks

    def next_request(self) -> None:
        self.look()
        if (
            self.request is not None
            or self.now < self.request_at
            or not self.voters
            or self.swapping
        ):
            return
        slot, version = self.move
        if self.now >= self.report_at:
            self.report_at = self.now + self.REPORT_MS
            runs = sorted(self.runs.items())
            down = "" if self.served else STARTING if self.child else GONE
            self.ask("agent", self.node, self.life, runs, self.holds, down, self.trouble)
        elif version in self.holds and slot in RESTARTS and self.child:
            self.have_it_end()
        elif version in self.holds and (slot not in RESTARTS or self.answered_since_end()):
            self.ask("move", self.node, self.life, slot, version)
        if self.request is None and self.request_at <= self.now:
            self.request_at = self.report_at

    def have_it_end(self) -> None:
        """By its permit the server drains by itself. One that does not is ended, its permit begun first; one
        in trouble is out, by this agent's own word, and needs none.
        """
        if self.trouble and not self.trouble.startswith(STUCK):
            self.end(self.KILL_MS)
        elif self.begun:
            if self.now - self.begun_at > self.drain_ms:
                self.end(self.KILL_MS)
        elif self.permit and self.now - self.permit_at > self.PATIENCE_MS and not self.halted:
            self.ask("began", self.node, self.known_life, self.permit)

    def agreed(self, verb: str, result: dict[str, Any]) -> None:
        match verb:
            case "agent":
                self.take_hint(hint_of(result))
            case "move" if self.move.slot:
                self.log(f"moves to {self.move.slot} {self.move.version}")
                self.swapping = True
                self.effects.append(Swap(*self.move))
            case "began":
                self.begun, self.begun_at = True, self.now
                self.end(self.drain_ms)

    def refused(self, verb: str, text: str) -> None:
        self.counts[f"{verb}_refused"] += 1
        if verb in ("move", "agent"):
            self.log(f"{verb} refused: {text}")
        self.report_at = self.now

    def take_hint(self, hint: AgentHint) -> None:
        """What the leader says of this node: no step rests on it alone."""
        self.answered_at = self.now
        if not self.spoken:
            self.spoken = True
            self.effects.append(Proven(("agent",)))
        self.move, self.halted, self.known_life = hint.due, hint.halted, hint.life
        if self.trouble.startswith(AGENT_FAILED) and not self.move.slot:
            self.trouble = ""  # nobody wants that version here any more
        self.note_permit(hint)
        quiet = self.served and not self.move.slot and not self.permit
        if quiet and self.REPORT_MS < hint.again_ms <= AGAIN_MOST_MS:
            self.report_at = self.now + hint.again_ms  # among many more seldom
        self.note_service(hint)
        self.fetch(hint.hold)

    def note_permit(self, hint: AgentHint) -> None:
        if hint.permit != self.permit:
            self.permit_at = self.now
        if hint.begun and not self.begun:
            self.begun_at = self.now
        self.permit, self.begun = hint.permit, hint.begun

    def note_service(self, hint: AgentHint) -> None:
        """Its server has come into service once the fleet counts its new life so."""
        serves = hint.standing == SERVING and not hint.permit
        if self.child and not self.served and serves and self.known_life != self.life_before:
            self.served, self.refusals = True, 0
            if not self.trouble.startswith(LOOP):
                self.trouble = ""
            self.effects.append(Proven(tuple(slot for slot in self.runs if slot in RESTARTS)))
            self.report_soon()
        calm = self.served and self.now - self.started_at > self.LOOP_MS
        if calm and self.trouble.startswith(LOOP):
            self.trouble = ""

    def fetch(self, wanted: tuple[str, ...]) -> None:
        self.wanted = wanted
        for version in wanted:
            if version not in self.holds and self.now >= self.holding.get(version, 0.0):
                self.holding[version] = float("inf")
                self.effects.append(Hold(version))
