"""A model of drains for the checker: processes that ask, hear late or twice, crash, come back under their
name as another life, and operators who halt, lower budgets and free permits. What is agreed is
`fleet/replicated/state`; between the log and the processes everything may be late or come twice. Agreement itself is
checked by `lab/consensus_model`.
"""

import argparse
from collections.abc import Iterator
from typing import Any, NamedTuple

from pumicenotch.fleet.drains.budgets import Budget, Member
from pumicenotch.fleet.replicated.records import ApplyResult, member_to_wire
from pumicenotch.fleet.replicated.state import FleetState as Agreed
from pumicenotch.lab.explore import Explorer

UP, GOES, GONE = "up", "goes", "gone"


class Process(NamedTuple):
    """One name's process as it is, not as anybody thinks: `away` since it began to drain by its own will."""

    life: int
    is_: str
    away: bool


class Letter(NamedTuple):
    """An entry on its way to the log, or the answer to a `began` on its way back."""

    entry: tuple[Any, ...]
    answer: bool = False


class Bounds(NamedTuple):
    asks: int = 2
    crashes: int = 1
    returns: int = 2
    copies: int = 1
    halts: int = 0
    lowers: int = 0
    silences: int = 1
    pleas: int = 0  # SIGTERMs that cannot wait
    undrains: int = 0


class State(NamedTuple):
    agreed: tuple[Any, ...]
    processes: tuple[Process, ...]
    letters: frozenset[Letter]
    halted: bool  # agreed and not resumed
    after_halt: bool  # whether somebody began on a grant after the halt
    left: tuple[int, ...]


class Quiet(Agreed):
    """Without what only people read: it would make every state another one."""

    def record_event(self, text: str) -> None:
        pass

    def record_answer(self, request_id: str, result: ApplyResult) -> ApplyResult:
        return result


class Draining:
    NAMES = ("a1", "a2", "b1")

    def __init__(self, bounds: Bounds, state: type[Agreed] = Quiet, most_out: int = 1) -> None:
        self.bounds, self.type, self.most_out = bounds, state, most_out

    def first(self) -> State:
        made = self.type()
        made.apply(
            1, ("begin", "f", ("v",), (Budget("zones", "zone", max_unavailable=self.most_out),), ())
        )
        for name in self.NAMES:
            made.apply(
                made.log_index + 1, ("join", member_to_wire(Member(name, "0", zone=name[0])))
            )
            made.apply(made.log_index + 1, ("serving", name, "0"))
        processes = tuple(Process(0, UP, False) for _ in self.NAMES)
        return State(self.frozen(made), processes, frozenset(), False, False, tuple(self.bounds))

    @staticmethod
    def frozen(made: Agreed) -> tuple[Any, ...]:
        return (
            made.log_index,
            tuple(made.members.values()),
            made.budgets,
            tuple(made.queue),
            tuple(made.permits.values()),
            tuple(made.halts.items()),
        )

    def thawed(self, state: State) -> Agreed:
        made = self.type()
        made.log_index, members, made.budgets, queue, permits, halts = state.agreed
        made.fleet, made.voters = "f", ("v",)
        made.members = {member.name: member for member in members}
        made.queue, made.halts = list(queue), dict(halts)
        made.permits = {permit.name: permit for permit in permits}
        return made

    # What may happen next

    def after(self, state: State) -> Iterator[tuple[str, State]]:
        left, agreed = Bounds(*state.left), self.thawed(state)
        for letter in sorted(state.letters, key=repr):
            what = f"{'the answer to ' if letter.answer else ''}{letter.entry} arrives"
            gone = state._replace(letters=state.letters - {letter})
            yield what, self.arrives(gone, letter)
            if left.copies:
                yield f"{what}, and a copy", self.arrives(self.spent(state, left, "copies"), letter)
        for at, name in enumerate(self.NAMES):
            yield from self.moves(state, left, agreed, at, name)
        if left.halts and not state.halted:
            yield (
                "HALT is agreed",
                self.applied(
                    self.spent(state, left, "halts")._replace(halted=True), ("halt", "h", "op", "x")
                ),
            )
        if state.halted:
            yield (
                "resumed",
                self.applied(
                    state._replace(halted=False, after_halt=False),
                    ("resume", "r", ("h",), "x", "op"),
                ),
            )
        if left.lowers:
            lower = ("budget", "b", (Budget("zones", "zone", max_unavailable=0),), "op")
            yield (
                "the budget is lowered to none",
                self.applied(self.spent(state, left, "lowers"), lower),
            )

    def moves(
        self, state: State, left: Bounds, agreed: Agreed, at: int, name: str
    ) -> Iterator[tuple[str, State]]:
        process, life = state.processes[at], str(state.processes[at].life)
        permit = agreed.permits.get(name)
        if left.asks and permit is None and all(each.name != name for each in agreed.queue):
            asks = ("drain", f"d{left.asks}", (name,), "x", "op")
            yield (
                f"a drain of {name} is asked for",
                self.applied(self.spent(state, left, "asks"), asks),
            )
        if (
            process.is_ == UP
            and permit is not None
            and permit.process_id == life
            and not process.away
        ):
            began = Letter(("began", name, life, permit.epoch))
            if began not in state.letters:
                yield f"{name} hears of its permit", self.posted(state, began)
        if left.undrains and permit is not None:
            undone = ("undrain", f"u{left.undrains}", (name,), "x", "op")
            yield (
                f"the drain of {name} is taken back",
                self.applied(self.spent(state, left, "undrains"), undone),
            )
        if process.is_ == UP and left.pleas:
            spent = self.posted(
                self.spent(state, left, "pleas"), Letter(("leaving", name, life, "term"))
            )
            yield f"{name} is made to leave at once", self.process(spent, at, is_=GOES)
        if process.is_ == GOES:
            yield (
                f"{name} ends",
                self.posted(self.process(state, at, is_=GONE), Letter(("gone", name, life))),
            )
        if process.is_ != GONE and left.crashes:
            yield f"{name} crashes", self.process(self.spent(state, left, "crashes"), at, is_=GONE)
        if process.is_ == GONE and left.returns:
            new = str(process.life + 1)
            spent = self.spent(state, left, "returns")
            up = self.process(spent, at, is_=UP, life=process.life + 1, away=False)
            joined = self.applied(up, ("join", member_to_wire(Member(name, new, zone=name[0]))))
            yield (
                f"{name} is back as another life",
                self.posted(joined, Letter(("serving", name, new))),
            )
        if left.silences:  # an opinion: it may be wrong
            held = agreed.members[name]
            silent = ("against", name, held.process_id, "silent")
            yield (
                f"{name} is found silent",
                self.applied(self.spent(state, left, "silences"), silent),
            )

    def arrives(self, state: State, letter: Letter) -> State:
        name = letter.entry[1]
        at = self.NAMES.index(name)
        process = state.processes[at]
        if letter.answer:
            if process.is_ == UP and str(process.life) == letter.entry[2] and not process.away:
                return self.process(state, at, is_=GOES, away=True)
            return state
        before, agreed = state, self.thawed(state)
        said = agreed.apply(agreed.log_index + 1, letter.entry)
        new = before._replace(agreed=self.frozen(agreed))
        if letter.entry[0] == "began" and said.ok:
            old = self.thawed(before).permits.get(name)
            if before.halted and old is not None and not old.started:
                new = new._replace(after_halt=True)
            return self.posted(new, Letter(letter.entry, answer=True))
        return new

    def applied(self, state: State, entry: tuple[Any, ...]) -> State:
        agreed = self.thawed(state)
        agreed.apply(agreed.log_index + 1, entry)
        return state._replace(agreed=self.frozen(agreed))

    @staticmethod
    def posted(state: State, letter: Letter) -> State:
        return state._replace(letters=state.letters | {letter})

    @staticmethod
    def spent(state: State, left: Bounds, name: str) -> State:
        return state._replace(left=tuple(left._replace(**{name: getattr(left, name) - 1})))

    @staticmethod
    def process(state: State, at: int, **changes: Any) -> State:
        made = state.processes[at]._replace(**changes)
        return state._replace(processes=(*state.processes[:at], made, *state.processes[at + 1 :]))

    # What must not be

    def wrong(self, state: State) -> str:
        """By what the processes do, not by what is agreed: never more of a zone away by permit than its
        budget.
        """
        for zone in "ab":
            away = [
                name
                for name, process in zip(self.NAMES, state.processes, strict=True)
                if process.away and name[0] == zone
            ]
            if len(away) > self.most_out:
                return f"{' and '.join(away)} are away by permit: at most {self.most_out} of zone {zone} may be"
        if state.after_halt:
            return "a drain began after the halt was agreed"
        return ""

    def explore(self, most: int) -> Any:
        return Explorer(self.after, self.wrong, most).run(self.first())


LONG = (
    ("crashes and returns", Bounds(asks=3, crashes=1, returns=2, copies=1, silences=1)),
    ("halts and budgets lowered", Bounds(asks=2, crashes=1, returns=1, halts=1, lowers=1)),
    ("pleas", Bounds(asks=2, crashes=0, returns=2, pleas=1)),
    ("drains taken back", Bounds(asks=3, crashes=0, returns=1, silences=0, undrains=1)),
)


def main() -> None:
    parser = argparse.ArgumentParser(description="The long form of the checks on drains.")
    parser.add_argument("--most", type=int, default=1_000_000, help="states for each of the models")
    most = parser.parse_args().most
    for name, bounds in LONG:
        print(f"{name}, {bounds}: {Draining(bounds).explore(most).text()}", flush=True)


if __name__ == "__main__":
    main()
