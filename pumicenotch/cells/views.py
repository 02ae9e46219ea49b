"""Selects nodes for requests that any node of a tenant may run, from what this router has observed.

Observations lose weight with their age: a node's load or latency counts in full at first and then
decays, so that a node without traffic is tried again. A node's request to back off is always
honoured, whatever else has been observed. The module has no clock and no generator of its own.
"""

from collections.abc import Callable, Iterable, Sequence
from math import exp
from typing import NamedTuple

# The time after which an observation has about a third (1/e) of its weight: several load reports, or
# the restart of a node.
DECAY_MS = 4000.0
# Failures in a row that eject a node. One may be due to the connection; three are due to the node.
MAX_FAILURES = 3
# The ejection time doubles with each ejection in a row: a restart takes seconds, and a dead node
# costs about one probe per minute.
EJECTION_MS, MAX_EJECTION_MS = 1000.0, 30_000.0
# The share of a cell's nodes that is never ejected: when most nodes seem dead, the fault may be this
# router's.
MIN_AVAILABLE_SHARE = 0.5


class NodeState:
    """What this router has observed of one node.

    Attributes:
        weight: The node's weight in the cell map.
        open: The number of unanswered requests.
        load_weight: The weight that the node requests in its answers, 0 to 1.
        load_weight_at: When the node last requested it.
        backoff_until: Until when the node has asked for no requests.
        latency_ms: The moving average of the time of served requests; 0 before the first.
        answered_at: When the node last answered.
        failures: Attempts in a row without an answer.
        ejections: Ejections in a row.
        ejected_until: The end of the current or last ejection; 0 after an answer.
        probing: Whether a request that probes an ejected node is open.
        draining: Whether the node drains.
    """

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.open = 0
        self.load_weight, self.load_weight_at = 1.0, float("-inf")
        self.backoff_until = 0.0
        self.latency_ms, self.answered_at = 0.0, float("-inf")
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.probing = False
        self.draining = False

    def freshness(self, now: float, since: float) -> float:
        """Returns the weight, 0 to 1, of an observation made at the time `since`."""
        return exp(min(0.0, since - now) / DECAY_MS)

    def effective_weight(self, now: float) -> float:
        """Returns the weight that the node requests, which decays to 1 with its age."""
        freshness = self.freshness(now, self.load_weight_at)
        return max(0.01, freshness * self.load_weight + (1.0 - freshness))


class Choice(NamedTuple):
    """A node to try. `probe` is set for an ejected node, which the request probes."""

    node: str
    probe: bool


class NodeSelector:
    """Tracks nodes by name and ranks them for requests. All times are in ms.

    Args:
        draw: Returns random numbers from 0 to 1, from a seeded generator.
    """

    # Nodes tracked: more than the map of any router has. Beyond this number, the idle node whose
    # last answer is the oldest is removed.
    MAX_NODES = 4096

    def __init__(self, draw: Callable[[], float]) -> None:
        self.draw = draw
        self.states: dict[str, NodeState] = {}
        self.typical_latency_ms = 0.0

    def state(self, node: str, weight: float = 1.0) -> NodeState:
        """Returns the state of a node, which is created if missing."""
        state = self.states.get(node)
        if state is None:
            if len(self.states) >= self.MAX_NODES:
                idle = [name for name, each in self.states.items() if not each.open]
                if idle:
                    del self.states[min(idle, key=lambda name: self.states[name].answered_at)]
            state = self.states[node] = NodeState(weight)
        return state

    def retain(self, nodes: Iterable[str]) -> None:
        """Removes all nodes but these. A node with open requests stays until they end."""
        known = set(nodes)
        for name in [
            each for each, state in self.states.items() if each not in known and not state.open
        ]:
            del self.states[name]

    def on_sent(self, node: str, probe: bool = False) -> None:
        """Records a request that was sent to the node."""
        state = self.state(node)
        state.open += 1
        state.probing = state.probing or probe

    def on_answered(
        self,
        now: float,
        node: str,
        latency_ms: float,
        load_weight: float | None,
        backoff_ms: float,
        served: bool,
    ) -> None:
        """Records a complete answer of any kind, which shows that the node is alive.

        Args:
            now: The current time.
            node: The node.
            latency_ms: The time since the request was sent; recorded only if it was served.
            load_weight: The weight that the node requests, 0 to 1; None without one.
            backoff_ms: For how long the node asks for no requests.
            served: Whether the request was served.
        """
        state = self.state(node)
        state.open = max(0, state.open - 1)
        state.failures, state.ejections, state.probing, state.ejected_until = 0, 0, False, 0.0
        state.answered_at = now
        if load_weight is not None:
            state.load_weight, state.load_weight_at = max(0.0, min(1.0, load_weight)), now
        if backoff_ms > 0.0:
            state.backoff_until = max(state.backoff_until, now + backoff_ms)
        if served:
            state.latency_ms += (
                0.2 * (latency_ms - state.latency_ms) if state.latency_ms else latency_ms
            )
            self.typical_latency_ms += (
                0.02 * (latency_ms - self.typical_latency_ms)
                if self.typical_latency_ms
                else latency_ms
            )

    def on_failed(self, now: float, node: str) -> None:
        """Records a refused connection, or one that ended without an answer."""
        state = self.state(node)
        state.open = max(0, state.open - 1)
        state.failures += 1
        if state.probing or state.failures >= MAX_FAILURES:
            ejection_ms = min(MAX_EJECTION_MS, EJECTION_MS * 2.0 ** min(state.ejections, 10))
            state.ejected_until, state.ejections = now + ejection_ms, state.ejections + 1
            state.failures, state.probing = 0, False

    def on_abandoned(self, node: str) -> None:
        """Records a request that was given up before its answer, which shows nothing about the node."""
        state = self.state(node)
        state.open = max(0, state.open - 1)

    def set_draining(self, node: str, draining: bool) -> None:
        """Records whether the node drains."""
        self.state(node).draining = draining

    def ejected(self, now: float, nodes: Sequence[str]) -> set[str]:
        """Returns which of the nodes are ejected.

        MIN_AVAILABLE_SHARE of the nodes always remain: the nodes with the fewest ejections in a
        row, and of these the ones that return first, remain available.
        """
        ejected = [node for node in nodes if self.state(node).ejected_until > now]
        max_ejected = int((1.0 - MIN_AVAILABLE_SHARE) * len(nodes))
        ejected.sort(
            key=lambda node: (self.state(node).ejections, self.state(node).ejected_until),
            reverse=True,
        )
        return set(ejected[:max_ejected])

    def choose(
        self, now: float, nodes: Sequence[tuple[str, float]], may_probe: bool = True
    ) -> list[Choice]:
        """Returns the nodes to try, by preference.

        Nodes that drain, have asked for a backoff, or are ejected are left out. One node whose ejection
        has ended comes first, as a probe. The list is empty if all nodes asked for no requests: none may
        be sent to then.

        Args:
            now: The current time.
            nodes: The tenant's nodes with their weights.
            may_probe: Whether the request may probe a node that may be dead.
        """
        names = [node for node, _ in nodes]
        for node, weight in nodes:
            self.state(node, weight).weight = weight
        ejected = self.ejected(now, names)
        ranked: list[tuple[float, str]] = []
        probe: str | None = None
        for node in names:
            state = self.states[node]
            if state.draining or state.backoff_until > now or node in ejected:
                continue
            is_returning = state.ejections > 0 and state.ejected_until <= now
            if is_returning and not state.probing and may_probe and probe is None:
                probe = node
            elif not is_returning or state.ejected_until > now:
                ranked.append((self.cost(now, state), node))
        ranked.sort()
        choices = [Choice(node, False) for _, node in ranked]
        return [Choice(probe, True), *choices] if probe is not None else choices

    def cost(self, now: float, state: NodeState) -> float:
        """Returns the expected cost of one more request on the node.

        The cost is the number of open requests by weight, times the node's latency relative to all
        nodes. A random factor of up to 1.2 keeps routers from all choosing the same node.
        """
        slowness = 1.0
        if self.typical_latency_ms and state.latency_ms:
            freshness = state.freshness(now, state.answered_at)
            slowness = freshness * max(0.25, state.latency_ms / self.typical_latency_ms) + (
                1.0 - freshness
            )
        return (
            (state.open + 1.0)
            * slowness
            / (state.weight * state.effective_weight(now))
            * (1.0 + 0.2 * self.draw())
        )
