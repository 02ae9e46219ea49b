"""Releases that the fleet has agreed: a version goes out in waves, is halted, comes back. Every step is an
entry of the log; what follows from the entries, as whose server is to be drained next, needs none.

One question decides it all: which version is a node's own just now (`target`). A node that runs another one
is due: its drain waits in the fleet's one queue under the fleet's budgets like anybody's, and once its server
has ended its agent may ask for the `move`. Forwards, backwards and catching up are the same two steps."""

import re
from collections.abc import Iterator
from itertools import zip_longest
from math import ceil
from typing import TYPE_CHECKING, Any, NamedTuple

from pumicenotch.fleet.budgets import SERVING, Budget, Member
from pumicenotch.fleet.entries import BadEntry, Reader, Said, budgets_of, name, names, number, reason, text

if TYPE_CHECKING:
    from pumicenotch.fleet.state import State

PLANNED, DRAINING, MOVING, SOAKING = "planned", "draining", "moving", "soaking"
HALTED, BACK, DONE, ABANDONED = "halted", "going back", "done", "abandoned"
GONE, STARTING = "ended", "starting"  # of a server, by its agent's word
FORWARD = (DRAINING, MOVING, SOAKING)
ENDED = (DONE, ABANDONED)

BUDGETS = "budgets"
RESTARTS = ("program", "config")  # the server is drained and started anew
IN_PLACE = ("map", "agent")  # read again, or replaced, beside a server that goes on
SLOTS = (*RESTARTS, *IN_PLACE, BUDGETS)

KIND = "release"  # of a permit that a release has asked for
BY = "(release)"  # who asks for it: no operator's name
STUCK = "cannot hold"  # how the trouble of an agent begins that is its machine's and no version's
RELEASES_MOST = 50  # kept after their end, for `status` and so that no name comes twice
WAVES_MOST = 256
VERSION = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
LEVELS = {  # the entries that came with each level; all others are of the first
    2: ("level", "plan", "release", "word", "move", "usual", "soaked", "harm"),
}
LEVEL = 2  # of this program
NEEDS = {verb: level for level, verbs in LEVELS.items() for verb in verbs}


class Release(NamedTuple):
    name: str
    slot: str  # one of SLOTS: what of a node it replaces
    version: str  # by content
    replaces: str
    level: int  # that its program speaks
    waves: tuple[tuple[str, ...], ...]
    soak_ms: int
    wait_ms: int  # beyond the soak, where too little was seen to tell, before a person is asked
    back: bool  # whether harm makes it go back by itself; else it is halted
    gate: int  # after so many waves a person is asked in any case; 0: after none
    urgent: bool  # may take over a halted one
    mixed: bool  # two zones or cells in one wave
    budgets: tuple[Budget, ...] = ()  # of a release of budgets: those, and those before
    former: tuple[Budget, ...] = ()
    state: str = PLANNED
    wave: int = 0
    was: str = ""  # what a halt has stopped
    halts: tuple[tuple[str, str, str], ...] = ()  # id, by, why
    asks: str = ""  # why it waits for a person
    harmed: tuple[str, ...] = ()  # where harm was seen: first on the way back
    why: str = ""  # the last word on it
    # Before the wave: its number, tasks a second, bad part and ms of calls below.
    usual: tuple[float, ...] = ()

    @property
    def nodes(self) -> tuple[str, ...]:
        return tuple(one for wave in self.waves for one in wave)

    @property
    def active(self) -> bool:
        return self.state != PLANNED and self.state not in ENDED

    @property
    def stands(self) -> str:
        """Its state as a person reads it."""
        if self.state in FORWARD:
            return f"wave {self.wave + 1} of {len(self.waves)} {self.state}"
        return f"halted ({self.was})" if self.state == HALTED else self.state


class Node(NamedTuple):
    """What its agent last said, and what it was last allowed."""

    name: str
    agent: str  # the agent's life
    runs: tuple[tuple[str, str], ...] = ()  # slot, version
    holds: tuple[str, ...] = ()
    down: str = ""  # GONE: its server has; STARTING: it is not in service yet, as far as the agent knows
    trouble: str = ""
    move: tuple[str, str, int] = ("", "", 0)  # slot, version, epoch
    falls: int = 0  # ends of its server that nobody asked for, since it moved or a release began

    def version(self, slot: str) -> str:
        return dict(self.runs).get(slot, "")

    def may_run(self, slot: str, version: str) -> bool:
        """It does, or was allowed to, and has not said so yet."""
        return self.version(slot) == version or self.move[:2] == (slot, version)


class Releases:
    """Of one state: its part that speaks of versions."""

    def __init__(self, state: "State") -> None:
        self.state = state
        self.level = 1  # what all voters understand, as agreed
        self.releases: dict[str, Release] = {}
        self.nodes: dict[str, Node] = {}
        self.stands: dict[str, str] = {}  # slot -> the version that the fleet is on
        self.changed = False  # a release has come further: whoever was not due may be

    def put(self, release: Release, note: str = "") -> Said:
        held = self.releases.get(release.name)
        self.changed |= held is None or (held.state, held.wave) != (release.state, release.wave)
        self.releases[release.name] = release
        if note:
            self.state.note(f"release {release.name}: {note}")
        return Said(True, f"release {release.name} is {release.stands}")

    def active(self) -> list[Release]:
        return [each for each in self.releases.values() if each.active]

    def open(self) -> list[Release]:
        """Those that go on, and those that are planned."""
        return [each for each in self.releases.values() if each.state not in ENDED]

    def has(self, release: Release, one: str) -> bool:
        """Whether that node runs the release's version, by its agent's word."""
        node = self.nodes.get(one)
        return node is not None and node.version(release.slot) == release.version

    # Entries

    def agree_level(self, level: int) -> Said:
        """All voters understand it. From now on no version below it may be released, nor come back."""
        if level > self.level and not self.active():
            self.level = level
            self.state.note(f"the fleet is at level {level}")
        return Said(True, f"level {self.level}")

    def plan(self, request: str, made: Release, by: str) -> Said:
        return self.state.answered(request, self.planned(made, by))

    def planned(self, made: Release, by: str) -> Said:
        if made.name in self.releases:
            return Said(False, f"there has been a release {made.name}: another name is wanted")
        if made.slot == BUDGETS:
            made = made._replace(former=self.state.budgets, waves=((),))
        unknown = [one for one in made.nodes if one not in self.nodes]
        if unknown:
            return Said(False, f"no agent has spoken for {', '.join(unknown[:5])}")
        replaces = made.replaces or self.stands.get(made.slot, "") or self.common(made)
        if not replaces and made.slot != BUDGETS:
            return Said(False, "the nodes run several versions and none is agreed: say which it replaces")
        made = made._replace(replaces=replaces)
        if why := self.unfit(made) or self.crossing(made):
            return Said(False, why)
        self.tidy()
        return self.put(made, f"planned by {by}: {made.slot} {made.version} for"
                              f" {made.replaces or 'what is'} in {len(made.waves)} waves")  # fmt: skip

    def common(self, made: Release) -> str:
        found = {self.nodes[one].version(made.slot) for one in made.nodes}
        return found.pop() if len(found) == 1 else ""

    def unfit(self, made: Release) -> str:
        """Why it may not start now; "" if it may."""
        stands = self.stands.get(made.slot, made.replaces)
        if made.version == made.replaces and made.slot != BUDGETS:
            return f"the fleet is on {made.version} already"
        if stands != made.replaces:
            return f"it replaces {made.replaces}, but the fleet is on {stands}: plan it anew"
        if made.slot in RESTARTS and made.level < self.level:
            return (f"version {made.version} is of level {made.level}, and entries of level {self.level} are"
                    " agreed, which it cannot read: there is no way back over a level")  # fmt: skip
        return ""

    def crossing(self, made: Release) -> str:
        for at, wave in enumerate(made.waves, 1):
            some = [self.state.members[one] for one in wave if one in self.state.members]
            if sum(each.voter for each in some) > 1:
                return f"wave {at}: more than one voter in a wave"
            if made.mixed:
                continue
            for kind in ("zone", "cell"):
                found = sorted({getattr(each, kind) for each in some})
                if len(found) > 1:
                    return f"wave {at}: {kind}s {', '.join(found[:5])} together: allow it with mixed"
        return ""

    def tidy(self) -> None:
        ended = [each.name for each in self.releases.values() if each.state in ENDED]
        for one in ended[: max(0, len(ended) - RELEASES_MOST)]:
            del self.releases[one]

    def release(self, request: str, one: str, what: str, seen: tuple[str, ...], why: str, by: str) -> Said:
        """An operator's word, or any process's: `what` is one of WORDS, `seen` the halts that it has seen."""
        return self.state.answered(request, self.said(request, one, what, seen, why, by))

    def said(self, request: str, one: str, what: str, seen: tuple[str, ...], why: str, by: str) -> Said:
        held = self.releases.get(one)
        if held is None:
            return Said(False, f"no release {one}")
        if held.state in ENDED:
            return Said(False, f"release {one} is {held.state}")
        if held.state == PLANNED and what not in ("start", "abandon"):
            return Said(False, f"release {one} has not started")
        match what:
            case "start":
                return self.start(held, by)
            case "abandon":
                return self.abandon(held, why, by)
            case "halt":
                return self.halt(held, request, by, why)
            case "resume":
                return self.resume(held, seen, why, by)
            case "back":
                return self.go_back(held, seen, why, by)
            case _:
                return self.approve(held, why, by)

    def start(self, held: Release, by: str) -> Said:
        if held.state != PLANNED:
            return Said(False, f"release {held.name} has started")
        if why := self.unfit(held):
            return Said(False, why)
        for other in self.active():
            if not self.overlaps(held, other):
                continue
            if not held.urgent or other.state != HALTED:
                return Said(False, f"release {other.name} is {other.stands}, and has nodes in common: only an"
                                   " urgent one may take over, and only one that is halted")  # fmt: skip
            self.put(other._replace(state=ABANDONED, halts=()), f"taken over by {held.name}")
        if held.slot == BUDGETS:
            held = held._replace(former=self.state.budgets)
            self.state.budgets = held.budgets
            return self.put(held._replace(state=SOAKING), f"started by {by}: its budgets are in force")
        self.stands.setdefault(held.slot, held.replaces)
        for one in held.nodes:
            self.nodes[one] = self.nodes[one]._replace(falls=0)
        return self.put(held._replace(state=DRAINING), f"started by {by}")

    @staticmethod
    def overlaps(one: Release, other: Release) -> bool:
        return BUDGETS in (one.slot, other.slot) or bool(set(one.nodes) & set(other.nodes))

    def abandon(self, held: Release, why: str, by: str) -> Said:
        if held.state != PLANNED:
            return Said(False, f"release {held.name} has started: halt it, or have it go back")
        return self.put(held._replace(state=ABANDONED, why=why), f"abandoned by {by}: {why}")

    def halt(self, held: Release, key: str, by: str, why: str) -> Said:
        was = held.was if held.state == HALTED else held.state
        halts = (*held.halts, (key, by, why))[-16:]
        return self.put(held._replace(state=HALTED, was=was, halts=halts, why=why), f"HALT by {by}: {why}")

    def resume(self, held: Release, seen: tuple[str, ...], why: str, by: str) -> Said:
        """Ends those halts that its operator has seen, and no later one."""
        left = tuple(halt for halt in held.halts if halt[0] not in seen)
        if held.state != HALTED:
            return Said(False, f"release {held.name} is not halted: {held.stands}")
        if left:
            return self.put(held._replace(halts=left), f"resumed by {by}, but halted by {left[0][1]} still")
        return self.put(held._replace(state=held.was, halts=(), was="", why=why), f"RESUMED by {by}: {why}")

    def go_back(self, held: Release, seen: tuple[str, ...], why: str, by: str) -> Said:
        """A halt that its operator has not seen stays, and holds the way back too."""
        left = tuple(halt for halt in held.halts if halt[0] not in seen)
        back = held._replace(state=BACK, was="", halts=(), asks="", why=why)
        if left:
            back = back._replace(state=HALTED, was=BACK, halts=left)
        elif held.slot == BUDGETS:
            self.state.budgets = held.former
            back = back._replace(state=ABANDONED)
        return self.put(back, f"goes BACK by {by}: {why}" + (f"; halted by {left[0][1]}" if left else ""))

    def approve(self, held: Release, why: str, by: str) -> Said:
        if not held.asks:
            return Said(False, f"release {held.name} asks for nothing: {held.stands}")
        return self.next(held, f"approved by {by}: {why}")

    def next(self, held: Release, note: str) -> Said:
        """The wave is good: the next one, or the end."""
        held = held._replace(asks="", why=note)
        if held.wave + 1 < len(held.waves):
            return self.put(held._replace(state=DRAINING, wave=held.wave + 1), note)
        self.stands[held.slot] = held.version
        return self.put(held._replace(state=DONE), f"done: {note}")

    def soaked(self, one: str, wave: int, known: bool, why: str) -> Said:
        """By the leader: the soak is over; without `known` too little was seen to tell."""
        held = self.releases.get(one)
        if held is None or held.state != SOAKING or held.wave != wave or held.asks:
            return Said(False, f"release {one}: no soak of wave {wave} is on")
        if self.state.halts:
            return Said(False, self.state.halted())
        if not known or held.gate == wave + 1:
            asks = why if not known else f"approval was planned after wave {wave + 1}"
            return self.put(held._replace(asks=asks), f"wave {wave + 1} ASKS: {asks}")
        return self.next(held, f"wave {wave + 1} is good: {why}")

    def note_usual(self, one: str, wave: int, usual: tuple[float, ...]) -> Said:
        """By the leader, before the first of a wave moves: agreed, so that the next leader knows it too."""
        held = self.releases.get(one)
        if held is not None and held.wave == wave and held.state in FORWARD:
            self.put(held._replace(usual=(float(wave), *usual)))
        return Said(True, "noted")

    def harm(self, one: str, by: str, nodes: tuple[str, ...], why: str) -> Said:
        """Seen by the leader, or by an agent: halted, and back at once where that is planned."""
        held = self.releases.get(one)
        if held is None or not held.active:
            return Said(False, f"release {one} is not on")
        harmed = tuple(dict.fromkeys((*held.harmed, *nodes)))
        held = held._replace(harmed=harmed)
        if held.state == HALTED:
            return self.put(held, f"harm seen by {by}: {why}")
        forward, goes_back = held.state in FORWARD, held.back and not why.startswith(STUCK)
        said = self.halt(held, f"{by}-{self.state.index}", by, why)
        if not (forward and goes_back):
            return said
        halted = self.releases[one]
        return self.go_back(halted, tuple(key for key, _, _ in halted.halts), why, by)

    def word(self, one: str, agent: str, runs: Any, holds: tuple[str, ...], down: str, trouble: str) -> Said:
        """What an agent says of its node. Of two agents the one that spoke last has the node."""
        held = self.nodes.get(one, Node(one, agent))
        if down != held.down:
            self.state.counted = None
        fell = bool(down) and not held.down and self.unasked(one)
        self.nodes[one] = new = held._replace(
            agent=agent, runs=runs, holds=holds, down=down, trouble=trouble, falls=held.falls + fell
        )
        if trouble and trouble != held.trouble:
            self.state.note(f"the agent of {one}: {trouble}")
            for release in self.active():
                its = new.may_run(release.slot, self.wanted(release, one))
                if one in release.nodes and (trouble.startswith(STUCK) or its):
                    self.harm(release.name, one, (one,), trouble)
        return Said(True, "noted")

    def unasked(self, one: str) -> bool:
        """Whether a server that has ended was to go on, by what is agreed."""
        member = self.state.members.get(one)
        return member is not None and member.standing == SERVING and one not in self.state.permits

    def move(self, one: str, agent: str, slot: str, version: str) -> Said:
        """May the node's agent put that version in place now? Its server has ended, by its own word, or goes
        on where nothing ends for it."""
        node = self.nodes.get(one)
        if node is None or node.agent != agent:
            return Said(False, f"{one}: another agent has this node")
        if self.state.halts:
            return Said(False, self.state.halted())
        if self.due(node) != (slot, version):
            return Said(False, f"{one} is not to run {version}: {self.told(node) or 'nothing is due'}")
        if slot in RESTARTS and not self.down(one):
            return Said(False, f"{one}: its server is in service")
        if why := self.too_many_voters(one, slot, version):
            return Said(False, why)
        if node.move[:2] != (slot, version):
            self.nodes[one] = node._replace(move=(slot, version, self.state.index), falls=0)
            self.state.note(f"{one} may move to {slot} {version}")
        return Said(True, "go on", self.nodes[one].move[2])

    # What follows

    @staticmethod
    def wanted(release: Release, one: str) -> str:
        """The version that a release wants on its node just now; "" for no step at all."""
        if release.state == HALTED:
            return ""
        reached = any(one in wave for wave in release.waves[: release.wave + 1])
        return release.version if reached and release.state != BACK else release.replaces

    def target(self, one: str, slot: str) -> str:
        for release in self.releases.values():
            if release.active and release.slot == slot and one in release.nodes:
                return self.wanted(release, one)
        return self.stands.get(slot, "")

    def due(self, node: Node) -> tuple[str, str]:
        """The slot and the version that it is to move to; ("", "") for none."""
        for slot, runs in node.runs:
            target = self.target(node.name, slot)
            if target and target != runs:
                return slot, target
        return "", ""

    def told(self, node: Node) -> str:
        """Why it has no version to move to, if a release says so."""
        return "; ".join(f"release {each.name} is {each.stands}" for each in self.releases.values()
                         if node.name in each.nodes and each.active)  # fmt: skip

    def too_many_voters(self, one: str, slot: str, version: str) -> str:
        """The voters' majority is never on a version that no minority of them has run through a soak."""
        member = self.state.members.get(one)
        if member is None or not member.voter:
            return ""
        release = next(
            (each for each in self.active() if each.slot == slot and each.version == version), None
        )
        spare = self.state.spare_voters()
        if release is None or not spare:
            return ""

        def on(one: str) -> bool:
            held, node = self.state.members.get(one), self.nodes.get(one)
            return held is not None and held.voter and node is not None and node.may_run(slot, version)

        proven = sum(on(each) for wave in release.waves[: release.wave] for each in wave)
        many = sum(on(each) for each in release.nodes if each != one)
        if many + 1 > spare and proven < spare:
            return f"{many} voters are on {version}, and {proven} were through a soak: a majority must not be"
        return ""

    def there(self, one: str, slot: str, version: str) -> bool:
        member, node = self.state.members.get(one), self.nodes.get(one)
        if member is None or node is None:
            return True  # forgotten
        # By its agent's word too, which has seen it alive since.
        good = not node.down and not node.trouble and not self.state.is_out(member)
        return good and node.version(slot) == version

    def skipped(self, one: str, release: Release) -> bool:
        """It was out against its will before the wave came to it: it catches up when it is back."""
        member, node = self.state.members.get(one), self.nodes.get(one)
        return (member is not None and node is not None and bool(member.against)
                and not node.may_run(release.slot, release.version))  # fmt: skip

    def missing(self, release: Release) -> list[str]:
        """Who is not yet where the release wants it."""
        slot = release.slot
        if release.state == BACK:
            return [one for one in release.nodes if not self.there(one, slot, release.replaces)]
        return [one for one in release.waves[release.wave]
                if not self.there(one, slot, release.version) and not self.skipped(one, release)]  # fmt: skip

    def settle(self, one: str = "") -> None:
        """After an entry that speaks of one node alone, or of all: how far each release is, and who is to be
        drained for it."""
        for release in self.active():
            self.advance(release)
        changed, self.changed = self.changed, False
        for each in self.in_order() if changed or not one else [one]:
            if each in self.nodes:
                self.ask(self.nodes[each])
        if self.changed:  # a permit that was taken back counted its node as out
            self.settle()

    def in_order(self) -> list[str]:
        """Whoever goes back first stands first: by harm, then those that got it last. Forwards as planned."""
        first: list[str] = []
        for release in self.active():
            if release.state == BACK:
                first += (*release.harmed, *reversed(release.nodes))
            elif release.state in FORWARD:
                first += release.waves[release.wave]
        return [one for one in dict.fromkeys((*first, *self.nodes)) if one in self.nodes]

    def advance(self, release: Release) -> None:
        if release.slot == BUDGETS or release.state not in (DRAINING, MOVING, BACK):
            return
        missing = self.missing(release)
        if release.state == BACK:
            if not missing:
                self.put(release._replace(state=ABANDONED), f"all are back on {release.replaces}")
            return
        if not missing:
            self.put(release._replace(state=SOAKING), f"wave {release.wave + 1} soaks")
        elif release.state == DRAINING and any(
            self.nodes[one].may_run(release.slot, release.version)
            for one in release.waves[release.wave]
            if one in self.nodes
        ):
            self.put(release._replace(state=MOVING))

    def ask(self, node: Node) -> None:
        """Its drain stands in the fleet's queue as long as it is due, and no longer."""
        state, one = self.state, node.name
        slot, version = self.due(node)
        member = state.members.get(one)
        drains = (slot in RESTARTS and version in node.holds and not self.down(one) and member is not None
                  and member.standing == SERVING)  # fmt: skip
        asked = next((each for each in state.queue if each.name == one), None)
        permit = state.permits.get(one)
        if drains and asked is None and permit is None:
            state.ask_for(one, f"{slot} {version}", BY)
        elif not drains and asked is not None and asked.by == BY:
            state.queue.remove(asked)
        if permit is not None and permit.kind == KIND and not permit.begun and not slot:
            state.free(one, "nothing is due any more")
            self.changed = True
            state.counted = None

    def down(self, one: str) -> bool:
        """Its agent says that it is out; that it is in service again its server says first, by its own
        word."""
        node, member = self.nodes.get(one), self.state.members.get(one)
        if node is None or not node.down:
            return False
        return node.down == GONE or member is None or member.standing != SERVING

    # Whole

    def dump(self) -> dict[str, Any]:
        return {"level": self.level, "stands": list(self.stands.items()),
                "nodes": list(self.nodes.values()), "releases": list(self.releases.values())}  # fmt: skip

    def load(self, told: dict[str, Any]) -> None:
        self.level = told["level"]
        self.stands = dict(told["stands"])
        self.nodes = {each[0]: Node._make(tuples(each)) for each in told["nodes"]}
        for each in told["releases"]:
            made = Release._make(tuples(each))
            budgets, former = (tuple(map(Budget._make, some)) for some in (made.budgets, made.former))
            self.releases[made.name] = made._replace(budgets=budgets, former=former)


def tuples(told: Any) -> Any:
    return tuple(map(tuples, told)) if isinstance(told, list | tuple) else told


# Waves


def waves_of(
    members: list[Member], *, shares: tuple[float, ...] = (0.34, 1.0), mixed: bool = False, order: str = "",
) -> tuple[tuple[str, ...], ...]:  # fmt: skip
    """One node, then one of each zone, then rising shares of each zone and cell; voters last, one a wave.
    `order` is "below-first" or "callers-first", as the compatibility of services with their callers asks."""
    found: list[tuple[str, ...]] = []
    below = [each for each in members if each.serves and not each.voter]
    others = [each for each in members if not each.serves and not each.voter]
    parts = {"below-first": [below, others], "callers-first": [others, below]}.get(order, [below + others])
    for part in parts:
        found += list(part_waves(sorted(part), shares, mixed))
    found += [(each.name,) for each in sorted(members) if each.voter]
    return tuple(found)


def part_waves(part: list[Member], shares: tuple[float, ...], mixed: bool) -> Iterator[tuple[str, ...]]:
    left: dict[tuple[str, str], list[str]] = {}
    for each in part:
        left.setdefault((each.zone, each.cell), []).append(each.name)
    whole = {place: len(some) for place, some in left.items()}
    if not left:
        return
    place = next(iter(left))
    yield (left[place].pop(0),)

    def wave(counts: dict[tuple[str, str], int]) -> Iterator[tuple[str, ...]]:
        taken = []
        for place, many in counts.items():
            some, left[place] = left[place][:many], left[place][many:]
            if some:
                taken.append(tuple(some))
        if mixed and taken:  # zones in turn: one that waits for its own bars whoever stands behind it
            yield tuple(one for some in zip_longest(*taken) for one in some if one is not None)
        elif not mixed:
            yield from taken

    zones = {place[0]: place for place in reversed(left) if len(left[place]) == whole[place]}
    seen = {place[0] for place in left if len(left[place]) < whole[place]}
    yield from wave({zones[zone]: 1 for zone in sorted(zones) if zone not in seen})
    for share in shares:
        yield from wave({at: max(0, ceil(share * whole[at]) - (whole[at] - len(left[at]))) for at in left})


# Readers

WORDS = ("start", "abandon", "halt", "resume", "back", "approve")


def word_of(told: Any) -> str:
    if told not in WORDS:
        raise BadEntry(f"{told!r:.40}: {', '.join(WORDS)} are known")
    return str(told)


def maybe_names(told: Any) -> tuple[str, ...]:
    return names(told) if told else ()


def down_of(told: Any) -> str:
    if told not in ("", GONE, STARTING):
        raise BadEntry(f"{told!r:.40}: {GONE}, {STARTING} or nothing is wanted")
    return str(told)


def truth(told: Any) -> bool:
    if type(told) is not bool:
        raise BadEntry(f"yes or no is wanted, not {told!r:.40}")
    return told


def usual_of(told: Any) -> tuple[float, ...]:
    if not isinstance(told, list | tuple) or len(told) != 3:
        raise BadEntry("three figures are wanted")
    found = tuple(float(each) for each in told if isinstance(each, int | float))
    if len(found) < 3 or not all(0.0 <= each < 1e12 for each in found):
        raise BadEntry(f"no figures: {told!r:.60}")
    return found


def version_of(told: Any) -> str:
    """It names a folder: nothing that leads elsewhere."""
    if not VERSION.fullmatch(name(told)):
        raise BadEntry(f"a version of letters, digits, dots, dashes is wanted, not {told!r:.80}")
    return str(told)


def runs_of(told: Any) -> tuple[tuple[str, str], ...]:
    if not isinstance(told, list | tuple) or len(told) > len(SLOTS):
        raise BadEntry("what a node runs: slot and version, for each slot")
    found = tuple((name(slot), version_of(version)) for slot, version in told)
    if unknown := [slot for slot, _ in found if slot not in SLOTS]:
        raise BadEntry(f"no slot {unknown[0]}; known: {', '.join(SLOTS)}")
    return found


def release_of(told: Any) -> Release:
    """Of what a plan says: the first fields of Release, to `budgets`."""
    try:
        one, slot, version, replaces, level, waves, soak, wait, back, gate, urgent, mixed, budgets = told
        made = Release(
            name(one), slot, version_of(version), replaces and version_of(replaces),
            number(level), tuple(map(maybe_names, waves)), number(soak), number(wait), truth(back),
            number(gate), truth(urgent), truth(mixed), budgets_of(budgets),
        )  # fmt: skip
    except (TypeError, ValueError) as error:
        raise BadEntry(f"no plan of a release: {error}") from None
    if slot not in SLOTS:
        raise BadEntry(f"no slot {slot!r:.40}; known: {', '.join(SLOTS)}")
    if slot != BUDGETS and (not made.nodes or not all(made.waves) or len(made.waves) > WAVES_MOST):
        raise BadEntry(f"1 to {WAVES_MOST} waves of one node or more are wanted")
    if len(set(made.nodes)) < len(made.nodes):
        raise BadEntry("a node stands in two waves")
    return made


def plan_told(made: Release) -> tuple[Any, ...]:
    """As a plan's entry says it."""
    return tuple(made[:13])


ENTRIES: dict[str, tuple[str, tuple[Reader, ...]]] = {
    "level": ("agree_level", (number,)),
    "plan": ("plan", (name, release_of, name)),
    "release": ("release", (name, name, word_of, maybe_names, reason, name)),
    "soaked": ("soaked", (name, number, truth, text)),
    "usual": ("note_usual", (name, number, usual_of)),
    "harm": ("harm", (name, name, maybe_names, reason)),
    "word": ("word", (name, name, runs_of, maybe_names, down_of, text)),
    "move": ("move", (name, name, name, version_of)),
}
REQUESTS = ("plan", "release")  # with an id first
OF_ONE = ("word", "move", "join", "serving", "leaving", "began", "gone", "against", "returned")
