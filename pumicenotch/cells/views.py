"""What a router has seen of each node, and which it would send a task to. One reducer; chance is handed in.

A view is knowledge with an age: what a node said or did counts in full at first and fades to nothing known,
so that a node that nobody sends to is tried again by itself. Advice is kept to whatever else is seen.
"""

from collections.abc import Callable, Iterable, Sequence
from math import exp
from typing import NamedTuple

FADE_MS = (
    4000.0  # after which what was seen counts a third: some reports of load, a restart of a node
)
# tries in a row that came to nothing, after which a node is ejected: one is a connection, three a node
PATIENCE = 3
# doubling: a restart takes seconds, a dead node costs a probe a minute
EJECTED_MS, EJECTED_MOST_MS = 1000.0, 30_000.0
FLOOR = (
    0.5  # of a cell's nodes are never ejected: when most look dead, the looker may be what is wrong
)


class View:
    """One node, as seen from here."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.open = 0
        # the weight it asks for by its answers, 0 to 1, and since when
        self.load, self.told_at = 1.0, float("-inf")
        self.away_until = 0.0  # it asked to stay away
        self.answer_ms, self.answered_at = 0.0, float("-inf")
        self.missed = 0  # tries in a row that came to nothing
        self.ejections = 0  # in a row
        self.ejected_until = 0.0
        self.probing = False  # one task is on its way to see whether it is back
        self.draining = False

    def fresh(self, now: float, since: float) -> float:
        """The part that knowledge of that age still counts."""
        return exp(min(0.0, since - now) / FADE_MS)

    def ask(self, now: float) -> float:
        """The weight that it asks for; what it said long ago is forgotten."""
        part = self.fresh(now, self.told_at)
        return max(0.01, part * self.load + (1.0 - part))


class Choice(NamedTuple):
    node: str
    probe: bool  # the node is ejected: this task sees whether it is back


class Views:
    """Views of nodes by name. `draw` gives numbers from 0 to 1 from one seeded generator."""

    MOST = (
        4096  # nodes remembered: more than any router's map; then the one not seen for longest goes
    )

    def __init__(self, draw: Callable[[], float]) -> None:
        self.draw = draw
        self.views: dict[str, View] = {}
        self.typical_ms = 0.0

    def view(self, node: str, weight: float = 1.0) -> View:
        found = self.views.get(node)
        if found is None:
            if len(self.views) >= self.MOST:
                idle = [name for name, each in self.views.items() if not each.open]
                if idle:
                    del self.views[min(idle, key=lambda name: self.views[name].answered_at)]
            found = self.views[node] = View(weight)
        return found

    def keep(self, nodes: Iterable[str]) -> None:
        """The map has these nodes and no others: what is open on the others stays known until it ends."""
        known = set(nodes)
        for name in [
            each for each, view in self.views.items() if each not in known and not view.open
        ]:
            del self.views[name]

    # What happens

    def sent(self, node: str, probe: bool = False) -> None:
        view = self.view(node)
        view.open += 1
        view.probing = view.probing or probe

    def answered(
        self,
        now: float,
        node: str,
        took_ms: float,
        load: float | None,
        away_ms: float,
        served: bool,
    ) -> None:
        """Any whole answer: the node is alive. Its advice counts; how long it took counts if it served."""
        view = self.view(node)
        view.open = max(0, view.open - 1)
        view.missed, view.ejections, view.probing, view.ejected_until = 0, 0, False, 0.0
        view.answered_at = now
        if load is not None:
            view.load, view.told_at = max(0.0, min(1.0, load)), now
        if away_ms > 0.0:
            view.away_until = max(view.away_until, now + away_ms)
        if served:
            view.answer_ms += 0.2 * (took_ms - view.answer_ms) if view.answer_ms else took_ms
            self.typical_ms += 0.02 * (took_ms - self.typical_ms) if self.typical_ms else took_ms

    def missed(self, now: float, node: str) -> None:
        """No connection, or one that ended without an answer, or none in time."""
        view = self.view(node)
        view.open = max(0, view.open - 1)
        view.missed += 1
        if view.probing or view.missed >= PATIENCE:
            span = min(EJECTED_MOST_MS, EJECTED_MS * 2.0 ** min(view.ejections, 10))
            view.ejected_until, view.ejections = now + span, view.ejections + 1
            view.missed, view.probing = 0, False

    def given_up(self, node: str) -> None:
        """The caller has gone: nothing is learnt of the node."""
        view = self.view(node)
        view.open = max(0, view.open - 1)

    def drains(self, node: str, draining: bool) -> None:
        self.view(node).draining = draining

    # What it says

    def ejected(self, now: float, nodes: Sequence[str]) -> set[str]:
        """Those of these nodes that get nothing for now. Never more than all but the floor: those that were
        ejected last are taken back first.
        """
        out = [node for node in nodes if self.view(node).ejected_until > now]
        most = int((1.0 - FLOOR) * len(nodes))
        out.sort(
            key=lambda node: (self.view(node).ejections, self.view(node).ejected_until),
            reverse=True,
        )
        return set(out[:most])

    def choose(
        self, now: float, nodes: Sequence[tuple[str, float]], probes: bool = True
    ) -> list[Choice]:
        """The nodes of a tenant (with their weights) by preference, for a task that any of them may run.
        Those that drain, asked to be stayed away from, or are ejected come not at all; one whose time is
        over comes first, as a probe, if this task may be one. Empty: all said that they want none, and none
        is to be bothered.
        """
        names = [node for node, _ in nodes]
        for node, weight in nodes:
            self.view(node, weight).weight = weight
        out = self.ejected(now, names)
        found: list[tuple[float, str]] = []
        probe: str | None = None
        for node in names:
            view = self.views[node]
            if view.draining or view.away_until > now or node in out:
                continue
            returning = view.ejections > 0 and view.ejected_until <= now
            if returning and not view.probing and probes and probe is None:
                probe = node
            elif not returning or view.ejected_until > now:
                found.append((self.cost(now, view), node))
        found.sort()
        chosen = [Choice(node, False) for _, node in found]
        return [Choice(probe, True), *chosen] if probe is not None else chosen

    def cost(self, now: float, view: View) -> float:
        """What one task more would meet there: its open ones by the weight it asks for, stretched by how
        late it answers against the others. Some chance, or all routers would pick the same one.
        """
        late = 1.0
        if self.typical_ms and view.answer_ms:
            part = view.fresh(now, view.answered_at)
            late = part * max(0.25, view.answer_ms / self.typical_ms) + (1.0 - part)
        return (view.open + 1.0) * late / (view.weight * view.ask(now)) * (1.0 + 0.2 * self.draw())
