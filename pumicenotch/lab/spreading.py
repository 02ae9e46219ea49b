"""The distribution under the checker: publications, a change of sources, compacted logs, nodes that begin
anew, with messages that are late, lost, doubled or spoilt.

A state is the pickled world. Time goes on only by steps of its own, so any message may be late by any
timer.
"""

import argparse
import pickle
from collections.abc import Iterator
from typing import Any, NamedTuple

from pumicenotch.distribution.data.records import Change
from pumicenotch.distribution.protocol import messages as m
from pumicenotch.lab.explore import Explorer, Found
from pumicenotch.lab.spreading_model import REPLICA, SCRIPT, Bounds, Letter, World, spoilt


class State(NamedTuple):
    world: bytes
    bad: str = ""


class Spreading:
    """The model: `script` is published in order, within the bounds. It begins with `begun` publications in
    force, or with a replica that has nothing yet; voters remember `log_most` publications; the replica's
    sources are voters or, `relayed`, relays.
    """

    def __init__(
        self,
        bounds: Bounds,
        script: tuple[tuple[Change, ...], ...] = SCRIPT,
        *,
        log_most: int = 10,
        begun: int = 1,
        fresh: bool = False,
        relayed: bool = False,
    ) -> None:
        self.bounds, self.script, self.log_most, self.relayed = bounds, script, log_most, relayed
        self.begun, self.fresh = begun, fresh

    def first(self) -> State:
        world = World(self.script, self.bounds, self.log_most, self.relayed)
        for name in world.voters:
            for _ in range(self.begun):
                world.learn(name)
        if bad := world.settled():
            raise AssertionError(bad)
        if self.fresh:
            world.start(REPLICA)
        return State(pickle.dumps(world))

    def after(self, state: State) -> Iterator[tuple[str, State]]:
        if not state.world:
            return
        many = 0
        for line, world, act in self.moves(state):
            many += 1
            yield line, self.made(world, act)
        if not many:
            yield "nothing more happens", self.made(pickle.loads(state.world), None)

    def made(self, world: World, act: Any) -> State:
        try:
            if act is None:
                bad = world.settled()
            else:
                act(world)
                bad = world.wrong()
        except AssertionError as error:
            bad = f"an assertion fails: {error}"
        return State(b"" if bad or act is None else pickle.dumps(world), bad)

    def moves(self, state: State) -> Iterator[tuple[str, World, Any]]:
        """Each with a world of its own, and what is done with it."""
        world: World = pickle.loads(state.world)

        def copied(**spent: int) -> World:
            other: World = pickle.loads(state.world)
            other.left = Bounds(
                *(have - spent.get(name, 0) for name, have in world.left._asdict().items())
            )
            return other

        left, seen = world.left, set()
        for at, letter in enumerate(world.wire):
            pair = (letter.sender, letter.to)
            if pair in seen:
                continue  # what is on one way comes in order
            seen.add(pair)
            what = f"{letter.to} gets {type(letter.message).__name__} of {letter.sender}"
            yield what, copied(), lambda w, at=at: w.deliver(w.wire.pop(at))
            if left.losses:
                yield f"lost: {what}", copied(losses=1), lambda w, at=at: w.wire.pop(at)
            if left.copies and isinstance(letter.message, m.Delta | m.Scopes | m.Records):
                yield f"{what}, and a copy", copied(copies=1), lambda w, at=at: self.doubled(w, at)
            if left.spoilt and (other := spoilt(letter.message)) is not None:
                bad = letter._replace(message=other)
                yield (
                    f"spoilt: {what}",
                    copied(spoilt=1),
                    lambda w, at=at, bad=bad: self.replaced(w, at, bad),
                )
        for at, letter in enumerate(world.late):
            what = f"{letter.to} gets a late {type(letter.message).__name__}"
            yield what, copied(), lambda w, at=at: w.deliver(w.late.pop(at))
        yield from self.turns(world, left, copied)

    @staticmethod
    def turns(world: World, left: Bounds, copied: Any) -> Iterator[tuple[str, World, Any]]:
        for name in world.works():
            yield f"{name} works on", copied(), lambda w, name=name: w.work(name)
        if left.timers and not world.works():
            yield "a timer goes off", copied(timers=1), World.timer
        for name, voter in world.voters.items():
            version = voter.publications.version
            if version < world.newest:
                yield (
                    f"{name} learns version {version + 1}",
                    copied(),
                    lambda w, name=name: w.learn(name),
                )
            elif left.publications and version < len(world.script):
                what = f"{name} learns the new version {version + 1}"
                yield what, copied(publications=1), lambda w, name=name: w.learn(name)
        if left.cuts and not world.cut:
            for name in world.sources:
                yield (
                    f"{name} is cut off",
                    copied(cuts=1),
                    lambda w, name=name: setattr(w, "cut", name),
                )
        if left.restarts:
            for name in world.nodes:
                yield f"{name} restarts", copied(restarts=1), lambda w, name=name: w.start(name)

    @staticmethod
    def doubled(world: World, at: int) -> None:
        letter = world.wire.pop(at)
        world.late.append(letter)
        world.deliver(letter)

    @staticmethod
    def replaced(world: World, at: int, other: Letter) -> None:
        world.wire.pop(at)
        world.deliver(other)

    @staticmethod
    def wrong(state: State) -> str:
        return state.bad

    def explore(self, most: int) -> Found:
        return Explorer(self.after, self.wrong, most).run(self.first())

    def wander(self, seed: int, walks: int, most_deep: int) -> Found:
        return Explorer(self.after, self.wrong).wander(self.first(), seed, walks, most_deep)


LONG = (
    ("publications", Bounds(publications=2, timers=3)),
    ("loss and copies", Bounds(publications=2, timers=3, losses=1, copies=1)),
    ("spoilt messages", Bounds(publications=2, timers=4, spoilt=1)),
    ("a source cut off, a node restarted", Bounds(publications=2, timers=4, cuts=1, restarts=1)),
)
WALK_MOST = 120  # steps


def main() -> None:
    parser = argparse.ArgumentParser(description="The long form of the checks on the distribution.")
    parser.add_argument("--most", type=int, default=100_000, help="states for each of the models")
    parser.add_argument("--walks", type=int, default=0, help="walks by chance for each, instead")
    parser.add_argument(
        "--relayed", action="store_true", help="with relays between voter and replica"
    )
    told = parser.parse_args()
    for name, bounds in LONG:
        for log_most in (1, 10):
            model = Spreading(bounds, log_most=log_most, relayed=told.relayed)
            found = (
                model.wander(1, told.walks, WALK_MOST) if told.walks else model.explore(told.most)
            )
            print(f"{name}, a log of {log_most}, {bounds}: {found.text()}", flush=True)


if __name__ == "__main__":
    main()
