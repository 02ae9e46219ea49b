"""All decisions of one server. A carrier makes one AdmissionController per server from its start values and calls it for
each event; the AdmissionController answers in the same call, through its Actions (interface.py). Times are ms.

A task passes a chain of parts (duty, repeats, limit, queues); each passes it on, keeps it or ends it, and its
end runs back the other way. Which tenant's task starts next, and which is rejected, is HWCS as in
docs/design.md, which also lists the mechanisms beside it and when each acts.
"""

import heapq
import random
from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Collection
from itertools import accumulate, chain, count, repeat
from math import exp, log
from operator import mul, sub
from typing import Any, NamedTuple

from pumicenotch.interface import (
    Actions,
    CancelMode,
    DependencyKind,
    Idempotency,
    IncomingRequest,
    LoadFeedback,
    Outcome,
    Pools,
    RequestClass,
    RequestState,
    SlotOffer,
    SlotQuery,
    Tenant,
    WaitAllowance,
)

TICK_MS = (
    25.0  # the one timer: half the least slack seen fit for an answer, and cheap in any language
)
SAMPLE_MS = (
    1000.0  # the paper's 2 s halved: a surge of some seconds would be over before four long samples
)
NEVER_RAN = (
    Outcome.REJECTED,
    Outcome.UNREACHABLE,
    Outcome.NOT_STARTED,
)  # outcomes that prove a call never took effect


class ControllerSettings(NamedTuple):
    """What a deployment's settings say of the decisions.

    Attributes:
        request_classes: the classes of requests, by index.
        tenants: the tenants, by index; with none all requests are of one.
        gauges: the names of the values that come with each tick, in their order.
        cores: of this server.
        memory_kb: for requests, runs and kept idempotency keys.
        run_memory_factor: the memory of a run, as a multiple of its request's.
        key_memory_kb: what one idempotency key occupies, its result included.
        starts_cold: whether the server has yet to warm up.
        initial_speed: the fraction of its speed that a cold server starts with.
        warm_up_ms: the time from there to full speed.
        crash_load_factor: the runs on each core, at full speed, that crash the server.
        drain_grace_ms: the time from the notice to drain in which callers still send.
        servers: how many of them share the tenants' traffic.
        callers: how many of them send to this server.
        retry_after_supported: whether callers heed the wait that a rejection names.
        max_retry_after_ms: the longest such wait.
        cancel_mode: what the worker pool can do with a run that nobody waits for.
        load_feedback: the value by which callers are told how much this server can take.
        dependency_kind: who stands behind the dependency.
        dependency_quota: how many calls to a shared dependency this server may have open.
        dependency_window_ms: the time over which that quota holds on the mean.
        dependency_linger_ms: how long a call that timed out still occupies the dependency.
        idle_timeout_ms: after which idle connections are closed.
        listed_by_health: whether a server that is unhealthy leaves the list of endpoints.
    """

    request_classes: list[RequestClass]
    tenants: list[Tenant]
    gauges: list[str]
    cores: int = 1
    memory_kb: float = float("inf")
    run_memory_factor: float = 1.0
    key_memory_kb: float = 0.0
    starts_cold: bool = False
    initial_speed: float = 1.0
    warm_up_ms: float = 0.0
    crash_load_factor: float = 1.0
    drain_grace_ms: float = 0.0
    servers: int = 1
    callers: int = 1
    retry_after_supported: bool = False
    max_retry_after_ms: float = 0.0
    cancel_mode: CancelMode = CancelMode.NONE
    load_feedback: LoadFeedback = LoadFeedback.NONE
    dependency_kind: DependencyKind = DependencyKind.NONE
    dependency_quota: float = 1.0
    dependency_window_ms: float = 0.0
    dependency_linger_ms: float = 0.0
    idle_timeout_ms: float = 0.0
    listed_by_health: bool = False


class Request:
    """One try as it was read, and how far it is."""

    def __init__(
        self, ident: int, stage_no: int, stage: RequestClass, tenant: int, arrived: float
    ) -> None:
        self.id, self.stage_no, self.stage, self.tenant = ident, stage_no, stage, tenant
        self.arrived, self.state, self.answered = arrived, RequestState.QUEUED, False
        self.work: float | None = None
        self.first: Request | None = None  # that a repeat waits for
        self.followers: list[Request] = []  # repeats that wait for this one
        self.due = self.limit = self.kb = self.key = self.began = self.call_at = self.off_ms = 0.0
        self.calls = self.lane = self.caller = self.mark = 0
        self.hope, self.repeat = 1.0, False

    def __lt__(self, other: "Request") -> bool:
        return (self.key, self.id) < (other.key, other.id)


class TimerQueue:
    """Everything due at a time of its own, in the order of those times."""

    def __init__(self) -> None:
        self.items: list[tuple[float, int, Callable[..., None], Any]] = []
        self.order = count()

    def schedule(self, when: float, do: Callable[[float, Any], None], what: Any) -> None:
        heapq.heappush(self.items, (when, next(self.order), do, what))

    def run_due(self, now: float) -> None:
        while self.items and self.items[0][0] <= now:
            _, _, do, what = heapq.heappop(self.items)
            do(now, what)


class Duty:
    """Rules 1 and 3: every task read gets one answer by its time limit, or before the process stops."""

    MARGIN_MS = (
        TICK_MS + 10.0
    )  # answered this long before the limit: a tick late still leaves time in hand

    def __init__(
        self, timers: TimerQueue, drain_grace_ms: float, answer: Callable[[float, Request], None]
    ) -> None:
        self.timers, self.drain_grace_ms, self.answer = timers, drain_grace_ms, answer
        self.tasks: dict[int, Request] = {}
        self.last_arrival = self.stop = float("inf")

    def take(self, task: Request) -> None:
        self.tasks[task.id] = task
        self.timers.schedule(min(task.limit, self.stop) - self.MARGIN_MS, self.answer, task)

    def leave(self, now: float, stop: float) -> None:
        self.last_arrival, self.stop = now + self.drain_grace_ms, stop
        for task in self.tasks.values():
            self.timers.schedule(stop - self.MARGIN_MS, self.answer, task)


class Repeats:
    """Rule 2: the entries by which repeats of fingerprinted tasks are known, kept for their whole window."""

    def __init__(self, timers: TimerQueue, actions: Actions, entry_kb: float) -> None:
        self.timers, self.actions, self.entry_kb = timers, actions, entry_kb
        self.kept: set[int] = set()

    def keep(self, task: Request, now: float) -> None:
        # 20 ms beyond the window: the entry must outlast the last repeat by more than a batch.
        ends = max(task.arrived + task.stage.idempotency_window_ms, now) + 20.0
        self.kept.add(task.id)
        self.timers.schedule(ends, self.expire, task.id)
        self.actions.retain_key(task.id, ends - now)

    def expire(self, now: float, ident: int) -> None:
        self.kept.discard(ident)

    def drop(self, task: Request, now: float) -> None:
        """The task ended without having run: its entry goes, and what comes again is a first try."""
        if task.id in self.kept:
            self.expire(now, task.id)
            self.actions.drop_key(task.id)

    @property
    def kb(self) -> float:
        return self.entry_kb * len(self.kept)


class Limit:
    """DESIGN's total limit, under the guards of rule 4: memory, and the crowd on the cores."""

    STEP, FACTOR, MISSES = (
        0.25,
        0.5,
        0.1,
    )  # DESIGN's first values, and its tenth of a sample's responses
    CROWDED, GIVEN_BACK = (
        1.25,
        0.9,
    )  # wanting a core, for each: more only stretches runs; a slot a sample
    MEMORY_USED = (
        0.94  # full is death; held tasks of one batch and rounding stay well inside the rest
    )
    CROWD_USED = 0.8  # of the crowd survived; reading and checks crowd the cores as well

    def __init__(
        self,
        now: float,
        cores: int,
        memory_kb: float,
        run_factor: float,
        multiple: float,
        speed: float,
        warm_ms: float,
    ) -> None:
        self.cores, self.memory_kb, self.run_factor, self.multiple = (
            cores,
            memory_kb,
            run_factor,
            multiple,
        )
        self.started, self.cold_speed, self.warm_ms = now, speed, max(warm_ms, 1.0)
        self.limit, self.used_kb = float(cores), 0.0
        self.wanted = 0.0  # mean of those wanting a core, over about half a sample
        self.on_cores = self.away = 0  # started tasks: wanting a core (or disk), and at a call
        self.responses = self.late = 0  # of this sample

    def speed(self, now: float) -> float:
        """The share of its speed that the server has at the least."""
        return min(
            1.0, self.cold_speed + (1.0 - self.cold_speed) * (now - self.started) / self.warm_ms
        )

    def most(self, now: float) -> float:
        return max(
            1.0, self.CROWD_USED * self.cores * (1.0 + (self.multiple - 1.0) * self.speed(now))
        )

    def total(self, now: float) -> int:
        return max(1, int(min(self.limit, self.most(now))))

    def has_room(self, now: float) -> bool:
        # Tasks away at calls come back on their own, so they count against the crowd though not the limit.
        return self.on_cores < self.total(now) and self.on_cores + self.away + 1 <= self.most(now)

    def fits(self, extra_kb: float) -> bool:
        return self.used_kb + extra_kb <= self.MEMORY_USED * self.memory_kb

    def takes(self, task: Request, entries_kb: float) -> bool:
        """Sets aside the memory of a run, where there is room for it."""
        extra = task.kb * (self.run_factor - 1.0)
        fits = self.fits(extra + entries_kb)
        self.used_kb += extra if fits else 0.0
        return fits

    def tick(self, now: float, waiting: bool, gauges: dict[str, float]) -> None:
        """Grows while cores idle, now and over the last half second: waits for disk free them for moments."""
        wanted = gauges.get("on_cores", 0.0)
        self.wanted += TICK_MS / SAMPLE_MS * 2.0 * (wanted - self.wanted)
        idle = wanted < self.cores and gauges.get("core_use", 0.0) < 0.95  # busy but for chance
        if waiting and idle and self.on_cores >= self.total(now):
            self.limit += max(1.0, self.STEP * self.limit)

    def sample(self) -> None:
        late, self.late, self.responses = self.late > self.MISSES * self.responses, 0, 0
        factor = (
            self.FACTOR
            if late
            else self.GIVEN_BACK
            if self.wanted > self.CROWDED * self.cores
            else 1.0
        )
        self.limit = max(float(self.cores), factor * self.limit)


FULL_WAIT = WaitAllowance(1.0, False)


class Whole:
    """Stands where no pools are given: one pool of all classes, which has the total."""

    count = 1

    def __init__(self, queues: "Queues") -> None:
        self.queues = queues

    def pool_of(self, class_index: int) -> int:
        return 0

    def request_received(self, now: float, pool: int, request: IncomingRequest) -> WaitAllowance:
        return FULL_WAIT

    def reserve_slot(self, now: float, query: SlotQuery) -> SlotOffer:
        return SlotOffer(0, self.queues.caps.total, query.mean_slot_ms, query.has_room)

    def next_pool(self, now: float, waiting_pools: Collection[int]) -> int | None:
        return 0 if waiting_pools else None

    def nothing(self, *_: object) -> None: ...

    retry_admitted = request_rejected = slot_taken = slot_released = request_finished = tick = (
        nothing
    )


class Line:
    """One tenant: its queue, in a lane for each pool, its tasks at work, and its side of the control loop."""

    SAVED_MS = 4000.0  # of the allowance: arrivals here are a random part of the tenant's, and come in clumps

    def __init__(self, allowance_per_s: float | None, servers: int) -> None:
        self.lanes: dict[int, list[Request]] = {}  # of those that have tasks
        self.error = self.v = self.filled_at = 0.0
        self.busy, self.above, self.below, self.marked = 0, 0, 0, False
        self.rate = allowance_per_s / 1000.0 / max(1, servers) if allowance_per_s else None
        self.tokens = self.most = max(4.0, self.SAVED_MS * (self.rate or 0.0))

    def over_share(self, now: float, first: bool) -> bool:
        """Takes a token for a first try; without one the task is beyond the tenant's share."""
        if self.rate is None:
            return False
        self.tokens = min(self.most, self.tokens + (now - self.filled_at) * self.rate)
        self.filled_at = now
        over = self.tokens < 1.0
        self.tokens -= 1.0 if first and not over else 0.0
        return over


def inverse(y: float) -> float:
    return 7.48 * log(max(y, 1e-6)) - 0.08  # DESIGN's compensator of the output


class Lines(dict[int, Line]):
    """The tenants that have sent, by number. All begin alike, so each is made when first asked for."""

    def __init__(self, tenants: list[Tenant], servers: int) -> None:
        self.allowances, self.servers = (
            [tenant.rate_limit_per_s for tenant in tenants] or [None],
            servers,
        )

    def __missing__(self, tenant: int) -> Line:
        return self.setdefault(tenant, Line(self.allowances[tenant], self.servers))


class Caps(dict[int, float]):
    """The tenants' caps, each worked out when first asked for after a change. A tenant weighs as much as the
    one before it, times the table's ratio for its v. The ratio is exactly 1 where v rounds to 0, so only the
    other tenants, the uneven ones, need a multiplication.
    """

    V_MOST = 6  # DESIGN's clamp
    DENSE = 0.25  # of all tenants uneven: beyond, weighing all of them one by one takes less time

    def __init__(self, known: int, total: int) -> None:
        self.known = known
        self.uneven: list[int] = []
        self.rows = bytearray([self.V_MOST]) * known  # of the table, by tenant
        self.rebuild(total)

    def rebuild(self, total: int) -> None:
        """The table from v to S_i/S_{i-1}: even steps of its logarithm, up to what the floors leave."""
        self.total, self.floor = total, min(1.0, 0.5 * total / self.known)
        widest = (
            log((total - (self.known - 1) * self.floor) / self.floor) if self.known > 1 else 0.0
        )
        self.table = [exp(widest * v / self.V_MOST) for v in range(-self.V_MOST, self.V_MOST + 1)]
        self.clear()

    def set_v(self, tenant: int, v: float) -> None:
        row, before = round(v) + self.V_MOST, self.rows[tenant]
        if row != before:
            self.rows[tenant] = row
            self.clear()
            if before == self.V_MOST:
                insort(self.uneven, tenant)
            elif row == self.V_MOST:
                del self.uneven[bisect_left(self.uneven, tenant)]

    def split(self) -> None:
        """Multiplies and adds up in the tenants' order: in any other the last bits differ."""
        dense = len(self.uneven) > self.DENSE * self.known
        self.starts = (
            range(1, self.known) if dense else self.uneven
        )  # each weight's first tenant, but for 0
        rows = self.rows[1:] if dense else map(self.rows.__getitem__, self.uneven)
        self.weights = list(accumulate(map(self.table.__getitem__, rows), mul, initial=1.0))
        sizes = map(sub, chain(self.uneven, (self.known,)), chain((0,), self.uneven))
        each = self.weights if dense else chain.from_iterable(map(repeat, self.weights, sizes))
        self.rest = (self.total - self.known * self.floor) / sum(each)

    def __missing__(self, tenant: int) -> float:
        if not self:
            self.split()
        weight = self.weights[bisect_right(self.starts, tenant)]
        return self.setdefault(tenant, self.floor + self.rest * weight)


class Queues:
    """HWCS: a queue and a cap per tenant; floors reserved, the rest split by compensated PI. A sample goes
    through the active tenants only: an idle one keeps its v, and its queue is not long.
    """

    KP, KI = 0.47, 0.16  # DESIGN's gains
    THRESHOLD, WINDOW = 0.66, 4  # DESIGN's 20 in 30 of a queue's length, and four samples
    REFERENCES = (
        inverse(1.0),
        inverse(3.0),
        inverse(3.0**-1),
    )  # 1:1, and 1:3 against either, by marks apart
    LENGTH = 30  # DESIGN's q_len, the most that a queue may hold however fast it drains
    HOLD = 0.7  # of the due time may go by in a full queue: the rest is for the run and its calls

    def __init__(self, tenants: list[Tenant], servers: int, total: int) -> None:
        self.lines, self.caps = Lines(tenants, servers), Caps(max(1, len(tenants)), total)
        self.waiting: dict[int, list[int]] = {}  # pool -> the tenants that have tasks waiting there
        self.times: dict[int, list[float]] = {}  # tenant -> its response times of this sample
        self.watched: set[int] = set()  # tenants whose queue is long, or was until lately

    def sample(self, total: int, slot_ms: float, due_ms: float) -> None:
        if total != self.caps.total:
            self.caps.rebuild(total)
        self.mark(slot_ms, due_ms)
        means = {at: sum(times) / len(times) for at, times in self.times.items()}
        self.times.clear()
        for at in means:
            if at - 1 in means:
                before, line = self.lines[at - 1], self.lines[at]
                error = (
                    inverse(means[at] / means[at - 1])
                    - self.REFERENCES[line.marked - before.marked]
                )
                v = line.v + (self.KP + self.KI) * error - self.KP * line.error
                line.v, line.error = max(-Caps.V_MOST, min(Caps.V_MOST, v)), error
                self.caps.set_v(at, line.v)

    def mark(self, slot_ms: float, due_ms: float) -> None:
        """Marks whose queue stays long; an idle tenant's is not, and is watched until its mark is cleared."""
        waiting = self.held()
        caps = sum(map(self.caps.__getitem__, waiting))
        for at in self.watched.union(waiting):
            line, queued = self.lines[at], sum(map(len, self.lines[at].lanes.values()))
            slots = self.caps.total * self.caps[at] / caps if queued else 0.0
            long = queued > self.THRESHOLD * self.length(slots, slot_ms, due_ms)
            line.above, line.below = (line.above + 1, 0) if long else (0, line.below + 1)
            line.marked = line.above >= self.WINDOW or (line.marked and line.below < self.WINDOW)
            (self.watched.add if long or line.marked else self.watched.discard)(at)

    def held(self) -> list[int]:
        """The tenants that have tasks waiting in any pool, in their order."""
        return sorted({at for tenants in self.waiting.values() for at in tenants})

    def part(self, tenant: int, lane: int, slots: float) -> float:
        """Of the pool's slots those that the tenant's cap comes to, with those of who waits for none."""
        waiting = sum(map(self.caps.__getitem__, sorted({*self.waiting.get(lane, ()), tenant})))
        return float(slots * self.caps[tenant] / waiting)

    def length(self, slots: float, slot_ms: float, due_ms: float) -> float:
        """q_len: what so many slots get through in the part of a due time that may go by in a queue."""
        return max(2.0, min(self.LENGTH, slots * self.HOLD * due_ms / slot_ms))

    def put(self, task: Request) -> None:
        queue = self.lines[task.tenant].lanes.setdefault(task.lane, [])
        insort(queue, task)
        if len(queue) == 1:
            insort(self.waiting.setdefault(task.lane, []), task.tenant)

    def drop(self, task: Request) -> None:
        lanes = self.lines[task.tenant].lanes
        if task not in lanes.get(task.lane, ()):
            return
        lanes[task.lane].remove(task)
        if not lanes[task.lane]:
            del lanes[task.lane]
            self.waiting[task.lane].remove(task.tenant)
            if not self.waiting[task.lane]:
                del self.waiting[task.lane]

    def next(self, now: float) -> Request | None:
        """The pools say whose class starts, caps whose work: the tenant least far into its cap goes first."""
        if (lane := self.pools.next_pool(now, self.waiting)) is None:
            return None
        tenant = min(self.waiting[lane], key=lambda at: (self.lines[at].busy + 1) / self.caps[at])
        return self.lines[tenant].lanes[lane][0]

    def pool(self, pools: Pools | Whole) -> None:
        """From now on tasks wait in the lanes of these pools, which they have been given."""
        lanes = [self.lines[at].lanes for at in self.held()]
        held = [task for queues in lanes for lane in sorted(queues) for task in queues[lane]]
        self.pools, self.waiting = pools, {}
        for queues in lanes:
            queues.clear()
        for task in held:
            self.put(task)


class Calls:
    """Calls below, paced by a rate that follows their recent time and kept within this server's share."""

    SHARE_USED = 0.9  # of the own share: what is given up lingers, and clocks differ by a batch
    PATIENCE = 5.0  # times the recent time: hardly any call that comes back at all takes longer
    TRIES = 3  # of one call: the third time, what is below is failing and not merely full

    def __init__(
        self,
        timers: TimerQueue,
        actions: Actions,
        chance: random.Random,
        most: float,
        window_ms: float,
        linger_ms: float,
    ) -> None:
        self.timers, self.actions, self.jitter = timers, actions, chance.uniform
        self.window_ms, self.linger_ms = window_ms, linger_ms
        self.most = self.SHARE_USED * most  # calls in hand, which the pace aims at
        self.waiting: list[Request] = []
        self.in_hand: set[int] = set()
        self.lingering = 0
        self.recent_ms = 0.0  # 0: no call has come back yet
        self.tokens, self.filled_at = 1.0, 0.0
        self.free_at = 0.0 if most else float("inf")  # without a share nothing is called

    def wait(self, now: float, task: Request) -> None:
        if task.state is RequestState.AWAITING_DEPENDENCY and not task.answered:
            insort(self.waiting, task)

    def next(self, now: float) -> Request | None:
        """The next waiting task that may call now."""
        gained = (now - self.filled_at) * self.most / self.recent_ms if self.recent_ms else 1.0
        self.tokens = min(max(1.0, 0.25 * self.most), self.tokens + gained)
        self.filled_at = now
        hand = len(self.in_hand) + self.lingering
        if (
            not self.waiting
            or self.tokens < 1.0
            or now < self.free_at
            or hand + 1 > max(1.0, self.most)
        ):
            return None
        return self.waiting.pop(0)

    def start(self, task: Request, now: float) -> None:
        give_up_ms = task.limit - now
        if task.stage.idempotency is Idempotency.IDEMPOTENT or task.stage.degraded_weight > 0.0:
            # Given up while there is time to call again or go on without: a cut or a hang below.
            give_up_ms = min(
                give_up_ms, max(self.PATIENCE * self.recent_ms, 0.25 * (task.due - now))
            )
        if self.most < 1.0:
            # One call may not hold the only place for more than half of what the window allows.
            give_up_ms = min(give_up_ms, 0.5 * self.most * self.window_ms - self.linger_ms)
        self.tokens -= 1.0
        task.calls, task.call_at = task.calls + 1, now
        self.in_hand.add(task.id)
        self.actions.call_dependency(task.id, max(TICK_MS, give_up_ms))

    def end(self, task: Request, now: float, outcome: Outcome) -> None:
        if task.id not in self.in_hand:
            return
        self.in_hand.remove(task.id)
        took = now - task.call_at
        lingers = self.linger_ms if outcome in (Outcome.TIMEOUT, Outcome.CANCELLED) else 0.0
        if lingers:
            self.linger(now, 1)
            self.timers.schedule(now + lingers, self.linger, -1)
        if self.most < 1.0:
            self.free_at = task.call_at + (took + lingers) / self.most
        # Times of calls given up or cut off are our own waits: learnt, they slow the pace long after a cut.
        if outcome in (Outcome.OK, Outcome.ERROR):
            self.recent_ms += 0.1 * (took - self.recent_ms) if self.recent_ms else took

    def linger(self, now: float, calls: int) -> None:
        self.lingering += calls

    def turn_ms(self, now: float) -> float:
        """Until a call asked for now may start: after the places that the share gives are taken, each one
        ahead holds a place for the recent time of a call.
        """
        ahead = len(self.waiting) + len(self.in_hand) + self.lingering + 1 - max(1.0, self.most)
        return max(0.0, self.free_at - now) + max(0.0, ahead) * self.recent_ms / max(
            self.most, 0.01
        )


class Level:
    """Where a stage is dear, tasks of less utility are let in by a chance that falls while reading is behind
    or many of the dear are lost. Where all are worth about as much it never acts.
    """

    DEAR = (
        2.0  # times a stage's mean utility: with less, what the others lose outweighs what is won
    )
    CUT, OPEN = 0.6, 1.1  # of the share let in, a sample: a backlog fills faster than it drains
    BEHIND, LOST = 0.1, 0.3  # of its time that the mean task waits unread; of the dear, not served

    def __init__(self, chance: Callable[[], float], stages: list[RequestClass]) -> None:
        utilities = [stage.priority_weight for stage in stages] or [1.0]
        self.chance, self.least, most = chance, max(1e-9, min(utilities)), max(1e-9, *utilities)
        self.dear = most if most > self.DEAR * sum(utilities) / len(utilities) else float("inf")
        self.floor, self.keep = (self.least / most) ** 2, 1.0  # share let in of the least useful
        self.unread, self.asked, self.lost = (
            0.0,
            0,
            0,
        )  # mean share of its time unread; dear of this sample

    def read(self, unread: float, utility: float) -> None:
        self.unread += 0.05 * (unread - self.unread)
        self.asked += utility >= self.dear

    def turned(self, utility: float) -> None:
        self.lost += utility >= self.dear

    def bars(self, utility: float) -> bool:
        """Utility squared: at the lowest level the dear all pass, and of the rest hardly any."""
        return self.dear < float("inf") and self.chance() > self.keep * (utility / self.least) ** 2

    def sample(self, read: int) -> None:
        self.unread *= 1.0 if read else 0.5  # of what nobody sends nothing is known
        tight = self.unread > self.BEHIND or self.lost > self.LOST * self.asked + 1
        self.asked = self.lost = 0
        self.keep = min(
            1.0, max(self.floor, self.CUT * self.keep if tight else self.OPEN * self.keep + 0.01)
        )


class Signals:
    """What callers are told: a free value, shut while tasks are turned away, their idle time, and health."""

    GAIN = 0.5  # of the share turned away in a sample: shut in a few samples, with little overshoot
    OPEN = 0.8  # a sample leaves this much of it, or a few rejections would hold it shut for good
    MOST = (
        0.95  # never wholly shut while serving: without tasks nothing would show that there is room
    )
    # Connections a core beyond which idle ones are closed sooner: more than come back within seconds.
    LINKS, IDLE_LEAST_MS = 16.0, 1000.0
    KEEPS_UP = 0.05  # of its time that a task waits unread: beyond, reading waits for connections made anew
    LOST, BAD, GOOD = (
        0.5,
        4,
        5,
    )  # of its time unread: bad for four samples at most, then good for five

    def __init__(
        self,
        actions: Actions,
        signal: LoadFeedback,
        speed: float,
        cores: int,
        callers: int,
        idle_ms: float,
        listed: bool,
    ) -> None:
        self.actions, self.signal, self.idle_ms, self.idle_most_ms = (
            actions,
            signal,
            idle_ms,
            idle_ms,
        )
        # One running and one held a core until a sample is taken; then what gets through by the due time.
        self.callers = max(1, callers)
        self.credit = 2.0 * cores / self.callers
        self.many_links = self.LINKS * cores
        self.read = self.turned_away = 0
        self.listed, self.good, self.since = listed, True, self.GOOD  # samples since health changed
        self.shut, self.said, self.leaving = 0.0, -1.0, False
        actions.set_health(
            True, cached=True
        )  # checks from store spare the cores, and what lies below, real work
        self.say(speed)

    def leave(self) -> None:
        self.leaving = True
        self.actions.set_health(False, cached=True)
        self.say(0.0)

    def sample(self, speed: float, links: float, room: float, unread: float) -> None:
        """Room: the tasks that may be here at once, running or queued, and still be answered in time."""
        self.credit = room / self.callers
        away = self.turned_away / self.read if self.read else 0.0
        self.read = self.turned_away = 0
        self.shut = self.OPEN * self.shut + self.GAIN * away * (self.MOST - self.shut)
        self.say(speed)  # a cold server asks for what it can do
        self.close_idle(links, unread)
        self.since += 1
        turn = (
            unread > self.LOST and self.since >= self.GOOD if self.good else self.since >= self.BAD
        )
        if self.listed and not self.leaving and (turn or (not self.good and unread < Level.BEHIND)):
            self.good, self.since = not self.good, 0
            self.actions.set_health(self.good, cached=True)

    def close_idle(self, links: float, unread: float) -> None:
        """Halves the time that a connection may idle while many are open, and lets it grow back after."""
        many = links > self.many_links and unread < self.KEEPS_UP
        idle = max(self.IDLE_LEAST_MS, 0.5 * self.idle_ms) if many else 1.1 * self.idle_ms
        idle = min(self.idle_most_ms, idle)
        if idle != self.idle_ms:
            self.idle_ms = idle
            self.actions.set_idle_timeout(idle)

    def say(self, speed: float) -> None:
        share = 0.0 if self.leaving else speed * (1.0 - self.shut)
        value = {LoadFeedback.MIN_PRIORITY: 1.0 - share, LoadFeedback.WEIGHT: share}.get(
            self.signal, self.credit * share
        )
        if self.signal is not LoadFeedback.NONE and value != self.said:
            self.said = value
            self.actions.report_load(value)


class AdmissionController:
    """One server's decisions: the chain of parts, and what each event does to a task."""

    # Of the time left, what wait and run may take by a rough estimate: queued; at once; beyond the share.
    ROOM, DOUBT, OVER_SHARE = 0.9, 1.3, 0.25
    UNHINTED = 1.05  # in place of ROOM, of a task whose work is not told: most runs are shorter than the mean
    BEHIND = 4.0  # times the span in the order, beyond the share: of little utility wherever one is given
    CROWDED = 0.1  # of the free value shut, by one task in twenty turned away: fewer are chance

    def __init__(
        self,
        actions: Actions,
        now: float,
        settings: ControllerSettings,
        seed: int,
        pools: Pools | None = None,
    ) -> None:
        self.actions, self.stages, self.gauges, self.halts = (
            actions,
            settings.request_classes,
            settings.gauges,
            settings.cancel_mode is not CancelMode.NONE,
        )
        self.stay_away_most_ms = (
            settings.max_retry_after_ms if settings.retry_after_supported else 0.0
        )
        self.timers = TimerQueue()
        self.duty = Duty(self.timers, settings.drain_grace_ms, self.give_up)
        self.repeats = Repeats(self.timers, actions, settings.key_memory_kb)
        speed = settings.initial_speed if settings.starts_cold else 1.0
        self.limit = Limit(
            now,
            settings.cores,
            settings.memory_kb,
            settings.run_memory_factor,
            settings.crash_load_factor,
            speed,
            settings.warm_up_ms,
        )
        self.queues = Queues(settings.tenants, settings.servers, self.limit.total(now))
        self.use_pools(now, pools)
        # A tier guards itself: there the pace alone bounds the calls, and this many are never in hand.
        shared = settings.dependency_kind is DependencyKind.SHARED
        most = settings.dependency_quota if shared else 16.0 * settings.cores
        chance = random.Random(seed)
        self.calls = Calls(
            self.timers,
            actions,
            chance,
            most,
            settings.dependency_window_ms,
            settings.dependency_linger_ms,
        )
        self.level = Level(chance.random, settings.request_classes)
        self.signals = Signals(
            actions,
            settings.load_feedback,
            speed,
            settings.cores,
            settings.callers,
            settings.idle_timeout_ms,
            settings.listed_by_health,
        )
        self.run_ms: dict[
            int, tuple[float, float]
        ] = {}  # stage -> recent mean of a run, and of its hints
        self.calling: set[int] = set()  # stages whose tasks were seen at a call
        self.slot_ms = 0.0  # recent time in a place among those running
        self.ended_at = self.sampled_at = now
        self.due_ms = sum(stage.latency_objective_ms for stage in self.stages) / max(
            1, len(self.stages)
        )
        actions.schedule_tick(TICK_MS)

    def slot(self, now: float) -> float:
        """Time a task keeps its place. With none ending it grows by itself, whatever holds the cores up."""
        seen = self.slot_ms or max(
            1.0, 0.125 * self.due_ms
        )  # until one has ended: eight in a row fit
        return max(seen, 0.25 * (now - self.ended_at) * self.limit.on_cores)

    def run_time(self, task: Request, now: float) -> float:
        """What a run takes: the stage's mean, leaning to the hint, after the calls that wait before it."""
        turn = (
            self.calls.turn_ms(now)
            if task.state is RequestState.QUEUED and task.stage_no in self.calling
            else 0.0
        )
        if task.stage_no not in self.run_ms:
            return turn + max(self.slot(now), task.work or 0.0)
        mean, work = self.run_ms[task.stage_no]
        return turn + (mean * (0.3 + 0.7 * task.work / work) if task.work and work else mean)

    def learn(self, task: Request, now: float) -> None:
        ran, slot = now - task.began, now - task.began - task.off_ms
        self.slot_ms += 0.05 * (slot - self.slot_ms) if self.slot_ms else slot
        mean, work = self.run_ms.get(task.stage_no, (self.slot(now), task.work or 0.0))
        self.run_ms[task.stage_no] = (
            mean + 0.05 * (ran - mean),
            work + 0.05 * ((task.work or 0.0) - work),
        )
        self.ended_at = now
        self.limit.responses += 1
        self.limit.late += now > task.due
        self.pools.request_finished(now, task.lane, slot)
        self.queues.times.setdefault(task.tenant, []).append(now - task.arrived)

    def on_request(self, now: float, incoming: IncomingRequest) -> None:
        """A task was read. Its caller, whether that marks a further try, and its print are for the pools."""
        if incoming.tenant_index >= self.queues.caps.known:
            incoming = incoming._replace(tenant_index=0)
        stage_no, same = incoming.class_index, incoming.original_id
        stage = self.stages[stage_no]
        task = Request(
            incoming.request_id,
            stage_no,
            stage,
            incoming.tenant_index,
            now - incoming.waited_ms,
        )
        task.kb, task.work, limit = incoming.memory_kb, incoming.estimated_work, incoming.expires_at
        task.limit = max(now, limit if limit is not None else task.arrived + stage.timeout_ms)
        task.due = min(
            task.limit,
            task.arrived
            + stage.latency_objective_ms
            + stage.objective_per_work * (task.work or 0.0),
        )
        self.signals.read += 1
        self.level.read(
            (now - task.arrived) / max(1.0, task.due - task.arrived), stage.priority_weight
        )
        self.limit.used_kb += task.kb
        self.duty.take(task)
        task.lane, task.caller, task.mark = (
            self.pools.pool_of(stage_no),
            incoming.caller_id,
            incoming.content_digest,
        )
        if same and stage.idempotency is Idempotency.KEYED:
            self.follow(task, same, now)
        else:
            task.hope, task.repeat = self.pools.request_received(now, task.lane, incoming)
            self.admit(task, now)
        self.start(now)

    def follow(self, task: Request, same: int, now: float) -> None:
        """A repeat of a fingerprinted task is served from the first try, which it waits for while held."""
        first = self.duty.tasks.get(same)
        first = first.first if first and first.first else first
        if first and first.state is RequestState.QUEUED and self.limit.fits(self.repeats.kb):
            task.state, task.first = RequestState.AWAITING_ORIGINAL, first
            first.followers.append(task)
        else:
            self.reuse(task, now)

    def reuse(self, task: Request, now: float) -> None:
        # It may need a run's memory as soon as the first try ends, so that is set aside now or not at all.
        if self.limit.takes(task, self.repeats.kb):
            task.state = RequestState.REPLAYING
            self.actions.replay_result(task.id)
        else:
            self.abandon(task, now)

    def admit(self, task: Request, now: float) -> None:
        """A first try goes to its tenant's queue, once what must be kept of it has found room."""
        keyed = task.stage.idempotency is Idempotency.KEYED
        fits = self.limit.fits(self.repeats.kb + (self.repeats.entry_kb if keyed else 0.0))
        if not fits or task.arrived > self.duty.last_arrival:
            self.reject(task, now)
        elif self.level.bars(task.stage.priority_weight):
            self.signals.turned_away += 1
            self.reject(task, now, self.stay_away_most_ms)
        else:
            if keyed:
                self.repeats.keep(task, now)
            self.queue(task, now)

    def queue(self, task: Request, now: float) -> None:
        """A task with no hope of its due time from its place in the queue is rejected, like one too many."""
        line, left, run = self.queues.lines[task.tenant], task.due - now, self.run_time(task, now)
        over_share, room = line.over_share(now, not task.repeat), self.limit.has_room(now)
        query = SlotQuery(
            task.lane, task.repeat, over_share, self.queues.waiting, self.slot(now), room
        )
        task.lane, places, slot, free = self.pools.reserve_slot(now, query)
        slots, queue = (
            self.queues.part(task.tenant, task.lane, places),
            line.lanes.get(task.lane, ()),
        )
        span = max(0.0, task.due - task.arrived - run) / task.stage.priority_weight**0.5
        task.key = task.arrived + (self.BEHIND * span if over_share else span)
        wait = 0.0 if free else (1 + bisect_left(queue, task)) * slot / slots
        full = len(queue) >= self.queues.length(slots, slot, self.due_ms)
        hope = self.OVER_SHARE if over_share else self.ROOM if task.work else self.UNHINTED
        part = task.hope * hope if wait else self.DOUBT
        if full or wait + run > part * left:
            self.pools.request_rejected(now, task.lane, task.mark)
            unread = now - task.arrived > Level.BEHIND * (task.due - task.arrived)
            self.signals.turned_away += wait > 0.0 or unread
            self.reject(task, now, wait)
        else:
            self.queues.put(task)
            if task.repeat and not free:
                self.pools.retry_admitted(task.tenant, task.caller)
            self.timers.schedule(task.due, self.too_late, task)

    def start(self, now: float) -> None:
        """Starts what may start: any tenant's while the total has room, by the caps once it is full."""
        while self.queues.waiting and self.limit.has_room(now) and (task := self.queues.next(now)):
            if now + 0.8 * self.run_time(task, now) > min(
                task.due, self.duty.stop
            ):  # a rough estimate
                self.reject(task, now)
            elif self.limit.takes(task, self.repeats.kb):
                self.go(task, now)
            else:
                return

    def go(self, task: Request, now: float) -> None:
        self.queues.drop(task)
        self.queues.lines[task.tenant].busy += 1
        self.enter(now, task)
        task.state, task.began = RequestState.RUNNING, now
        self.actions.start(task.id)
        followers, task.followers = task.followers, []
        for follower in followers:
            follower.first = None  # it is no longer among those that wait for it
            self.reuse(follower, now)

    def on_run_finished(self, now: float, ident: int, outcome: Outcome) -> None:
        if (task := self.duty.tasks.get(ident)) is not None:
            self.calls.end(task, now, Outcome.CANCELLED)
            if task.state is RequestState.RUNNING and outcome in (Outcome.OK, Outcome.ERROR):
                self.learn(task, now)
            task.answered = True
            self.over(task, now)
            self.work(now)

    def on_dependency_needed(self, now: float, ident: int) -> None:
        if (task := self.duty.tasks.get(ident)) is not None and task.state is RequestState.RUNNING:
            self.calling.add(task.stage_no)
            self.move(task, RequestState.AWAITING_DEPENDENCY, now)
            task.calls = 0
            self.calls.wait(now, task)
            if (
                task.stage.degraded_weight > 0.0
            ):  # in time for the rest of the run, half of it on the mean
                self.timers.schedule(
                    task.due - 0.5 * self.run_time(task, now), self.go_without, task
                )
            self.work(now)

    def on_dependency_finished(self, now: float, ident: int, outcome: Outcome) -> None:
        if (
            task := self.duty.tasks.get(ident)
        ) is None or task.state is not RequestState.AWAITING_DEPENDENCY:
            return
        self.calls.end(task, now, outcome)
        if outcome is Outcome.OK:
            self.move(task, RequestState.RUNNING, now)
        elif not task.answered:
            spare = (
                task.stage.degraded_weight > 0.0 and outcome is not Outcome.RESET
            )  # a broken link is no cut
            tries = (
                Calls.TRIES if task.stage.idempotency is Idempotency.IDEMPOTENT and not spare else 0
            )
            again = outcome in NEVER_RAN or task.calls < tries
            if again and now + max(TICK_MS, 2.0 * self.calls.recent_ms) < task.due:
                later = self.calls.jitter(0.5, 1.5) * max(TICK_MS, 0.5 * self.calls.recent_ms)
                self.timers.schedule(now + later, self.calls.wait, task)
            elif task.stage.degraded_weight > 0.0:
                self.skip(task, now)
            else:
                self.abandon(task, now)
        self.work(now)

    def move(self, task: Request, state: RequestState, now: float) -> None:
        """Off the cores to a call, or back."""
        task.state = state
        if state is RequestState.AWAITING_DEPENDENCY:
            task.off_ms -= now
            self.limit.away, self.limit.on_cores = self.limit.away + 1, self.limit.on_cores - 1
            self.pools.slot_released(now, task.lane)
        else:
            task.off_ms += now
            self.limit.away -= 1
            self.enter(now, task)

    def enter(self, now: float, task: Request) -> None:
        """Onto the cores; where they were empty, time without an end counts from here and not from before."""
        if not self.limit.on_cores:
            self.ended_at = now
        self.limit.on_cores += 1
        self.pools.slot_taken(now, task.lane, task.state is RequestState.QUEUED)

    def use_pools(self, now: float, pools: Pools | None) -> None:
        """Takes these pools, or none, in place of those before, with all that waits and runs."""
        self.pools: Pools | Whole = pools or Whole(self.queues)
        for task in self.duty.tasks.values():
            task.lane = self.pools.pool_of(task.stage_no)
            if task.state is RequestState.RUNNING:
                self.pools.slot_taken(now, task.lane, True)
        self.queues.pool(self.pools)

    def skip(self, task: Request, now: float) -> None:
        self.actions.skip_dependency(task.id)
        self.move(task, RequestState.RUNNING, now)

    def go_without(self, now: float, task: Request) -> None:
        """A call still waiting for its turn when the run could hardly end in time is left out."""
        if task in self.calls.waiting:
            self.calls.waiting.remove(task)
            self.skip(task, now)

    def work(self, now: float) -> None:
        """Sends the calls that the pace allows, then starts tasks."""
        while (task := self.calls.next(now)) is not None:
            if task.stage.degraded_weight > 0.0 and task.due - now < 2.0 * self.calls.recent_ms:
                self.skip(task, now)
            else:
                self.calls.start(task, now)
        self.start(now)

    def on_cancel(self, now: float, ident: int) -> None:
        if (task := self.duty.tasks.get(ident)) is not None and not task.answered:
            self.let_go(task, now)
            self.work(now)

    def start_draining(self, now: float, stop: float) -> None:
        self.duty.leave(now, stop)
        self.signals.leave()
        self.actions.log(
            f"leaving in {stop - now:.0f} ms with {len(self.duty.tasks)} tasks in hand"
        )

    def on_tick(self, now: float, values: tuple[float, ...]) -> None:
        self.actions.schedule_tick(TICK_MS)
        self.timers.run_due(now)
        gauges = dict(zip(self.gauges, values, strict=False))
        self.limit.tick(now, bool(self.queues.waiting), gauges)
        self.pools.tick(now, self.limit.total(now))
        if now - self.sampled_at >= SAMPLE_MS:
            self.sampled_at = now
            self.limit.sample()
            self.level.sample(self.signals.read)
            total, slot = self.limit.total(now), self.slot(now)
            self.queues.sample(total, slot, self.due_ms)
            room = total + self.queues.length(total, slot, self.due_ms)
            self.signals.sample(
                self.limit.speed(now), gauges.get("links", 0.0), room, self.level.unread
            )
        self.work(now)

    def give_up(self, now: float, task: Request) -> None:
        """The last time for an answer, whatever the task is doing."""
        if not task.answered:
            (self.reject if task.state is RequestState.QUEUED else self.abandon)(task, now)

    def too_late(self, now: float, task: Request) -> None:
        """Past its due time, what is held, kept from its call or can be stopped is given up at once."""
        waits = task.state is RequestState.QUEUED or task in self.calls.waiting
        if task.stage.late_weight <= 0.0 and (waits or self.stops(task)):
            self.give_up(now, task)

    def stops(self, task: Request) -> bool:
        return (
            self.halts
            and task.state is RequestState.RUNNING
            and task.stage.idempotency is Idempotency.IDEMPOTENT
        )

    def reject(self, task: Request, now: float, stay_away: float = 0.0) -> None:
        """Final answer to a task that has not run. While many are turned away, it is the last: another server
        is hardly better off. Not from a server that leaves or is cold, and not for a dear task.
        """
        leaving, utility = self.signals.leaving, task.stage.priority_weight
        wait = self.stay_away_most_ms if leaving else min(stay_away, self.stay_away_most_ms)
        last = not leaving and utility < self.level.dear and self.signals.shut > self.CROWDED
        self.actions.reject(task.id, last and self.limit.speed(now) >= 1.0, wait)
        self.level.turned(utility)
        self.let_go(task, now)

    def abandon(self, task: Request, now: float) -> None:
        self.actions.fail(task.id)
        self.level.turned(task.stage.priority_weight)
        self.let_go(task, now)

    def let_go(self, task: Request, now: float) -> None:
        """No answer is owed any more. What has not started is over; what runs ends with its result."""
        task.answered = True
        if task.state in (
            RequestState.QUEUED,
            RequestState.AWAITING_ORIGINAL,
            RequestState.REPLAYING,
        ):
            self.over(task, now)
        elif task in self.calls.waiting:
            self.calls.waiting.remove(task)
        elif self.stops(task):
            self.actions.cancel_run(task.id)

    def over(self, task: Request, now: float) -> None:
        """The task is gone from the server: its memory and places are free, and a follower takes its turn."""
        state, task.state = task.state, RequestState.FINISHED
        if state is RequestState.QUEUED:
            self.queues.drop(task)
            if task.stage.idempotency is Idempotency.KEYED:
                self.repeats.drop(task, now)
        elif state is RequestState.AWAITING_ORIGINAL and task.first:
            task.first.followers.remove(task)
        self.queues.lines[task.tenant].busy -= state in (
            RequestState.RUNNING,
            RequestState.AWAITING_DEPENDENCY,
        )
        if state is RequestState.RUNNING:
            self.limit.on_cores -= 1
            self.pools.slot_released(now, task.lane)
        self.limit.away -= state is RequestState.AWAITING_DEPENDENCY
        held = state in (RequestState.QUEUED, RequestState.AWAITING_ORIGINAL)
        self.limit.used_kb -= task.kb * (1.0 if held else self.limit.run_factor)
        del self.duty.tasks[task.id]
        if task.followers:  # none of them has run: the next in line becomes the first try
            heir, *rest = task.followers
            heir.state, heir.first, heir.followers = RequestState.QUEUED, None, rest
            for follower in rest:
                follower.first = heir
            self.admit(heir, now)
