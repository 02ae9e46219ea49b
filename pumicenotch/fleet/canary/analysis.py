"""What a leader makes of how members say they do, while a release is on: whether the version does harm, and
when a wave has soaked. It remembers nothing from one leader to the next: a new one looks anew, and the soak
begins again.

Three questions, each asked of like against like in the same second, or not at all: - do the released members'
tasks, or their calls below, go badly more often than the others' (`Judge`); - do they call the services below
more often for a task, and by much (`Pressure`): harm that all suffer has its cause there; - do calls below go
badly, or last, for all since the first got the version, though no more tasks come (`Both`).
"""

import math
from collections import defaultdict
from collections.abc import Iterable
from functools import reduce
from statistics import median
from typing import Any, NamedTuple

from pumicenotch.fleet.canary.judge import Judge, Told
from pumicenotch.fleet.releases.release import BUDGETS, FORWARD, SOAKING, Release
from pumicenotch.fleet.replicated.fields import BadEntry
from pumicenotch.fleet.replicated.state import SILENT, State

ROWS_MOST = 64  # classes in one word


class Row(NamedTuple):
    """Of one class, since its process began, or in some time."""

    tasks: float = 0.0
    firsts: float = 0.0  # of them that were no repeats
    bad: float = 0.0  # failed, late or rejected
    calls: float = 0.0  # below
    bad_calls: float = 0.0
    call_ms: float = 0.0  # in all

    def less(self, other: "Row") -> "Row":
        return Row(*(mine - its for mine, its in zip(self, other, strict=True)))

    def plus(self, other: "Row") -> "Row":
        return Row(*(mine + its for mine, its in zip(self, other, strict=True)))


def sum_of(rows: Iterable[Row]) -> Row:
    return reduce(Row.plus, rows, Row())


def memory_of(told: Any) -> float:
    if not isinstance(told, int | float) or not 0.0 <= told < 1e9:
        raise BadEntry(f"no memory of a process: {told!r:.40}")
    return float(told)


def rows_of(told: Any) -> dict[str, Row]:
    """From a word on the wire: (class, fields of Row) each. Raises BadEntry."""
    try:
        found = {str(name)[:64]: Row(*map(float, fields)) for name, *fields in told[:ROWS_MOST]}
        if not all(math.isfinite(value) and value >= 0 for row in found.values() for value in row):
            raise ValueError("no counts")
        return found
    except (TypeError, ValueError) as error:
        raise BadEntry(f"no counts of a member: {error}") from None


class Pressure:
    """Calls below a task: the released members' share of all calls against their share of all tasks, stratum
    by stratum, under the bound that Judge has.
    """

    MUCH = 1.5  # times as many calls: less is a version's own business

    def __init__(self) -> None:
        self.judge = Judge()
        self.calls = self.expected = 0.0

    def tell(self, tasks: tuple[float, float], calls: tuple[float, float]) -> None:
        """Of the others and of the released."""
        whole, many = sum(tasks), sum(calls)
        if min(tasks) <= 0 or not many:
            return
        part = tasks[1] / whole
        off = calls[1] - many * part
        self.judge.sum += off
        self.judge.spread += max(many * part * (1.0 - part), off * off)
        self.calls += calls[1]
        self.expected += tasks[1] * calls[0] / tasks[0]

    def harm(self) -> str:
        if self.judge.sum < self.judge.bound() or self.calls < self.MUCH * self.expected:
            return ""
        times = self.calls / max(1.0, self.expected)
        return f"the released ones call the services below {times:.1f} times as often for a task as the others"


class Both:
    """Whether all are worse off below than before the first of the wave got the version, though no more tasks
    come.
    """

    LEAST = 5  # windows, before and since
    MORE_BAD = 0.1  # of the calls, beyond what was usual
    LONGER = 3.0  # times what calls took
    LOAD = 1.25  # times the tasks: from there on the load may be the cause

    def __init__(self) -> None:
        self.since: list[Row] = []

    def tell(self, row: Row, moved: bool) -> None:
        self.since = [*self.since, row][-self.LEAST :] if moved else []

    def harm(self, usual: tuple[float, ...]) -> str:
        """`usual` as the release has it."""
        whole = sum_of(self.since)
        if len(self.since) < self.LEAST or not usual or not whole.calls:
            return ""
        _, firsts, was_bad, took = usual
        bad, lasts = whole.bad_calls / whole.calls, whole.call_ms / whole.calls
        if whole.firsts / self.LEAST > self.LOAD * firsts:
            return ""
        if bad < was_bad + self.MORE_BAD and lasts < self.LONGER * took:
            return ""
        return (
            f"below, all are worse off since this wave has the version, and no more tasks come: {bad:.0%} of"
            f" calls go badly (before: {was_bad:.0%}), {lasts:.0f} ms each (before: {took:.0f})"
        )


FALLS_BY_CHANCE = (
    0.01  # of releases that harm nobody: so often such falls would be the released ones' alone
)


def falls(release: Release, state: State) -> str:
    """Whether released nodes' servers end unasked more often than chance has it: each fall would be one of
    theirs as often as they are many, at the most, since they have had the version for a part of the time only
    (a binomial tail).
    """
    nodes = [state.releases.nodes[name] for name in release.nodes if name in state.releases.nodes]
    ours = [node.falls for node in nodes if state.releases.has(release, node.name)]
    mine, many, whole = sum(ours), len(ours), sum(node.falls for node in nodes)
    if not mine or many == len(nodes):
        return ""
    part = many / len(nodes)
    chance = sum(
        math.comb(whole, at) * part**at * (1.0 - part) ** (whole - at)
        for at in range(mine, whole + 1)
    )
    if chance > FALLS_BY_CHANCE:
        return ""
    rest = len(nodes) - many
    return f"{mine} ends that nobody asked for at {many} released nodes, {whole - mine} at the other {rest}"


class Memory:
    """What released processes hold against the others of their zone, once both are warm."""

    MUCH, LEAST_MB = 1.5, 64.0  # times as much, and by so much: below, nobody falls over for it
    WINDOWS = 10  # in a row

    def __init__(self) -> None:
        self.row = 0
        self.text = ""

    def tell(self, zones: Iterable[tuple[list[float], list[float]]]) -> None:
        """Of each zone what the others hold, and what the released ones do."""
        found = [(median(ours), max(others)) for others, ours in zones if others and ours]
        over = [
            pair
            for pair in found
            if pair[0] > self.MUCH * pair[1] and pair[0] > pair[1] + self.LEAST_MB
        ]
        self.row = self.row + 1 if over else 0
        if over:
            self.text = f"a released process holds {over[0][0]:.0f} MB, the others of its zone {over[0][1]:.0f}"

    def harm(self) -> str:
        return self.text if self.row >= self.WINDOWS else ""


class Soak(NamedTuple):
    """Since when a wave has nothing missing."""

    wave: int
    since: float


NO_SOAK = Soak(-1, 0.0)


class Trial:
    """Of one release, as this leader has seen it."""

    def __init__(self) -> None:
        self.tasks, self.calls = Judge(), Judge()
        self.pressure, self.both, self.memory = Pressure(), Both(), Memory()
        self.soak = NO_SOAK
        self.silent: dict[str, float] = {}
        self.told_at = float("-inf")
        self.text = "nothing was looked at yet"


class Counts(NamedTuple):
    """What a member's process has told last."""

    life: str
    since: float  # when that process was first heard
    rows: dict[str, Row]  # by class


class Watch:
    WINDOW_MS = 1000.0  # members speak twice in it
    WARM_MS = 2000.0  # of a new process, which is slower for no fault of its version
    SILENT_MS = 2000.0  # beyond the majority's word, for its neighbours' silence to be known too
    USUAL = 30  # windows that tell what is usual: half a minute, so that an hour's change of load is none
    AGAIN_MS = 2000.0  # before the same word is proposed again

    def __init__(self) -> None:
        self.last: dict[str, Counts] = {}  # by member
        self.fresh: dict[str, dict[str, Row]] = {}
        self.memory: dict[str, float] = {}  # MB that each holds
        self.trials: dict[str, Trial] = {}
        self.usual: list[Row] = []  # of all members together, window by window
        self.window_at = 0.0

    def warm(self, since: float) -> bool:
        return self.window_at - since > self.WARM_MS + self.WINDOW_MS

    def told(
        self, now: float, name: str, life: str, rows: dict[str, Row], memory_mb: float = 0.0
    ) -> None:
        self.memory[name] = memory_mb
        held = self.last.get(name)
        if held is None or held.life != life:
            self.last[name] = Counts(life, now, rows)
            return
        self.last[name] = Counts(life, held.since, rows)
        if now - held.since < self.WARM_MS:
            return
        fresh = self.fresh.setdefault(name, {})
        for kind, row in rows.items():
            more = row.less(held.rows.get(kind, Row()))
            fresh[kind] = fresh.get(kind, Row()).plus(more)

    def look(self, now: float, state: State) -> list[tuple[Any, ...]]:
        """The entries that this leader is to propose."""
        # Of a release of budgets there is nothing to compare.
        self.trials = {
            each.name: self.trials.get(each.name, Trial()) for each in state.releases.open()
        }
        if now >= self.window_at:
            self.window_at = now + self.WINDOW_MS
            whole = sum_of(row for kinds in self.fresh.values() for row in kinds.values())
            if whole.tasks:
                self.usual = [*self.usual, whole][-self.USUAL :]
            for each in state.releases.open():
                if each.slot != BUDGETS:
                    self.window(each, state, self.trials[each.name], whole)
            self.fresh = {}
        found = []
        for release in state.releases.active():
            if release.state not in FORWARD:
                continue
            trial = self.trials[release.name]
            entry = (
                self.harm(now, release, state, trial)
                or self.what_is_usual(release, state)
                or self.soaked(now, release, state, trial)
            )
            if entry and now - trial.told_at >= self.AGAIN_MS:
                trial.told_at = now
                found.append(entry)
        return found

    def window(self, release: Release, state: State, trial: Trial, whole: Row) -> None:
        sides: dict[str, list[Row]] = defaultdict(lambda: [Row(), Row()])
        for name, kinds in self.fresh.items():
            member = state.members.get(name)
            if member is None or state.is_out(member):
                continue
            released = state.releases.has(release, name)
            for kind, row in kinds.items():
                side = sides[f"{member.zone or 'no zone'}, {member.cell or 'no cell'}, {kind}"]
                side[released] = side[released].plus(row)
        for stratum, (others, ours) in sorted(sides.items()):
            for released, row in ((False, others), (True, ours)):
                trial.tasks.tell(Told(stratum, released, int(row.tasks), int(row.bad)))
                trial.calls.tell(
                    Told(f"{stratum}, calls below", released, int(row.calls), int(row.bad_calls))
                )
            trial.pressure.tell((others.tasks, ours.tasks), (others.calls, ours.calls))
        trial.both.tell(whole, self.moved(release, state))
        held: dict[str, tuple[list[float], list[float]]] = defaultdict(lambda: ([], []))
        for name, (life, since, _) in self.last.items():
            member = state.members.get(name)
            if member is not None and member.life == life and self.warm(since):
                held[member.zone][state.releases.has(release, name)].append(self.memory[name])
        trial.memory.tell(held.values())
        trial.text = trial.tasks.close().text
        trial.calls.close()

    @staticmethod
    def moved(release: Release, state: State) -> bool:
        """Whether any of the wave may have the version by now."""
        nodes = (state.releases.nodes.get(name) for name in release.waves[release.wave])
        return any(
            node is not None and node.may_run(release.slot, release.version) for node in nodes
        )

    def what_is_usual(self, release: Release, state: State) -> tuple[Any, ...]:
        """Said while none of the wave has moved, by a leader that has looked on for long enough."""
        known = release.usual and release.usual[0] == release.wave
        whole = sum_of(self.usual)
        if known or len(self.usual) < Both.LEAST or not whole.calls or self.moved(release, state):
            return ()
        figures = (
            whole.firsts / len(self.usual),
            whole.bad_calls / whole.calls,
            whole.call_ms / whole.calls,
        )
        return ("usual", release.name, release.wave, figures)

    def harm(self, now: float, release: Release, state: State, trial: Trial) -> tuple[Any, ...]:
        on = [name for name in release.nodes if state.releases.has(release, name)]
        for judge in (trial.tasks, trial.calls):
            if (verdict := judge.verdict()).harm:
                return ("harm", release.name, "judgement", tuple(on), verdict.text)
        why = trial.pressure.harm() or trial.both.harm(release.usual) or trial.memory.harm()
        if why := why or falls(release, state):
            return ("harm", release.name, "judgement", tuple(on), why)
        for name in on:
            if why := self.silence(now, name, release, state, trial):
                return ("harm", release.name, "silence", (name,), why)
        return ()

    def silence(self, now: float, name: str, release: Release, state: State, trial: Trial) -> str:
        """A sign by itself only where its neighbours are heard: else the zone is cut off, and nobody
        knows.
        """
        member = state.members.get(name)
        if member is None or not member.against:
            trial.silent.pop(name, None)
            return ""
        if now - trial.silent.setdefault(name, now) < self.SILENT_MS:
            return ""
        neighbours = [
            each
            for each in state.members.values()
            if each.zone == member.zone and each.name != name
        ]
        if not neighbours or any(each.against == SILENT for each in neighbours):
            return ""
        return f"{name} is {member.against}, and its neighbours are not"

    def soaked(self, now: float, release: Release, state: State, trial: Trial) -> tuple[Any, ...]:
        """A node that goes out again stops the clock."""
        if release.state != SOAKING or release.asks:
            return ()
        if release.slot != BUDGETS and state.releases.missing(release):
            trial.soak = NO_SOAK
            return ()
        if trial.soak.wave != release.wave:
            trial.soak = Soak(release.wave, now)
        took = now - trial.soak.since
        if took < release.soak_ms:
            return ()
        wave = [
            state.members[name] for name in release.waves[release.wave] if name in state.members
        ]
        if release.slot == BUDGETS or (wave and all(each.voter for each in wave)):
            return (
                "soaked",
                release.name,
                release.wave,
                True,
                f"nothing was wrong for {took / 1000.0:.0f} s",
            )
        verdict = trial.tasks.verdict()
        if verdict.known or took >= release.soak_ms + release.wait_ms:
            return ("soaked", release.name, release.wave, verdict.known, verdict.text)
        return ()
