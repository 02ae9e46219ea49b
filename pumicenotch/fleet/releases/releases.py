"""Releases that the fleet has agreed: a version goes out in waves, is halted, comes back. Every step is an
entry of the log; what follows from the entries, as whose server is to be drained next, needs none.
"""

from typing import Any

from pumicenotch.fleet.drains.budgets import SERVING
from pumicenotch.fleet.releases.progress import ReleaseProgress
from pumicenotch.fleet.releases.release import (
    ABANDONED,
    BACK,
    BUDGETS,
    DONE,
    DRAINING,
    ENDED,
    FORWARD,
    HALTED,
    MOVING,
    PLANNED,
    REQUESTED_BY,
    RESTARTS,
    SOAKING,
    STUCK,
    Halt,
    Move,
    NodeVersions,
    Release,
)
from pumicenotch.fleet.replicated.fields import Said
from pumicenotch.fleet.replicated.fleet_view import FleetView
from pumicenotch.fleet.replicated.records import RELEASE_PERMIT

RELEASES_MOST = 50  # kept after their end, for `status` and so that no name comes twice
HALTS_MOST = 16  # of one release


class Releases(ReleaseProgress):
    """Applies the entries that speak of versions."""

    def __init__(self, fleet: FleetView) -> None:
        super().__init__(fleet)
        self.changed = False  # a release has come further: whoever was not due may be

    def put(self, release: Release, note: str = "") -> Said:
        held = self.releases.get(release.name)
        self.changed |= held is None or (held.state, held.wave) != (release.state, release.wave)
        self.releases[release.name] = release
        if note:
            self.fleet.note(f"release {release.name}: {note}")
        return Said(True, f"release {release.name} is {release.stands}")

    # Entries

    def agree_level(self, level: int) -> Said:
        """All voters understand it. From now on no version below it may be released, nor come back."""
        if level > self.level and not self.active():
            self.level = level
            self.fleet.note(f"the fleet is at level {level}")
        return Said(True, f"level {self.level}")

    def plan(self, request: str, made: Release, by: str) -> Said:
        return self.fleet.answered(request, self.check_plan(made, by))

    def check_plan(self, made: Release, by: str) -> Said:
        if made.name in self.releases:
            return Said(False, f"there has been a release {made.name}: another name is wanted")
        if made.slot == BUDGETS:
            made = made._replace(former=self.fleet.budgets, waves=((),))
        unknown = [one for one in made.nodes if one not in self.nodes]
        if unknown:
            return Said(False, f"no agent has spoken for {', '.join(unknown[:5])}")
        replaces = made.replaces or self.stands.get(made.slot, "") or self.common(made)
        if not replaces and made.slot != BUDGETS:
            return Said(
                False, "the nodes run several versions and none is agreed: say which it replaces"
            )
        made = made._replace(replaces=replaces)
        if why := self.obstacle(made) or self.crossing(made):
            return Said(False, why)
        self.forget_oldest()
        return self.put(
            made,
            f"planned by {by}: {made.slot} {made.version} for"
            f" {made.replaces or 'what is'} in {len(made.waves)} waves",
        )

    def common(self, made: Release) -> str:
        found = {self.nodes[one].version(made.slot) for one in made.nodes}
        return found.pop() if len(found) == 1 else ""

    def obstacle(self, made: Release) -> str:
        """Why it may not start now; "" if it may."""
        stands = self.stands.get(made.slot, made.replaces)
        if made.version == made.replaces and made.slot != BUDGETS:
            return f"the fleet is on {made.version} already"
        if stands != made.replaces:
            return f"it replaces {made.replaces}, but the fleet is on {stands}: plan it anew"
        if made.slot in RESTARTS and made.level < self.level:
            return (
                f"version {made.version} is of level {made.level}, and entries of level {self.level} are"
                " agreed, which it cannot read: there is no way back over a level"
            )
        return ""

    def crossing(self, made: Release) -> str:
        for at, wave in enumerate(made.waves, 1):
            some = [self.fleet.members[one] for one in wave if one in self.fleet.members]
            if sum(each.voter for each in some) > 1:
                return f"wave {at}: more than one voter in a wave"
            if made.mixed:
                continue
            for kind in ("zone", "cell"):
                found = sorted({getattr(each, kind) for each in some})
                if len(found) > 1:
                    return (
                        f"wave {at}: {kind}s {', '.join(found[:5])} together: allow it with mixed"
                    )
        return ""

    def forget_oldest(self) -> None:
        ended = [each.name for each in self.releases.values() if each.state in ENDED]
        for one in ended[: max(0, len(ended) - RELEASES_MOST)]:
            del self.releases[one]

    def release(
        self, request: str, one: str, what: str, seen: tuple[str, ...], why: str, by: str
    ) -> Said:
        """An operator's word, or any process's: `what` is one of WORDS, `seen` the halts that it has seen."""
        return self.fleet.answered(request, self.command(request, one, what, seen, why, by))

    def command(
        self, request: str, one: str, what: str, seen: tuple[str, ...], why: str, by: str
    ) -> Said:
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
        if why := self.obstacle(held):
            return Said(False, why)
        for other in self.active():
            if not self.overlaps(held, other):
                continue
            if not held.urgent or other.state != HALTED:
                return Said(
                    False,
                    f"release {other.name} is {other.stands}, and has nodes in common: only an"
                    " urgent one may take over, and only one that is halted",
                )
            self.put(other._replace(state=ABANDONED, halts=()), f"taken over by {held.name}")
        if held.slot == BUDGETS:
            held = held._replace(former=self.fleet.budgets)
            self.fleet.budgets = held.budgets
            return self.put(
                held._replace(state=SOAKING), f"started by {by}: its budgets are in force"
            )
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
        halts = (*held.halts, Halt(key, by, why))[-HALTS_MOST:]
        return self.put(
            held._replace(state=HALTED, was=was, halts=halts, why=why), f"HALT by {by}: {why}"
        )

    def resume(self, held: Release, seen: tuple[str, ...], why: str, by: str) -> Said:
        """Ends those halts that its operator has seen, and no later one."""
        left = tuple(halt for halt in held.halts if halt.key not in seen)
        if held.state != HALTED:
            return Said(False, f"release {held.name} is not halted: {held.stands}")
        if left:
            return self.put(
                held._replace(halts=left), f"resumed by {by}, but halted by {left[0].by} still"
            )
        return self.put(
            held._replace(state=held.was, halts=(), was="", why=why), f"RESUMED by {by}: {why}"
        )

    def go_back(self, held: Release, seen: tuple[str, ...], why: str, by: str) -> Said:
        """A halt that its operator has not seen stays, and holds the way back too."""
        left = tuple(halt for halt in held.halts if halt.key not in seen)
        back = held._replace(state=BACK, was="", halts=(), asks="", why=why)
        if left:
            back = back._replace(state=HALTED, was=BACK, halts=left)
        elif held.slot == BUDGETS:
            self.fleet.budgets = held.former
            back = back._replace(state=ABANDONED)
        return self.put(
            back, f"goes BACK by {by}: {why}" + (f"; halted by {left[0].by}" if left else "")
        )

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
        if self.fleet.halted():
            return Said(False, self.fleet.halted())
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
        said = self.halt(held, f"{by}-{self.fleet.index}", by, why)
        if not (forward and goes_back):
            return said
        halted = self.releases[one]
        return self.go_back(halted, tuple(each.key for each in halted.halts), why, by)

    def note_agent(
        self, one: str, agent: str, runs: Any, holds: tuple[str, ...], down: str, trouble: str
    ) -> Said:
        """What an agent says of its node. Of two agents the one that spoke last has the node."""
        held = self.nodes.get(one, NodeVersions(one, agent))
        if down != held.down:
            self.fleet.recount()
        fell = bool(down) and not held.down and self.unasked(one)
        self.nodes[one] = new = held._replace(
            agent=agent, runs=runs, holds=holds, down=down, trouble=trouble, falls=held.falls + fell
        )
        if trouble and trouble != held.trouble:
            self.fleet.note(f"the agent of {one}: {trouble}")
            for release in self.active():
                its = new.may_run(release.slot, self.wanted(release, one))
                if one in release.nodes and (trouble.startswith(STUCK) or its):
                    self.harm(release.name, one, (one,), trouble)
        return Said(True, "noted")

    def move(self, one: str, agent: str, slot: str, version: str) -> Said:
        """May the node's agent put that version in place now? Its server has ended, by its own word, or goes
        on where nothing ends for it.
        """
        node = self.nodes.get(one)
        if node is None or node.agent != agent:
            return Said(False, f"{one}: another agent has this node")
        if self.fleet.halted():
            return Said(False, self.fleet.halted())
        if self.due(node) != (slot, version):
            return Said(
                False,
                f"{one} is not to run {version}: {self.holding_back(node) or 'nothing is due'}",
            )
        if slot in RESTARTS and not self.down(one):
            return Said(False, f"{one}: its server is in service")
        if why := self.too_many_voters(one, slot, version):
            return Said(False, why)
        if node.move.step != (slot, version):
            self.nodes[one] = node._replace(move=Move(slot, version, self.fleet.index), falls=0)
            self.fleet.note(f"{one} may move to {slot} {version}")
        return Said(True, "go on", self.nodes[one].move.epoch)

    def too_many_voters(self, one: str, slot: str, version: str) -> str:
        """The voters' majority is never on a version that no minority of them has run through a soak."""
        member = self.fleet.members.get(one)
        if member is None or not member.voter:
            return ""
        release = next(
            (each for each in self.active() if each.slot == slot and each.version == version), None
        )
        spare = self.fleet.spare_voters()
        if release is None or not spare:
            return ""

        def on(one: str) -> bool:
            held, node = self.fleet.members.get(one), self.nodes.get(one)
            return (
                held is not None and held.voter and node is not None and node.may_run(slot, version)
            )

        proven = sum(on(each) for wave in release.waves[: release.wave] for each in wave)
        many = sum(on(each) for each in release.nodes if each != one)
        if many + 1 > spare and proven < spare:
            return f"{many} voters are on {version}, and {proven} were through a soak: a majority must not be"
        return ""

    # What follows

    def settle(self, one: str = "") -> None:
        """After an entry that speaks of one node alone, or of all: how far each release is, and who is to be
        drained for it.
        """
        for release in self.active():
            self.advance(release)
        changed, self.changed = self.changed, False
        for each in self.in_order() if changed or not one else [one]:
            if each in self.nodes:
                self.queue_drain(self.nodes[each])
        if self.changed:  # a permit that was taken back counted its node as out
            self.settle()

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

    def queue_drain(self, node: NodeVersions) -> None:
        """Its drain stands in the fleet's queue as long as it is due, and no longer."""
        fleet, one = self.fleet, node.name
        slot, version = self.due(node)
        member = fleet.members.get(one)
        drains = (
            slot in RESTARTS
            and version in node.holds
            and not self.down(one)
            and member is not None
            and member.standing == SERVING
        )
        asked = next((each for each in fleet.queue if each.name == one), None)
        permit = fleet.permits.get(one)
        if drains and asked is None and permit is None:
            fleet.ask_for(one, f"{slot} {version}", REQUESTED_BY)
        elif not drains and asked is not None and asked.by == REQUESTED_BY:
            fleet.withdraw(asked)
        if permit is not None and permit.kind == RELEASE_PERMIT and not permit.begun and not slot:
            fleet.free(one, "nothing is due any more")
            self.changed = True
            fleet.recount()
