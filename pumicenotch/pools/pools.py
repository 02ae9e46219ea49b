"""The reducer of the pools: which class's work may start, and what a task may hope for on its arrival.

The decision module tells it what happens (read, started, off the cores, ended, tick) with the time, and asks
it three questions: what hope a task has (`read`), how many places a pool comes to (`part`), and which pool's
work starts next (`next`). Whose work it is, HWCS says. The total is the decision module's own; pools divide
it."""

from collections.abc import Collection, Sequence

from pumicenotch.interface import Stage
from pumicenotch.pools.budget import Budgets
from pumicenotch.pools.divide import Claim, divide
from pumicenotch.pools.estimate import Rate, Typical
from pumicenotch.pools.likeness import Likeness
from pumicenotch.pools.plan import Plan, Pool, lanes
from pumicenotch.pools.reading import Reading


class Side:
    """What is known of one pool."""

    DEMAND_MS = 700.0  # over which demand is a mean: a shift of classes shows within a second, chance less so
    FRESH_MS = 5000.0  # after its last task a pool is one that nobody sends to
    CREDIT_MS = 400.0  # over which a place short of its limit counts as one missed
    CREDIT = 1.5  # places at the most, either way: what was missed long ago is not made up for

    def __init__(self, now: float, pool: Pool, utility: float) -> None:
        self.pool, self.utility = pool, utility
        self.demand = Rate(now, self.DEMAND_MS)
        self.slot = Typical()  # time on the cores of one run, ms
        self.limit = self.share = self.need = self.credit = 0.0
        self.aim = 0.0  # places that it could use now: the lesser of limit and need
        self.credited_at = now
        self.busy = 0
        self.asked_at = float("-inf")
        self.read = self.held_off = self.started = self.lent = 0

    def fresh(self, now: float) -> bool:
        return now - self.asked_at < self.FRESH_MS

    def settle(self, now: float) -> float:
        """Its credit up to now. Whole tasks in few places can't keep to a broken limit at any moment; over
        time they do by this. It changes evenly between changes of what it counts, so it is brought up to date
        only there and where it is read."""
        gain = (self.aim - self.busy) * (now - self.credited_at) / self.CREDIT_MS
        self.credited_at = now
        self.credit = max(-self.CREDIT, min(self.CREDIT, self.credit + gain))
        return self.credit


class Pools:
    """Pools by `plan` for stages that are numbered as in `numbers`. Times in ms; no clock and no chance."""

    HEADROOM = 1.35  # of a reserve over the mean need: arrivals come in clumps, and a queue costs due time
    SPREAD = 0.8  # places more, by the root of the need: chance is larger, in part, where the need is small
    # a lent place must come back within a second: the mean time to the next end is at most this
    RETURN_MS = 600.0
    # power of what work earns a place-ms, as its weight: 0 is by need, far above 1 serves one alone
    EARNS = 1.0
    EVERY_MS = 200.0  # between two divisions: a part of the demand's span

    def __init__(self, now: float, plan: Plan, stages: Sequence[Stage], numbers: dict[str, int]) -> None:
        self.plan, self.of = plan, lanes(plan, numbers)
        self.of += [len(plan.pools) - 1] * (len(stages) - len(self.of))
        self.count = len(plan.pools)
        self.sides: list[Side] = []
        for at, pool in enumerate(plan.pools):
            inside = [stage.utility for stage, lane in zip(stages, self.of, strict=False) if lane == at]
            self.sides.append(Side(now, pool, sum(inside) / len(inside) if inside else 1.0))
        self.budgets = Budgets(plan.retry_ratio, plan.retry_burst, plan.callers_most)
        self.likeness = Likeness(now, plan.likeness_ms)
        self.reading = Reading(now, plan.reading)
        self.divided_at = now
        self.total = self.running = 0
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
        like = self.likeness.seen(now, mark)
        repeat = again or like
        if repeat:
            self.repeats_marked += again
            self.repeats_seen += like and not again
            within = self.budgets.repeat(caller, tenant)
        else:
            within = True
            side.demand.add(now)
            self.budgets.first(caller, tenant)
        if not self.reading.passes(now, waited_ms, side.pool.reserve > 0.0):
            return 0.0, repeat
        if not within:
            self.budgets.refused += 1
            return 0.0, repeat
        return 1.0, repeat

    def took(self, lane: int, tenant: int, caller: int, repeat: bool, at_once: bool) -> None:
        """The task was let in. A repeat that found a place free cost nobody anything."""
        if repeat and not at_once:
            self.budgets.spend(caller, tenant)

    def held_off(self, lane: int) -> None:
        self.sides[lane].held_off += 1

    def on(self, now: float, lane: int, first: bool) -> None:
        """A task of it came onto the cores, at its start or back from a call."""
        side = self.sides[lane]
        side.settle(now)
        side.busy += 1
        self.running += 1
        if first:
            side.started += 1
            side.lent += side.busy > side.limit + 1.0

    def off(self, now: float, lane: int) -> None:
        side = self.sides[lane]
        side.settle(now)
        side.busy -= 1
        self.running -= 1

    def ended(self, now: float, lane: int, slot_ms: float) -> None:
        """A run ended well or badly after so long on the cores, calls not counted."""
        self.sides[lane].slot.add(slot_ms)

    def tick(self, now: float, total: int) -> None:
        if total != self.total or now - self.divided_at >= self.EVERY_MS - 1.0:
            self.redivide(now, total)

    # What it says

    def slot(self, lane: int, usual_ms: float) -> float:
        """Time that a task of the pool holds a place; the usual of all classes until some have ended."""
        slot = self.sides[lane].slot
        return slot.value if slot.samples >= 3 else usual_ms

    def part(self, lane: int, waiting: Collection[int]) -> float:
        """Places that the pool comes to while those pools have tasks waiting: its own, and by its part of
        what the pools without work leave idle."""
        side = self.sides[lane]
        if self.plan.fixed:
            return max(0.25, side.limit)
        own = taken = max(side.share, side.limit) if side.pool.reserve > 0.0 else side.share
        busy = side.busy
        for at in waiting:
            if at != lane:
                taken += self.sides[at].share
                busy += self.sides[at].busy
        idle = self.total - taken - (self.running - busy)
        return max(0.25, own * (1.0 + idle / taken) if idle > 0.0 else own)

    def takes(self, now: float, lane: int, total: int) -> bool:
        """Whether a task of the pool may start, where the total has room for one more."""
        side = self.sides[lane]
        then = side.busy + 1
        if self.plan.fixed:
            return then <= max(1, round(side.limit))
        if then > 1 and then > side.pool.most * total + 0.5:
            return False
        if then <= side.limit or not self.unlent:
            return True
        # Beyond its limit it works on what others lend.
        kept = sum(places for at, places in self.unlent
                   if at != lane and self.sides[at].busy < self.sides[at].limit)  # fmt: skip
        return self.running + 1 + min(kept, total - 1) <= total

    def next(self, now: float, waiting: Collection[int], total: int) -> int | None:
        """The pool whose task starts next, of those that have one waiting: the one furthest below its limit,
        what it missed lately counted in."""
        best, least = None, float("inf")
        for lane in waiting:
            if self.takes(now, lane, total):
                side = self.sides[lane]
                far = (side.busy + 1.0 - side.settle(now)) / side.limit
                if far < least:
                    best, least = lane, far
        return best

    # Limits

    def redivide(self, now: float, total: int) -> None:
        """Every limit from what is observed: demand as arrivals times the time that a place is held.

        A pool's limit is what it may hold before others that wait; its share is what it comes to on the mean.
        They differ by the headroom of reserves, which others work in as long as it is not asked for."""
        self.total, self.divided_at = total, now
        if self.plan.fixed:
            for side, limit in zip(self.sides, self.static(total), strict=True):
                side.settle(now)
                side.limit = side.share = side.need = side.aim = limit
            return
        usual = self.usual_ms()
        means, claims = [], []
        ends = 0.0
        for side in self.sides:
            side.settle(now)
            slot = side.slot.value or usual
            side.need = need = side.demand.read(now) * slot
            ends += side.busy / (side.slot.value or 2.0 * self.RETURN_MS)
            weight = (side.pool.weight or side.utility / slot**self.EARNS) * max(need, 0.1)
            own, most = side.pool.reserve * total, side.pool.most * total
            means.append(Claim(need, own, weight, most))
            if own and side.fresh(now):
                need = self.HEADROOM * need + self.SPREAD * need**0.5
            claims.append(Claim(need, own, weight, most))
        limits = shares = divide(float(total), claims)
        if sum(claim.need for claim in claims) > total:  # else the headroom of one is no loss to another
            shares = divide(float(total), means)
        for side, limit, share in zip(self.sides, limits, shares, strict=True):
            side.limit, side.share, side.aim = limit, share, min(limit, side.need)
        self.keep_back(now, ends)

    def keep_back(self, now: float, ends: float) -> None:
        """Places that stay empty for pools that may want them: all of those that don't lend, and one of a
        reserve while what runs ends too seldom for a lent place to come back in time. It costs that place
        while long runs hold all others. A total of one is always lent, or nothing else would ever run."""
        slow = ends > 0.0 and 1.0 / ends > self.RETURN_MS
        self.unlent = []
        for at, side in enumerate(self.sides):
            if not side.pool.lends:
                self.unlent.append((at, max(1, int(side.limit))))
            elif slow and side.pool.reserve > 0.0 and side.fresh(now):
                self.unlent.append((at, 1))

    def static(self, total: int) -> list[float]:
        """Fixed parts: the reserve, and the rest by weight."""
        rest = 1.0 - sum(side.pool.reserve for side in self.sides)
        weights = sum(side.pool.weight or 1.0 for side in self.sides)
        parts = [side.pool.reserve + rest * (side.pool.weight or 1.0) / weights for side in self.sides]
        return [max(1.0, total * part) for part in parts]

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
                ("on_lent", side.lent),
            ):  # fmt: skip
                found[f"pool_{side.pool.name}_{name}"] = value
        found["repeats_marked"], found["repeats_alike"] = self.repeats_marked, self.repeats_seen
        found["repeats_over_budget"] = self.budgets.refused
        found["budgets_forgotten"] = self.budgets.forgotten
        found["reading_turned_away"] = self.reading.turned_away
        found["likeness_cut_short"] = self.likeness.cut_short
        return found
