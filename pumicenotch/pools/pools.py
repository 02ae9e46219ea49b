"""The reducer of the pools: which class's work may start, and what a task may hope for on its arrival.

The decision module tells it what happens (read, on the cores, off them, ended, tick) with the time, and asks
it three questions: what hope a task has (`request_received`), where and before how many places it would
wait (`reserve_slot`), and which pool's work starts next (`next_pool`). Whose work it is, HWCS says. The total is the decision module's
own; pools divide it.
"""

from collections.abc import Collection, Sequence

from pumicenotch.interface import (
    IncomingRequest,
    RequestClass,
    SlotOffer,
    SlotQuery,
    WaitAllowance,
)
from pumicenotch.pools.budget import Budgets
from pumicenotch.pools.divide import divide
from pumicenotch.pools.estimate import Demand, Typical
from pumicenotch.pools.likeness import Likeness
from pumicenotch.pools.plan import Plan, Pool, lanes
from pumicenotch.pools.reading import Reading


class Side:
    """What is known of one pool."""

    DEMAND_MS = 700.0  # over which demand is a mean: a shift of classes shows within a second, chance less so
    FRESH_MS = 5000.0  # after its last task a pool is one that nobody sends to
    CREDIT_MS = 400.0  # over which a place short of its limit counts as one missed
    CREDIT = 1.5  # places at the most, either way: what was missed long ago is not made up for
    SEEN = 3  # runs that have ended, from which on their typical time is one

    def __init__(self, now: float, pool: Pool, utility: float) -> None:
        self.pool, self.reserve, self.reserved = pool, pool.reserve, pool.reserve > 0.0
        # what work earns for a place-ms weighs, if none is told
        self.weight, self.utility = pool.weight, utility
        self.demand = Demand(now, self.DEMAND_MS)
        self.slot = Typical()  # time on the cores of one run, ms
        self.limit = self.share = self.need = 0.0
        self.first = 0.0  # places that it fills before all others, as a reserve
        self.aim = 0.0  # places that it could use now: the lesser of limit and need
        self.credit, self.settled_at = 0.0, now  # up to the last division
        self.held_ms, self.held_at = 0.0, now  # place-ms since then
        self.busy = 0
        self.asked_at = float("-inf")
        self.read = self.held_off = self.started = 0

    def fresh(self, now: float) -> bool:
        return now - self.asked_at < self.FRESH_MS

    def settle(self, now: float) -> None:
        """Brings its credit up to now: places missed lately, or had too many (below 0). Whole tasks in few
        places can't keep to a broken limit at any moment; over time they do by this.
        """
        held = self.held_ms + self.busy * (now - self.held_at)
        credit = self.credit + (self.aim * (now - self.settled_at) - held) / self.CREDIT_MS
        self.credit = max(-self.CREDIT, min(self.CREDIT, credit))
        self.settled_at = self.held_at = now
        self.held_ms = 0.0


class Pools:
    """Pools by `plan` for stages that are numbered as in `numbers`. Times in ms; no clock and no chance."""

    # A lent place must come back within a second: the mean time to the next end is this at most.
    RETURN_MS = 600.0
    BEYOND = 0.05  # of its weight for what is beyond a tenant's share: each server only guesses what that is
    EVERY_MS = 300.0  # between two divisions: less than half of the demand's span

    def __init__(
        self, now: float, plan: Plan, stages: Sequence[RequestClass], numbers: dict[str, int]
    ) -> None:
        self.plan, self.of = plan, lanes(plan, numbers)
        self.of += [len(plan.pools) - 1] * (len(stages) - len(self.of))
        self.beyond = len(plan.pools)  # the pool of what is beyond its tenant's share
        self.count = self.beyond + 1
        self.sides: list[Side] = []
        for at, pool in enumerate((*plan.pools, Pool("beyond", ()))):
            inside = [
                stage.priority_weight
                for stage, lane in zip(stages, self.of, strict=False)
                if lane == at
            ]
            self.sides.append(Side(now, pool, sum(inside) / len(inside) if inside else 1.0))
        self.budgets = Budgets(plan.retry_ratio, plan.retry_burst, plan.callers_most)
        self.likeness = Likeness(now, plan.likeness_ms)
        self.reading = Reading(now, plan.reading)
        self.divide_at = now
        self.total = self.divided = self.running = 0
        self.capped = any(pool.most < 1.0 for pool in plan.pools)
        self.keeping = any(not pool.lends for pool in plan.pools)
        self.usual_ms = 100.0  # typical time of a pool, until any is known; then their mean
        self.longest_ms = 0.0  # of the typical times of all pools
        # a pool may be barred though the total has room
        self.strict = plan.fixed or self.capped or self.keeping
        self.repeats_seen = self.repeats_marked = 0
        self.redivide(now, 1)

    def pool_of(self, class_index: int) -> int:
        return self.of[class_index]

    # What happens

    def request_received(self, now: float, pool: int, request: IncomingRequest) -> WaitAllowance:
        """A task was read: its hope, as a part of the time that one like it may usually wait (0: it is let in
        only where a place is free), and whether it is a repeat, marked or by its content.
        """
        side = self.sides[pool]
        side.read += 1
        side.asked_at = now
        tenant = request.tenant_index
        caller = request.caller_id
        again = request.is_marked_retry
        waited_ms = request.waited_ms
        likeness = self.likeness
        repeat = again or (
            bool(likeness.young or likeness.old) and likeness.seen(now, request.content_digest)
        )
        hope = 1.0
        if not repeat:
            budgets = self.budgets
            if not budgets.full(caller, tenant):
                budgets.first(caller, tenant)
        else:
            self.repeats_marked += again
            self.repeats_seen += not again
            if not self.budgets.holds(caller, tenant):
                self.budgets.refused += 1
                hope = 0.0
        reading = self.reading
        if (
            waited_ms > reading.SOON_MS or reading.wait_ms > reading.SOON_MS
        ) and not reading.passes(now, waited_ms, side.reserved):
            hope = 0.0
        return WaitAllowance(hope, repeat)

    def reserve_slot(self, now: float, query: SlotQuery) -> SlotOffer:
        """Where a task would wait: its lane, the places that lane comes to, the time that each is held, and
        whether one is free now. Demand is what is asked for first: a caller that repeats makes no reserve
        larger. What is beyond its tenant's share waits apart, so that a tenant that floods makes neither a
        reserve its own nor takes the places that a reserve has filled.
        """
        lane = query.pool
        if query.over_quota and not self.plan.fixed:
            lane = self.beyond
            self.sides[lane].asked_at = now
        side = self.sides[lane]
        if not query.is_retry:
            side.demand.arrived += 1
        slot = side.slot
        slot_ms = slot.value if slot.samples >= side.SEEN else query.mean_slot_ms
        return SlotOffer(
            lane,
            self.part(lane, side, query.waiting_pools),
            slot_ms,
            query.has_room and (not self.strict or self.takes(now, lane, side)),
        )

    def retry_admitted(self, tenant_index: int, caller_id: int) -> None:
        """A repeat was let in though no place was free for it."""
        self.budgets.spend(caller_id, tenant_index)

    def request_rejected(self, now: float, pool: int, content_digest: int) -> None:
        """A task was turned away for want of a place, and may be sent again."""
        self.sides[pool].held_off += 1
        self.likeness.turned_away(now, content_digest)

    def slot_taken(self, now: float, pool: int, is_start: bool) -> None:
        """A task of it came onto the cores, at its start or back from a call."""
        side = self.sides[pool]
        side.held_ms += side.busy * (now - side.held_at)
        side.held_at = now
        side.busy += 1
        side.started += is_start
        self.running += 1

    def slot_released(self, now: float, pool: int) -> None:
        side = self.sides[pool]
        side.held_ms += side.busy * (now - side.held_at)
        side.held_at = now
        side.busy -= 1
        self.running -= 1

    def request_finished(self, now: float, pool: int, slot_ms: float) -> None:
        """A run ended well or badly after so long on the cores, calls not counted."""
        self.sides[pool].slot.add(slot_ms)

    def tick(self, now: float, total_slots: int) -> None:
        self.total = total_slots
        if now >= self.divide_at or not 0.8 * total_slots <= self.divided <= 1.25 * total_slots:
            self.redivide(now, total_slots)

    # What it says

    def part(self, lane: int, side: Side, waiting: Collection[int]) -> float:
        """Places that the pool comes to while those pools have tasks waiting: its own, and by its part of
        what the pools without work leave idle.
        """
        if self.plan.fixed:
            return max(0.25, side.limit)
        own = taken = side.limit
        idle = self.total - taken - self.running + side.busy
        for at in waiting:
            if at != lane:
                other = self.sides[at]
                taken += other.share
                idle += other.busy - other.share
        return max(0.25, own * (1.0 + idle / taken) if idle > 0.0 else own)

    def takes(self, now: float, lane: int, side: Side) -> bool:
        """Whether a task of the pool may start, where the total has room for one more."""
        then = side.busy + 1
        if self.plan.fixed:
            return then <= max(1, round(side.limit))
        if self.capped and then > 1 and then > side.pool.most * self.total + 0.5:
            return False
        if then <= side.first or self.total <= 1:
            return True
        if self.keeping and self.running + 1 + self.kept(lane) > self.total and then > side.share:
            return False
        if self.running + 2 <= self.total or (self.running + 1) * self.RETURN_MS >= self.longest_ms:
            return True
        return not self.held_back(now, lane, side)

    def kept(self, lane: int) -> int:
        """Places of pools that lend none, as far as they don't use them."""
        return sum(
            max(0, int(side.limit) - side.busy)
            for at, side in enumerate(self.sides)
            if at != lane and not side.pool.lends
        )

    def held_back(self, now: float, lane: int, side: Side) -> bool:
        """Whether the last place stays empty for a reserve that may want it: what would run then ends too
        seldom for the place to come back in time. It costs that place while long runs hold all others, and
        only while the reserve's classes are sent at all.
        """
        if not any(
            at != lane and other.reserved and other.busy + 1 <= other.first and other.fresh(now)
            for at, other in enumerate(self.sides)
        ):
            return False
        slow = 2.0 * self.RETURN_MS  # what a run takes of which none has ended
        ends = sum(other.busy / (other.slot.value or slow) for other in self.sides) + 1.0 / (
            side.slot.value or slow
        )
        return ends * self.RETURN_MS < 1.0

    def next_pool(self, now: float, waiting_pools: Collection[int]) -> int | None:
        """The pool whose task starts next, of those that have one waiting: the one furthest below its
        limit.
        """
        sides = self.sides
        waiting = waiting_pools
        if self.strict or (self.running + 1) * self.RETURN_MS < self.longest_ms:
            waiting = [lane for lane in waiting if self.takes(now, lane, sides[lane])]
            if not waiting:
                return None
        if len(waiting) == 1:
            (lane,) = waiting
            return lane
        best, least = None, float("inf")
        for lane in waiting:
            side = sides[lane]
            # How far into its limit one more task would bring it, what it missed since the division counted
            # in.
            held = side.held_ms + side.busy * (now - side.held_at)
            missed = side.credit + (side.aim * (now - side.settled_at) - held) / side.CREDIT_MS
            far = (side.busy + 1.0 - missed) / side.limit - (side.busy < side.first)
            if far < least:
                best, least = lane, far
        return best

    # Limits

    def redivide(self, now: float, total: int) -> None:
        """Every limit from what is observed: demand as arrivals times the time that a place is held.

        A pool's share is what it comes to on the mean; its limit, what it may hold before others that wait.
        They differ for a reserve: arrivals come in clumps, and the first after a pause must not wait until a
        mean has told of it. Others work in what a reserve does not ask for.
        """
        self.total = self.divided = total
        self.divide_at = now + self.EVERY_MS - 1.0
        if self.plan.fixed:
            for side, limit in zip(self.sides, self.static(total), strict=True):
                side.settle(now)
                side.limit = side.share = side.need = side.aim = limit
            return
        usual = self.usual_ms
        needs, own, weights = [], [], []
        slots, seen = 0.0, 0
        longest = 0.0
        for side in self.sides:
            side.settle(now)
            slot, demand = side.slot.value, side.demand
            longest = max(longest, slot)
            slots, seen = slots + slot, seen + (slot > 0.0)
            slot = slot or usual
            side.need = need = demand.fold(now) * slot if demand.arrived or demand.weight else 0.0
            side.first = side.reserve * total
            needs.append(need)
            own.append(side.first)
            weights.append((side.weight or side.utility / slot) * (need if need > 0.1 else 0.1))
        weights[self.beyond] *= self.BEYOND
        most = [side.pool.most * total for side in self.sides] if self.capped else None
        self.longest_ms = longest
        self.usual_ms = slots / seen if seen else usual
        for side, share in zip(self.sides, divide(total, needs, own, weights, most), strict=True):
            side.share = share
            side.limit = share if share > side.first else side.first
            side.aim = share if share < side.need else side.need

    def static(self, total: int) -> list[float]:
        """Fixed parts: the reserve, and the rest by weight."""
        rest = 1.0 - sum(side.pool.reserve for side in self.sides)
        sides = self.sides[: self.beyond]
        weights = sum(side.pool.weight or 1.0 for side in sides)
        parts = [side.pool.reserve + rest * (side.pool.weight or 1.0) / weights for side in sides]
        return [*(max(1.0, total * part) for part in parts), 1.0]

    def counts(self) -> dict[str, float]:
        """For the counters' line, by name; limits and needs in places."""
        found: dict[str, float] = {}
        for side in self.sides:
            for name, value in (
                ("limit", round(side.limit, 2)),
                ("need", round(side.need, 2)),
                ("busy", side.busy),
                ("read", side.read),
                ("turned_away", side.held_off),
                ("started", side.started),
            ):
                found[f"pool_{side.pool.name}_{name}"] = value
        found["repeats_marked"], found["repeats_alike"] = self.repeats_marked, self.repeats_seen
        found["repeats_over_budget"] = self.budgets.refused
        found["budgets_forgotten"] = self.budgets.forgotten
        found["reading_turned_away"] = self.reading.turned_away
        found["likeness_cut_short"] = self.likeness.cut_short
        return found
