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

    def __init__(self, now: float, pool: Pool, utility: float, due_ms: float) -> None:
        self.pool, self.utility, self.due_ms = pool, utility, due_ms
        self.demand = Rate(now, self.DEMAND_MS)
        self.slot = Typical()  # time on the cores between two waits or ends, ms
        self.stays = 1.0  # such times in one run: calls part them
        self.limit = self.credit = self.need = 0.0
        self.busy = 0
        self.asked_at = float("-inf")
        self.read = self.held_off = self.started = self.lent = 0

    def fresh(self, now: float) -> bool:
        return now - self.asked_at < self.FRESH_MS


class Pools:
    """Pools by `plan` for stages that are numbered as in `numbers`. Times in ms; seeds and clocks: none."""

    HEADROOM = 1.35  # of a reserve over the mean need: arrivals come in clumps, and a queue costs due time
    SPREAD = 0.8  # places more, by the root of the need: chance is larger, in part, where the need is small
    # a lent place must come back within a second: the mean time to the next end is this at most
    RETURN_MS = 600.0
    CREDIT_MS = 400.0  # over which a pool's shortfall against its limit counts as one place
    CREDIT = 1.5  # places at the most, either way: what was missed long ago is not made up for
    # power of what work earns a place-ms, as its weight: 0 is by need, 1 serves the dearest alone
    EARNS = 0.75
    EVERY_MS = 50.0  # between two divisions: well under the demand's span

    def __init__(self, now: float, plan: Plan, stages: Sequence[Stage], numbers: dict[str, int]) -> None:
        self.plan, self.of = plan, lanes(plan, numbers)
        self.of += [len(plan.pools) - 1] * (len(stages) - len(self.of))
        self.count = len(plan.pools)
        self.sides: list[Side] = []
        for at, pool in enumerate(plan.pools):
            inside = [stage for stage, lane in zip(stages, self.of, strict=False) if lane == at]
            utility = sum(stage.utility for stage in inside) / len(inside) if inside else 1.0
            due_ms = sum(stage.due_ms for stage in inside) / len(inside) if inside else 1000.0
            self.sides.append(Side(now, pool, utility, due_ms))
        self.budgets = Budgets(plan.retry_ratio, plan.retry_burst, plan.callers_most)
        self.likeness = Likeness(now, plan.likeness_ms)
        self.reading = Reading(now, plan.reading)
        self.divided_at = self.credited_at = now
        self.total = 0
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
        self.repeats_marked += again
        self.repeats_seen += like and not again
        if repeat:
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
        self.credit(now)
        side = self.sides[lane]
        side.busy += 1
        if first:
            side.started += 1
            side.lent += side.busy > side.limit + 1.0

    def off(self, now: float, lane: int) -> None:
        self.credit(now)
        self.sides[lane].busy -= 1

    def ended(self, now: float, lane: int, slot_ms: float) -> None:
        """A run ended well or badly after so long on the cores, calls not counted."""
        self.sides[lane].slot.add(slot_ms)

    def tick(self, now: float, total: int) -> None:
        if total != self.total or now - self.divided_at >= self.EVERY_MS:
            self.credit(now)
            self.redivide(now, total)

    # What it says

    def slot(self, lane: int, usual_ms: float) -> float:
        """Time that a task of the pool holds a place; the usual of all classes until some have ended."""
        side = self.sides[lane]
        return side.slot.value if side.slot.samples >= 3 else usual_ms

    def part(self, lane: int, waiting: Collection[int]) -> float:
        """Places that the pool comes to while those pools have tasks waiting: its limit, and its part of what
        the pools without work leave."""
        if self.plan.fixed:
            return max(0.25, self.sides[lane].limit)
        taken = sum(self.sides[at].limit for at in waiting if at != lane) + self.sides[lane].limit
        idle = sum(max(0.0, side.limit - side.busy) for at, side in enumerate(self.sides)
                   if at != lane and at not in waiting and side.pool.lends)  # fmt: skip
        return max(0.25, self.sides[lane].limit * (1.0 + idle / taken))

    def takes(self, now: float, lane: int, total: int) -> bool:
        """Whether a task of the pool may start, where the total has room for one more."""
        side = self.sides[lane]
        if self.plan.fixed:
            return side.busy < max(1, round(side.limit))
        if side.busy + 1 > max(1.0, side.pool.most * total + 0.5):
            return False
        if side.busy + 1 <= side.limit:
            return True
        # Beyond its limit it works on what others lend.
        running = sum(other.busy for other in self.sides)
        return running + 1 + self.unlent(now, lane) <= total

    def unlent(self, now: float, lane: int) -> int:
        """Places that stay empty for pools that may want them: all of those that don't lend, and one of a
        reserve while what runs ends too seldom for a lent place to come back in time. Idle cost: that place,
        while long runs hold all others. A total of one place is always lent, or nothing else would ever
        run."""
        kept = 0
        for at, side in enumerate(self.sides):
            if at == lane or side.busy + 1 > side.limit:
                continue
            if not side.pool.lends:
                kept += int(side.limit - side.busy)
            elif side.pool.reserve > 0.0 and side.fresh(now) and self.ends_every_ms() > self.RETURN_MS:
                kept += 1
        return min(kept, max(0, self.total - 1))

    def ends_every_ms(self) -> float:
        """Mean time to the next end of what runs; a pool of which nothing has ended counts as slow."""
        rate = sum(side.busy / (side.slot.value or 2.0 * self.RETURN_MS) for side in self.sides)
        return 1.0 / rate if rate else 0.0

    def next(self, now: float, waiting: Collection[int], total: int) -> int | None:
        """The pool whose task starts next, of those that have one waiting: the one furthest below its limit,
        what it missed lately counted in."""
        self.credit(now)
        best, least = None, float("inf")
        for lane in waiting:
            if not self.takes(now, lane, total):
                continue
            side = self.sides[lane]
            far = (side.busy + 1.0 - side.credit) / side.limit
            if far < least:
                best, least = lane, far
        return best

    # Limits

    def credit(self, now: float) -> None:
        """Whole tasks in few places can't keep to a broken limit at any moment: over time they do, by
        this."""
        past, self.credited_at = now - self.credited_at, now
        if past <= 0.0:
            return
        gain = min(1.0, past / self.CREDIT_MS)
        for side in self.sides:
            missed = min(side.limit, side.need) - side.busy
            side.credit = max(-self.CREDIT, min(self.CREDIT, side.credit + gain * missed))
            if not side.busy and not side.fresh(now):
                side.credit = 0.0

    def redivide(self, now: float, total: int) -> None:
        """Every limit from what is observed: demand as arrivals times the time that a place is held."""
        self.total, self.divided_at = total, now
        if self.plan.fixed:
            for side, limit in zip(self.sides, self.static(total), strict=True):
                side.limit = side.need = limit
            return
        usual = self.usual_ms()
        claims = []
        for side in self.sides:
            slot = side.slot.value or usual
            need = side.demand.read(now) * slot
            side.need = need
            if side.pool.reserve > 0.0 and side.fresh(now):
                need = self.HEADROOM * need + self.SPREAD * need**0.5
            earns = side.pool.weight or (side.utility / slot) ** self.EARNS
            weight = earns * max(need, 0.1)
            claims.append(Claim(need, side.pool.reserve * total, weight, side.pool.most * total))
        for side, limit in zip(self.sides, divide(float(total), claims), strict=True):
            side.limit = limit

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
