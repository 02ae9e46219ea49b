"""A model of releases for the checker: two nodes of one zone and one of another, each with a server and an
agent whose words may be late, come twice or be lost with their process; halts, resumes and ways back at any
time; another drain beside them. What is agreed is `fleet/replicated/state`. An agent's permission is good for a short
time, as its lease says: it can pass before the agent has used the permission.

What must not be: more of a zone away than its budget; a move on a permission after a halt was agreed, by more
than the one that was on its way; a fleet from which no way leads to one version once faults end
(`settles`).
"""

import argparse
from collections.abc import Iterator
from typing import Any, NamedTuple

from pumicenotch.fleet.drains.budgets import Budget, Member
from pumicenotch.fleet.releases.commands import release_to_wire
from pumicenotch.fleet.releases.release import FINAL_STATES, SERVER_DOWN, Release
from pumicenotch.fleet.replicated.records import member_to_wire
from pumicenotch.fleet.replicated.state import FleetState as Agreed
from pumicenotch.lab.draining import Quiet
from pumicenotch.lab.explore import Explorer

OLD, NEW, SLOT = "old", "new", "program"
UP, GOES, DOWN = "up", "goes", "down"  # of a server


class Box(NamedTuple):
    """One node as it is: its server's life and standing, what is on its disk, what its agent may do."""

    life: int = 0
    is_: str = UP
    runs: str = OLD
    away: bool = False  # by permit
    may: str = ""  # the version of a permission
    expired: bool = False  # the permission's time has passed
    heard: bool = True  # its agent's word on all this is agreed


class Bounds(NamedTuple):
    halts: int = 1
    resumes: int = 1
    backs: int = 1
    crashes: int = 1  # of servers
    bad: int = 1  # words of an agent that the version does harm
    drains: int = 1  # asked by an operator
    naps: int = 1  # an agent sleeps through its permission, or works on something else


class State(NamedTuple):
    agreed: tuple[Any, ...]
    boxes: tuple[Box, ...]
    halted: bool
    late: str  # a move in a halt, on a permission that was agreed after it or had expired
    left: tuple[int, ...]


class Releasing:
    # Seeded bug: agents judge a permission when it comes, not when they use it.
    uses_expired = False
    NAMES = ("a1", "a2", "b1")
    WAVES: tuple[tuple[str, ...], ...] = (("a1",), ("b1",), ("a2",))

    def __init__(self, bounds: Bounds, state: type[Agreed] = Quiet, most_out: int = 1) -> None:
        self.bounds, self.type, self.most_out = bounds, state, most_out

    def first(self) -> State:
        made = self.type()
        made.apply(
            1, ("begin", "f", ("v",), (Budget("zones", "zone", max_unavailable=self.most_out),), ())
        )
        made.apply(2, ("level", 2))
        for name in self.NAMES:
            made.apply(
                made.log_index + 1, ("join", member_to_wire(Member(name, "0", zone=name[0])))
            )
            made.apply(made.log_index + 1, ("serving", name, "0"))
            made.apply(made.log_index + 1, ("word", name, "g", ((SLOT, OLD),), (OLD, NEW), "", ""))
        plan = Release("r", SLOT, NEW, OLD, 2, self.WAVES, 1, 1, True, 0, False, False)
        made.apply(made.log_index + 1, ("plan", "p", release_to_wire(plan), "op"))
        made.apply(made.log_index + 1, ("release", "s", "r", "start", (), "x", "op"))
        return State(
            self.frozen(made), tuple(Box() for _ in self.NAMES), False, "", tuple(self.bounds)
        )

    @staticmethod
    def frozen(made: Agreed) -> tuple[Any, ...]:
        """Indices count for nothing but their order: epochs are told anew by it."""
        nodes = tuple(
            each._replace(last_move=each.last_move._replace(epoch=0))
            for each in made.releases.nodes.values()
        )
        queue = tuple(each._replace(requested_at=0) for each in made.queue)
        permits = tuple(each._replace(epoch=at) for at, each in enumerate(made.permits.values()))
        members = tuple(each._replace(previous_process_ids=()) for each in made.members.values())
        releases = tuple(
            each._replace(reason="", approval_reason="", harmed=())
            for each in made.releases.releases.values()
        )
        return (
            members,
            queue,
            permits,
            nodes,
            releases,
            tuple(made.releases.current_versions.items()),
        )

    def thawed(self, state: State) -> Agreed:
        made = self.type()
        members, queue, permits, nodes, releases, stands = state.agreed
        made.log_index, made.fleet, made.voters = 100, "f", ("v",)
        made.budgets = (Budget("zones", "zone", max_unavailable=self.most_out),)
        made.members = {each.name: each for each in members}
        made.queue, made.permits = list(queue), {each.name: each for each in permits}
        made.releases.level = 2
        made.releases.nodes = {each.name: each for each in nodes}
        made.releases.releases = {each.name: each for each in releases}
        made.releases.current_versions = dict(stands)
        return made

    def apply(self, state: State, *entries: tuple[Any, ...]) -> State:
        made = self.thawed(state)
        for entry in entries:
            made.apply(made.log_index + 1, entry)
        return state._replace(agreed=self.frozen(made))

    @staticmethod
    def release(state: State) -> Release:
        found: Release = state.agreed[4][0]
        return found

    @staticmethod
    def spent(state: State, name: str) -> State:
        left = Bounds(*state.left)
        return state._replace(left=tuple(left._replace(**{name: getattr(left, name) - 1})))

    @staticmethod
    def box(state: State, at: int, **changes: Any) -> State:
        made = state.boxes[at]._replace(**changes)
        return state._replace(boxes=(*state.boxes[:at], made, *state.boxes[at + 1 :]))

    # What may happen next

    def after(self, state: State) -> Iterator[tuple[str, State]]:
        for at, name in enumerate(self.NAMES):
            yield from self.goes_on(state, at, name)
        yield from self.faults(state)

    def goes_on(self, state: State, at: int, name: str) -> Iterator[tuple[str, State]]:
        """What servers and agents do by themselves."""
        box, agreed = state.boxes[at], self.thawed(state)
        life, permit, node = str(box.life), agreed.permits.get(name), agreed.releases.nodes[name]
        if (
            box.is_ == UP
            and permit is not None
            and permit.process_id == life
            and not permit.started
            and not box.away
        ):
            if agreed.apply(101, ("began", name, life, permit.epoch)).ok:
                new = state._replace(agreed=self.frozen(agreed))
                yield f"{name} begins to drain", self.box(new, at, is_=GOES, away=True)
            agreed = self.thawed(state)
        if box.is_ == GOES:
            yield f"{name} has drained and ends", self.box(state, at, is_=DOWN, heard=False)
        if not box.heard:
            word = (
                "word",
                name,
                "g",
                ((SLOT, box.runs),),
                (OLD, NEW),
                SERVER_DOWN if box.is_ == DOWN else "",
                "",
            )
            yield (
                f"the word of {name}'s agent is agreed",
                self.box(self.apply(state, word), at, heard=True),
            )
        due = agreed.releases.next_step(node)
        if box.is_ == DOWN and box.heard and due[0] and not box.may:
            made = self.thawed(state)
            if made.apply(101, ("move", name, "g", *due)).ok:
                late = f"{name} may move to {due[1]}" if state.halted else state.late
                new = state._replace(agreed=self.frozen(made), late=late)
                yield f"{name} may move to {due[1]}", self.box(new, at, may=due[1])
        if box.is_ == DOWN and box.may:
            yield self.used(state, at, name)
        if box.is_ == DOWN and not box.may and (box.heard and not due[0]):
            yield f"{name} is started", self.started(state, at, name)

    def used(self, state: State, at: int, name: str) -> tuple[str, State]:
        """The agent uses its permission, or drops one that has expired."""
        box = state.boxes[at]
        if box.expired and not self.uses_expired:
            return f"{name}'s permission has expired", self.box(state, at, may="", expired=False)
        line = f"{name} takes {box.may}{', late' if box.expired else ''}"
        late = line if box.expired and state.halted else state.late
        taken = self.box(state, at, runs=box.may, may="", expired=False, heard=False)
        return line, taken._replace(late=late)

    def started(self, state: State, at: int, name: str) -> State:
        life = state.boxes[at].life + 1
        up = self.box(state, at, is_=UP, life=life, away=False, heard=False)
        return self.apply(
            up,
            ("join", member_to_wire(Member(name, str(life), zone=name[0]))),
            ("serving", name, str(life)),
        )

    def faults(self, state: State) -> Iterator[tuple[str, State]]:
        left, release = Bounds(*state.left), self.release(state)
        if release.state == "soaking":
            entry = ("soaked", "r", release.wave, True, "x")
            yield "the soak is over", self.apply(state, entry)
        if left.halts and release.is_active:
            key = f"h{left.halts}"
            halt = ("release", key, "r", "halt", (), "x", "op")
            yield "HALT", self.apply(self.spent(state, "halts"), halt)._replace(halted=True)
        keys = tuple(halt[0] for halt in release.halts)
        if left.resumes and release.state == "halted":
            entries: tuple[Any, ...] = (
                "release",
                f"u{left.resumes}",
                "r",
                "resume",
                keys,
                "x",
                "op",
            )
            yield (
                "resumed",
                self.apply(self.spent(state, "resumes"), entries)._replace(halted=False),
            )
        if left.backs and release.is_active:
            entries = ("release", f"b{left.backs}", "r", "back", keys, "x", "op")
            yield "BACK", self.apply(self.spent(state, "backs"), entries)._replace(halted=False)
        if left.drains:
            drain = ("drain", f"d{left.drains}", ("a2",), "x", "op")
            yield "a drain of a2 is asked for", self.apply(self.spent(state, "drains"), drain)
        for at, name in enumerate(self.NAMES):
            box = state.boxes[at]
            if left.crashes and box.is_ == UP:
                yield (
                    f"{name} crashes",
                    self.box(self.spent(state, "crashes"), at, is_=DOWN, heard=False),
                )
            if left.naps and box.may and not box.expired:
                yield (
                    f"the time of {name}'s permission passes",
                    self.box(self.spent(state, "naps"), at, expired=True),
                )
            if left.bad and box.runs == NEW and release.state in ("draining", "moving", "soaking"):
                harm = ("harm", "r", "judgement", (name,), "x")
                yield f"harm is seen at {name}", self.apply(self.spent(state, "bad"), harm)

    # What must not be

    def wrong(self, state: State) -> str:
        for zone in "ab":
            away = [
                name
                for name, box in zip(self.NAMES, state.boxes, strict=True)
                if box.away and name[0] == zone
            ]
            if len(away) > self.most_out:
                return f"{' and '.join(away)} are away by permit: at most {self.most_out} of zone {zone} may be"
        if state.late:
            return f"{state.late} though it is halted"
        return self.settles(state)

    def settles(self, state: State) -> str:
        """Once faults end and an operator has it go on, all come to one version; else where it stands
        still.
        """
        release = self.release(state)
        if release.state == "halted":
            keys = tuple(halt[0] for halt in release.halts)
            state = self.apply(state, ("release", "end", "r", "resume", keys, "x", "op"))._replace(
                halted=False
            )
        for _ in range(120):
            if self.release(state).state == "soaking":
                state = self.apply(state, ("soaked", "r", self.release(state).wave, True, "x"))
                continue
            found = next(
                (
                    new
                    for at, name in enumerate(self.NAMES)
                    for _, new in self.goes_on(state, at, name)
                ),
                None,
            )
            if found is None:
                break
            state = found
        runs = {box.runs for box in state.boxes}
        if (
            len(runs) > 1
            or any(box.is_ != UP for box in state.boxes)
            or self.release(state).state not in FINAL_STATES
        ):
            stands = ", ".join(
                f"{name} {box.runs} {box.is_}"
                for name, box in zip(self.NAMES, state.boxes, strict=True)
            )
            return f"no way leads on: release {self.release(state).description}; {stands}"
        return ""

    def explore(self, most: int) -> Any:
        return Explorer(self.after, self.wrong, most).run(self.first())

    def wander(self, seed: int, walks: int) -> Any:
        return Explorer(self.after, self.wrong).wander(self.first(), seed, walks, 80)


LONG = (
    (
        "halts, resumes and ways back",
        Bounds(halts=2, resumes=2, backs=1, crashes=0, bad=0, drains=0, naps=0),
    ),
    ("harm and crashes", Bounds(halts=0, resumes=1, backs=0, crashes=2, bad=1, drains=0, naps=1)),
    (
        "halts and permissions that are used late",
        Bounds(halts=1, resumes=1, backs=0, crashes=0, bad=0, drains=0, naps=1),
    ),
    (
        "a drain beside them",
        Bounds(halts=1, resumes=1, backs=1, crashes=0, bad=0, drains=1, naps=0),
    ),
)


def main() -> None:
    parser = argparse.ArgumentParser(description="The long form of the checks on releases.")
    parser.add_argument("--most", type=int, default=100_000, help="states for each of the models")
    parser.add_argument("--walks", type=int, default=500, help="walks by chance in each of them")
    told = parser.parse_args()
    for name, bounds in LONG:
        print(f"{name}, {bounds}: {Releasing(bounds).explore(told.most).text()}", flush=True)
        print(f"  walks: {Releasing(bounds).wander(1, told.walks).text()}", flush=True)


if __name__ == "__main__":
    main()
