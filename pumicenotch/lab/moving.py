"""A model of moves for the checker: routers, nodes, one idempotency key and its attempts, with messages that are
late or lost, requests that routers and nodes read late, memory that ends, nodes and routers that crash, maps
that come when they come. Everything that is decided is decided by `cells/`.
"""

from collections.abc import Iterator
from math import inf
from typing import Any, NamedTuple

from pumicenotch.cells.fence import Fence, Role, Verdict
from pumicenotch.cells.map import CellMap
from pumicenotch.cells.moves import may_publish_to_routers
from pumicenotch.cells.walk import (
    RESULT_BY_VERDICT,
    Route,
    RouteResult,
    Send,
    SendResult,
    Step,
    plan_route,
)
from pumicenotch.interface import Idempotency

TENANT, TOKEN = "t", "fingerprint"


class Peer(NamedTuple):
    """A node: `life` counts its starts, `ran_at` is when the attempt came that this life has run."""

    up: bool
    life: int
    started: float
    file: int  # the epoch of the map in its file
    epoch: int  # the newest it has seen of the tenant, by stamps; of this life
    ran_at: float | None


class Router(NamedTuple):
    held: int  # the epoch of its map; 0: it is down
    told: int  # of the map in its file
    confirmed: float


class Try(NamedTuple):
    """One try at a router: its walk as values, or its end. It may be read later than it arrived."""

    number: int
    arrived_at: float
    router: int
    epoch: int
    asks: tuple[str, ...]
    home: str
    asked: str
    end: str


class Letter(NamedTuple):
    """Something on its way: to a node, or an answer back. A late one has no reader any more."""

    number: int  # of the try
    node: str
    life: int  # of the node that it was sent to, or came from: a connection ends with either
    role: Role
    epoch: int
    said: SendResult | None  # None on the way there
    late: bool


class Run(NamedTuple):
    node: str
    life: int
    number: int


class State(NamedTuple):
    now: float
    peers: tuple[Peer, ...]
    routers: tuple[Router, ...]
    tries: tuple[Try, ...]
    letters: frozenset[Letter]
    runs: tuple[Run, ...]
    crashes: int
    losses: int
    restarts: int
    ready: tuple[float, ...]  # when every node concerned had each epoch, from 2 on; -1: not yet


class Moving:
    """`maps` follow each other by epochs from 1 on, as `moves` made them at the times given: each is made
    known from its time on, and one that settles the one before only if by then every node had that one.
    Bounds: tries, crashes of nodes, lost connections, restarts of routers, steps of time.

    `forced` are nodes that never get another map, and count as told; `cut` are pairs of a router and a node
    that do not reach each other; `unheard` are routers that the control plane reaches no more.

    A router reads a try up to `read_delay` after it came, in steps of time. A node runs it until `limit` after
    it came, and remembers it for as long after the window; both are without end by default.
    """

    fence: type[Fence] = Fence
    walks: Any = staticmethod(plan_route)
    walk_type: type[Route] = Route

    def __init__(
        self,
        maps: list[CellMap],
        times: list[float],
        *,
        routers: int = 2,
        tries: int = 2,
        crashes: int = 1,
        losses: int = 1,
        restarts: int = 0,
        until: float = 0.0,
        step: float = 0.0,
        careful: bool = True,
        settles: frozenset[int] = frozenset(),
        forced: tuple[str, ...] = (),
        cut: frozenset[tuple[int, str]] = frozenset(),
        unheard: frozenset[int] = frozenset(),
        read_delay: float = 0.0,
        limit: float = inf,
    ) -> None:
        self.maps, self.times, self.count = {each.epoch: each for each in maps}, times, routers
        self.bounds = (tries, crashes, losses, restarts)
        self.window, self.until, self.step = maps[0].window_ms, until, step
        self.leased = maps[0].lease_ms > 0.0
        self.settles, self.forced, self.cut, self.unheard = settles, forced, cut, unheard
        self.read_delay, self.limit = read_delay, limit
        self.careful = careful  # routers are told as `moves` says, not at any time
        self.names = sorted(
            {node.name for each in maps for cell in each.cells.values() for node in cell.nodes}
        )

    def first(self) -> State:
        peers = tuple(Peer(True, 1, -10.0 * self.window, 1, 0, None) for _ in self.names)
        routers = tuple(Router(1, 1, 0.0) for _ in range(self.count))
        _, crashes, losses, restarts = self.bounds
        ready = (-1.0,) * (len(self.maps) - 1)
        return State(0.0, peers, routers, (), frozenset(), (), crashes, losses, restarts, ready)

    # What may happen next

    def after(self, state: State) -> Iterator[tuple[str, State]]:
        yield from self.time(state)
        yield from self.maps_spread(state)
        yield from self.tries_begin(state)
        for letter in sorted(state.letters, key=repr):
            yield from self.arrives(state, letter)
        yield from self.crashes(state)

    def time(self, state: State) -> Iterator[tuple[str, State]]:
        if self.step and state.now + self.step <= self.until:
            now = state.now + self.step
            yield f"time is {now:g}", state._replace(now=now)

    def maps_spread(self, state: State) -> Iterator[tuple[str, State]]:
        """Files of nodes first, those of routers as `may_publish_to_routers` says; a router reads its file when it
        does, and is confirmed with the newest map only.
        """
        newest = 1
        for epoch in range(2, len(self.maps) + 1):
            if state.now < self.times[epoch - 1]:
                continue
            if epoch in self.settles and not 0.0 <= state.ready[epoch - 3] <= self.times[epoch - 1]:
                break
            for at, peer in enumerate(state.peers):
                if peer.file == epoch - 1 and self.names[at] not in self.forced:
                    new = self.readied(self.peer(state, at, file=epoch), epoch)
                    yield f"{self.names[at]}'s file holds epoch {epoch}", new
            if self.careful and not self.told_to_nodes(state, epoch):
                continue
            newest = epoch
            for at, router in enumerate(state.routers):
                if router.told == epoch - 1 and at not in self.unheard:
                    yield (
                        f"router {at}'s file holds epoch {epoch}",
                        self.router(state, at, told=epoch),
                    )
        for at, router in enumerate(state.routers):
            # Without a lease nobody looks at when a map was confirmed.
            fresh = self.leased and router.told >= newest and at not in self.unheard
            if router.held != router.told or (fresh and router.confirmed != state.now):
                confirmed = state.now if fresh else router.confirmed
                line = f"router {at} goes by epoch {router.told}{', confirmed' if fresh else ''}"
                yield line, self.router(state, at, held=router.told, confirmed=confirmed)

    def told_to_nodes(self, state: State, epoch: int) -> bool:
        nodes = {name: peer.file for name, peer in zip(self.names, state.peers, strict=True)}
        return may_publish_to_routers(self.maps[epoch - 1], self.maps[epoch], nodes, self.forced)

    def readied(self, state: State, epoch: int) -> State:
        if state.ready[epoch - 2] >= 0.0 or not self.told_to_nodes(state, epoch):
            return state
        ready = (*state.ready[: epoch - 2], state.now, *state.ready[epoch - 1 :])
        return state._replace(ready=ready)

    def tries_begin(self, state: State) -> Iterator[tuple[str, State]]:
        if len(state.tries) >= self.bounds[0]:
            return
        for arrived_at in self.arrivals(state):
            for at in range(len(state.routers)):
                yield self.read(state, arrived_at, at)

    def arrivals(self, state: State) -> Iterator[float]:
        """When a try that is read now may have come: within a window of the first one."""
        arrived_at, earliest = state.now, max(0.0, state.now - self.read_delay)
        while arrived_at >= earliest:
            if not state.tries or abs(arrived_at - state.tries[0].arrived_at) < self.window:
                yield arrived_at
            if not self.step:
                return
            arrived_at -= self.step

    def read(self, state: State, arrived_at: float, at: int) -> tuple[str, State]:
        """The router `at` reads a try and takes the first step of its walk."""
        number, router = len(state.tries) + 1, state.routers[at]
        late = f", {state.now - arrived_at:g} ms late" if arrived_at < state.now else ""
        begun = self.walks(
            self.maps[router.held],
            router.confirmed,
            state.now,
            arrived_at,
            TENANT,
            Idempotency.KEYED,
            TOKEN,
            [],
        )
        if isinstance(begun, RouteResult):
            made = Try(number, arrived_at, at, router.held, (), "", "", begun.kind)
            line = f"try {number} at router {at}{late}: {begun.kind}, {begun.reason}"
            return line, state._replace(tries=(*state.tries, made))
        step = begun.start()
        made = Try(
            number,
            arrived_at,
            at,
            begun.epoch,
            tuple(begun.former_homes),
            begun.home,
            begun.asked_home,
            "",
        )
        new = state._replace(tries=(*state.tries, made))
        line = f"try {number} at router {at}{late}, by epoch {router.held}: {self.told(step)}"
        return line, self.sent(new, number, step)

    def arrives(self, state: State, letter: Letter) -> Iterator[tuple[str, State]]:
        gone = state._replace(letters=state.letters - {letter})
        at = self.names.index(letter.node)
        peer = state.peers[at]
        if letter.said is not None:
            if letter.late:
                yield f"a late answer to try {letter.number} finds nobody", gone
                return
            yield from self.answered(gone, letter, letter.said, "")
            if state.losses:
                lost = gone._replace(losses=state.losses - 1)
                yield from self.answered(lost, letter, SendResult.BROKEN, "its connection breaks: ")
            return
        router = state.tries[letter.number - 1].router
        if (router, letter.node) in self.cut:
            yield from self.answered(
                gone, letter, SendResult.REFUSED, f"router {router} does not reach {letter.node}: "
            )
            return
        if not peer.up or peer.life != letter.life:
            if not letter.late:
                said = (
                    SendResult.REFUSED
                    if not peer.up and letter.life == peer.life
                    else SendResult.BROKEN
                )
                yield from self.answered(
                    gone, letter, said, f"{letter.node} is not there any more: "
                )
            else:
                yield f"{letter.node} is gone: a late try {letter.number} is lost", gone
            return
        yield self.judged(gone, letter, at)
        if state.losses and not letter.late:
            # The router sees its connection break; what it wrote may still arrive.
            late = gone._replace(
                losses=state.losses - 1, letters=gone.letters | {letter._replace(late=True)}
            )
            yield from self.answered(
                late, letter, SendResult.BROKEN, "its connection breaks on the way there: "
            )

    def judged(self, state: State, letter: Letter, at: int) -> tuple[str, State]:
        peer = state.peers[at]
        fence = self.fence(peer.started, self.window, self.maps[peer.file])
        if peer.epoch:
            fence.epochs[TENANT] = peer.epoch
        arrived_at = state.tries[letter.number - 1].arrived_at
        known = self.remembers(peer, state.now, arrived_at)
        verdict = self.fence_check(fence, state, letter, known)
        new = self.peer(state, at, epoch=fence.epochs.get(TENANT, 0))
        said = RESULT_BY_VERDICT.get(verdict, SendResult.SERVED)
        if verdict is Verdict.RUN and state.now >= arrived_at + self.limit:
            said = SendResult.REJECTED  # too late to run
        elif verdict is Verdict.RUN:
            new = self.peer(new, at, ran_at=arrived_at)
            new = new._replace(runs=(*new.runs, Run(letter.node, peer.life, letter.number)))
        back = letter._replace(said=said)
        what = f"try {letter.number} as {letter.role.name} by epoch {letter.epoch}"
        late = ", too late" if said is SendResult.REJECTED else ""
        line = f"{letter.node} gets {what}: {verdict.name}{late}"
        return line, new._replace(letters=new.letters | {back})

    def fence_check(self, fence: Fence, state: State, letter: Letter, known: bool) -> Verdict:
        arrived_at = state.tries[letter.number - 1].arrived_at
        return fence.check(arrived_at, TENANT, letter.epoch, letter.role, known)

    def remembers(self, peer: Peer, now: float, arrived_at: float) -> bool:
        """As `ResultCache`: what came within the window, for as long as it may be read."""
        if peer.ran_at is None:
            return False
        window_ends_at = peer.ran_at + self.window
        return arrived_at <= window_ends_at and now < window_ends_at + self.limit

    def answered(
        self, state: State, letter: Letter, said: SendResult, why: str
    ) -> Iterator[tuple[str, State]]:
        held = state.tries[letter.number - 1]
        if held.end:
            yield f"{why}try {letter.number} has ended already", state
            return
        path = self.walk_type(Idempotency.KEYED, held.epoch, None, [])
        path.former_homes, path.home, path.asked_home = list(held.asks), held.home, held.asked
        step = path.on_result(said)
        end = step.kind if isinstance(step, RouteResult) else ""
        made = held._replace(asks=tuple(path.former_homes), asked=path.asked_home, end=end)
        tries = (*state.tries[: letter.number - 1], made, *state.tries[letter.number :])
        line = (
            f"{why}router {held.router} hears {said.name} of try {letter.number}: {self.told(step)}"
        )
        yield line, self.sent(state._replace(tries=tries), letter.number, step)

    def sent(self, state: State, number: int, step: Step) -> State:
        if isinstance(step, RouteResult):
            return state
        peer = state.peers[self.names.index(step.node)]
        letter = Letter(number, step.node, peer.life, step.role, step.epoch, None, False)
        return state._replace(letters=state.letters | {letter})

    def crashes(self, state: State) -> Iterator[tuple[str, State]]:
        for at, peer in enumerate(state.peers):
            if peer.up and state.crashes:
                new = self.peer(state, at, up=False, ran_at=None, epoch=0)
                yield f"{self.names[at]} crashes", new._replace(crashes=state.crashes - 1)
            if not peer.up:
                started = state.now
                yield (
                    f"{self.names[at]} starts again",
                    self.peer(state, at, up=True, life=peer.life + 1, started=started),
                )
        for at, router in enumerate(state.routers):
            if state.restarts:
                tries = tuple(
                    each._replace(end="lost") if each.router == at and not each.end else each
                    for each in state.tries
                )
                letters = frozenset(
                    each._replace(late=True) if state.tries[each.number - 1].router == at else each
                    for each in state.letters
                )
                new = self.router(state, at, held=router.told, confirmed=state.now)
                yield (
                    f"router {at} restarts",
                    new._replace(tries=tries, letters=letters, restarts=state.restarts - 1),
                )

    def peer(self, state: State, at: int, **changes: Any) -> State:
        made = state.peers[at]._replace(**changes)
        return state._replace(peers=(*state.peers[:at], made, *state.peers[at + 1 :]))

    def router(self, state: State, at: int, **changes: Any) -> State:
        made = state.routers[at]._replace(**changes)
        return state._replace(routers=(*state.routers[:at], made, *state.routers[at + 1 :]))

    @staticmethod
    def told(step: Step) -> str:
        if isinstance(step, Send):
            return f"sends it to {step.node} as {step.role.name}"
        return f"answers {step.kind}, {step.reason}"

    # What must not be

    def wrong(self, state: State) -> str:
        """Two runs of one fingerprint, but where a home crashed after the first and nothing moved: what it
        ran went with its memory, as on a single server without a store. And no try that ran is rejected.
        """
        places = {run.node for run in state.runs}
        if len(places) > 1:
            return f"ran twice, on {' and '.join(sorted(places))}"
        lives = [(run.node, run.life) for run in state.runs]
        if len(set(lives)) < len(lives):
            return "ran twice on one node"
        ran = {run.number for run in state.runs}
        for each in state.tries:
            if each.end == "rejected" and each.number in ran:
                return f"try {each.number} ran and was rejected"
        return ""
