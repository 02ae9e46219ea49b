"""The reducer of the pools: which class's work may start, and what a task may hope for on its arrival.

The decision module tells it what happens (read, on the cores, off them, ended, tick) with the time, and asks
it three questions: what hope a task has (`read`), where and before how many places it would wait (`place`),
and which pool's work starts next (`next`). Whose work it is, HWCS says. The total is the decision module's
own; pools divide it."""

from collections.abc import Collection, Sequence

from pumicenotch.interface import Stage
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
        self.pool, self.utility, self.reserved = pool, utility, pool.reserve > 0.0
        self.demand = Demand(now, self.DEMAND_MS)
        self.slot = Typical()  # time on the cores of one run, ms
        self.limit = self.share = self.need = 0.0
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
        places can't keep to a broken limit at any moment; over time they do by this."""
        held = self.held_ms + self.busy * (now - self.held_at)
        credit = self.credit + (self.aim * (now - self.settled_at) - held) / self.CREDIT_MS
        self.credit = max(-self.CREDIT, min(self.CREDIT, credit))
        self.settled_at = self.held_at = now
        self.held_ms = 0.0


class Pools:
    """Pools by `plan` for stages that are numbered as in `numbers`. Times in ms; no clock and no chance."""

    HEADROOM = 1.35  # of a reserve over the mean need: arrivals come in clumps, and a queue costs due time
    SPREAD = 0.8  # places more, by the root of the need: chance is larger, in part, where the need is small
    RETURN_MS = (
        600.0  # a lent place must come back within a second: the mean time to the next end is at most this
    )
    EARNS = (
        1.0  # power of what work earns a place-ms, as its weight: 0 is by need, far above 1 serves one alone
    )
    BEYOND = 0.05  # of its weight for what is beyond a tenant's share: each server only guesses what that is
    EVERY_MS = 300.0  # between two divisions: less than half of the demand's span

    def __init__(self, now: float, plan: Plan, stages: Sequence[Stage], numbers: dict[str, int]) -> None:
        self.plan, self.of = plan, lanes(plan, numbers)
        self.of += [len(plan.pools) - 1] * (len(stages) - len(self.of))
        self.beyond = len(plan.pools)  # the pool of what is beyond its tenant's share
        self.count = self.beyond + 1
        self.sides: list[Side] = []
        for at, pool in enumerate((*plan.pools, Pool("beyond", ()))):
            inside = [stage.utility for stage, lane in zip(stages, self.of, strict=False) if lane == at]
            self.sides.append(Side(now, pool, sum(inside) / len(inside) if inside else 1.0))
        self.budgets = Budgets(plan.retry_ratio, plan.retry_burst, plan.callers_most)
        self.likeness = Likeness(now, plan.likeness_ms)
        self.reading = Reading(now, plan.reading)
        self.divide_at = now
        self.total = self.divided = self.running = 0
        self.capped = any(pool.most < 1.0 for pool in plan.pools)
        self.keeping = any(not pool.lends for pool in plan.pools)
        self.strict = plan.fixed or self.capped  # some pool may not start though the total has room
        self.unlent: list[tuple[int, int]] = []  # pools, and the places that stay empty for each
        self.repeats_seen = self.repeats_marked = 0
        self.redivide(now, 1)

    def lane(self, stage: int) -> int:
        return self.of[stage]

    # What happens

    def read(self, now: float, lane: int, tenant: int, caller: int, again: bool, mark: int,
             waited_ms: float) -> tuple[float, bool]:  # fmt: skip
        """A task was read: its hope, as a part of the time that one like it may usually wait (0: it is let in
        only where a place is free), and whether it is a repeat, marked or by its content."""
        side = self.sides[lane]
        side.read += 1
        side.asked_at = now
        repeat = self.likeness.seen(now, mark) or again
        hope = 1.0
        if not repeat:
            self.budgets.first(caller, tenant)
        else:
            self.repeats_marked += again
            self.repeats_seen += not again
            if not self.budgets.holds(caller, tenant):
                self.budgets.refused += 1
                hope = 0.0
        reading = self.reading
        if (waited_ms > reading.SOON_MS or reading.wait_ms > reading.SOON_MS) and not reading.passes(
            now, waited_ms, side.reserved
        ):
            hope = 0.0
        return hope, repeat

    def place(self, now: float, lane: int, repeat: bool, beyond: bool, waiting: Collection[int],
              usual_ms: float, room: bool) -> tuple[int, float, float, bool]:  # fmt: skip
        """Where a task would wait: its lane, the places that lane comes to, the time that each is held, and
        whether one is free now. Demand is what is asked for first: a caller that repeats makes no reserve
        larger. What is beyond its tenant's share waits apart, so that a tenant that floods makes neither a
        reserve its own nor the headroom that a reserve has over the mean."""
        if beyond and not self.plan.fixed:
            lane = self.beyond
            self.sides[lane].asked_at = now
        side = self.sides[lane]
        if not repeat:
            side.demand.arrived += 1
        slot = side.slot
        slot_ms = slot.value if slot.samples >= side.SEEN else usual_ms
        return lane, self.part(lane, side, waiting), slot_ms, room and self.takes(lane, side)

    def spent(self, tenant: int, caller: int) -> None:
        """A repeat was let in though no place was free for it."""
        self.budgets.spend(caller, tenant)

    def held_off(self, lane: int) -> None:
        self.sides[lane].held_off += 1

    def on(self, now: float, lane: int, first: bool) -> None:
        """A task of it came onto the cores, at its start or back from a call."""
        side = self.sides[lane]
        side.held_ms += side.busy * (now - side.held_at)
        side.held_at = now
        side.busy += 1
        side.started += first
        self.running += 1

    def off(self, now: float, lane: int) -> None:
        side = self.sides[lane]
        side.held_ms += side.busy * (now - side.held_at)
        side.held_at = now
        side.busy -= 1
        self.running -= 1

    def ended(self, now: float, lane: int, slot_ms: float) -> None:
        """A run ended well or badly after so long on the cores, calls not counted."""
        self.sides[lane].slot.add(slot_ms)

    def tick(self, now: float, total: int) -> None:
        self.total = total
        if now >= self.divide_at or not 0.8 * total <= self.divided <= 1.25 * total:
            self.redivide(now, total)

    # What it says

    def part(self, lane: int, side: Side, waiting: Collection[int]) -> float:
        """Places that the pool comes to while those pools have tasks waiting: its own, and by its part of
        what the pools without work leave idle."""
        if self.plan.fixed:
            return max(0.25, side.limit)
        own = taken = max(side.share, side.limit) if side.reserved else side.share
        idle = self.total - taken - self.running + side.busy
        for at in waiting:
            if at != lane:
                other = self.sides[at]
                taken += other.share
                idle += other.busy - other.share
        return max(0.25, own * (1.0 + idle / taken) if idle > 0.0 else own)

    def takes(self, lane: int, side: Side) -> bool:
        """Whether a task of the pool may start, where the total has room for one more."""
        if not self.strict:
            return True
        then = side.busy + 1
        if self.plan.fixed:
            return then <= max(1, round(side.limit))
        if then > 1 and then > side.pool.most * self.total + 0.5:
            return False
        if then <= side.limit or not self.unlent:
            return True
        # Beyond its limit it works on what others lend.
        kept = sum(places for at, places in self.unlent
                   if at != lane and self.sides[at].busy < self.sides[at].limit)  # fmt: skip
        return self.running + 1 + min(kept, self.total - 1) <= self.total

    def next(self, now: float, waiting: Collection[int]) -> int | None:
        """The pool whose task starts next, of those that have one waiting: the one furthest below its
        limit."""
        sides = self.sides
        if self.strict:
            waiting = [lane for lane in waiting if self.takes(lane, sides[lane])]
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
            far = (side.busy + 1.0 - missed) / side.limit
            if far < least:
                best, least = lane, far
        return best

    # Limits

    def redivide(self, now: float, total: int) -> None:
        """Every limit from what is observed: demand as arrivals times the time that a place is held.

        A pool's limit is what it may hold before others that wait; its share is what it comes to on the mean.
        They differ by the headroom of reserves, which others work in as long as it is not asked for."""
        self.total = self.divided = total
        self.divide_at = now + self.EVERY_MS - 1.0
        if self.plan.fixed:
            for side, limit in zip(self.sides, self.static(total), strict=True):
                side.settle(now)
                side.limit = side.share = side.need = side.aim = limit
            return
        usual = self.usual_ms()
        needs, claimed, own, weights = [], [], [], []
        ends = 0.0
        for side in self.sides:
            side.settle(now)
            slot, demand = side.slot.value, side.demand
            ends += side.busy / (slot or 2.0 * self.RETURN_MS)
            slot = slot or usual
            side.need = need = demand.fold(now) * slot if demand.arrived or demand.weight else 0.0
            needs.append(need)
            weights.append((side.pool.weight or side.utility / slot**self.EARNS) * max(need, 0.1))
            if side.reserved and need:
                need = self.HEADROOM * need + self.SPREAD * need**0.5
            claimed.append(need)
            own.append(side.pool.reserve * total)
        weights[self.beyond] *= self.BEYOND
        most = [side.pool.most * total for side in self.sides] if self.capped else None
        limits = shares = divide(total, claimed, own, weights, most)
        if sum(claimed) > total:  # else the headroom of one is no loss to another
            shares = divide(total, needs, own, weights, most)
        for side, limit, share in zip(self.sides, limits, shares, strict=True):
            side.limit, side.share, side.aim = limit, share, min(limit, side.need)
        self.keep_back(now, ends)

    def keep_back(self, now: float, ends: float) -> None:
        """Places that stay empty for pools that may want them: all of those that don't lend, and one of a
        reserve while what runs ends too seldom for a lent place to come back in time. It costs that place
        while long runs hold all others. A total of one is always lent, or nothing else would ever run."""
        slow = 0.0 < ends < 1.0 / self.RETURN_MS
        if not slow and not self.keeping and not self.unlent:
            return
        self.unlent = []
        for at, side in enumerate(self.sides):
            if not side.pool.lends:
                self.unlent.append((at, max(1, int(side.limit))))
            elif slow and side.reserved and side.fresh(now):
                self.unlent.append((at, 1))
        self.strict = bool(self.unlent) or self.capped

    def static(self, total: int) -> list[float]:
        """Fixed parts: the reserve, and the rest by weight."""
        rest = 1.0 - sum(side.pool.reserve for side in self.sides)
        sides = self.sides[: self.beyond]
        weights = sum(side.pool.weight or 1.0 for side in sides)
        parts = [side.pool.reserve + rest * (side.pool.weight or 1.0) / weights for side in sides]
        return [*(max(1.0, total * part) for part in parts), 1.0]

    def usual_ms(self) -> float:
        seen = [side.slot.value for side in self.sides if side.slot.samples]
        return sum(seen) / len(seen) if seen else 100.0

    def counts(self) -> dict[str, float]:
        """For the counters' line, by name; limits and needs in places."""
        found: dict[str, float] = {}
        for side in self.sides:
            for name, value in (
                ("limit", round(side.limit, 2)), ("need", round(side.need, 2)), ("busy", side.busy),
                ("read", side.read), ("turned_away", side.held_off), ("started", side.started),
            ):  # fmt: skip
                found[f"pool_{side.pool.name}_{name}"] = value
        found["repeats_marked"], found["repeats_alike"] = self.repeats_marked, self.repeats_seen
        found["repeats_over_budget"] = self.budgets.refused
        found["budgets_forgotten"] = self.budgets.forgotten
        found["reading_turned_away"] = self.reading.turned_away
        found["likeness_cut_short"] = self.likeness.cut_short
        return found
