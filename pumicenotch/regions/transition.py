"""The transition from one traffic plan to the next, in bounded steps."""

from collections.abc import Iterable, Mapping

from pumicenotch.regions.traffic_plan import (
    FRACTION_DIGITS,
    NEGLIGIBLE_WORK,
    REJECTED,
    Route,
    TrafficPlan,
)
from pumicenotch.regions.zones import Demand, Zone, ZoneState

Fractions = Mapping[str, float]  # of one flow, by target


def step_towards(
    current: TrafficPlan,
    goal: TrafficPlan,
    zones: Iterable[Zone],
    demand: Demand,
    max_step_fraction: float,
) -> TrafficPlan:
    """One step from the current plan to the goal, under the goal's epoch.

    No zone takes on more than `max_step_fraction` of its capacity at once, its own returning
    traffic included. Traffic leaves a zone that serves nobody at once all the same: what may not
    yet go to its new target is rejected meanwhile.
    """
    zones_by_name = {zone.name: zone for zone in zones}
    unusable = {
        name
        for name, zone in zones_by_name.items()
        if zone.state in (ZoneState.LOST, ZoneState.EVACUATED)
    }
    pace = {
        target: pace_of(zones_by_name[target], work, max_step_fraction)
        for target, work in added_load(current, goal, demand).items()
        if target in zones_by_name
    }
    routes: list[Route] = []
    for flow in sorted({route.flow for route in goal.routes}):
        fractions = step_flow(current.fractions(flow), goal.fractions(flow), pace, unusable)
        routes += [Route(*flow, target, part) for target, part in sorted(fractions.items())]
    return TrafficPlan(goal.epoch, tuple(routes))


def added_load(current: TrafficPlan, goal: TrafficPlan, demand: Demand) -> dict[str, float]:
    """Work a second that each target takes on between the two plans."""
    added: dict[str, float] = {}
    for flow in sorted({route.flow for route in goal.routes}):
        before = current.fractions(flow)
        for target, fraction in goal.fractions(flow).items():
            if target != REJECTED and before:
                gain = max(0.0, fraction - before.get(target, 0.0)) * demand.get(flow, 0.0)
                added[target] = added.get(target, 0.0) + gain
    return added


def pace_of(zone: Zone, added_work: float, max_step_fraction: float) -> float:
    """The fraction of its added load that a zone may take on in one step."""
    if added_work <= NEGLIGIBLE_WORK:
        return 1.0
    return min(1.0, max_step_fraction * zone.capacity / added_work)


def step_flow(
    before: Fractions, goal: Fractions, pace: Fractions, unusable: set[str]
) -> dict[str, float]:
    """Where one flow goes after one step.

    Gains first use what is free: the traffic of unusable zones and what was rejected. What they
    need beyond that is taken in proportion from the targets that are to give; what the goal rejects
    is taken from these at once, since it relieves them.
    """
    if not before:
        return dict(goal)
    gains = {
        target: (fraction - before.get(target, 0.0)) * pace.get(target, 1.0)
        for target, fraction in goal.items()
        if target != REJECTED and fraction > before.get(target, 0.0)
    }
    kept = {
        target: fraction
        for target, fraction in before.items()
        if target not in unusable and target != REJECTED
    }
    free = 1.0 - sum(kept.values())
    wanted = sum(gains.values())
    losses = {
        target: fraction - goal.get(target, 0.0)
        for target, fraction in kept.items()
        if fraction > goal.get(target, 0.0)
    }
    total_loss = sum(losses.values())
    needed = wanted + goal.get(REJECTED, 0.0) - free
    taken = min(1.0, max(0.0, needed) / total_loss) if total_loss > NEGLIGIBLE_WORK else 0.0
    for target, loss in losses.items():
        kept[target] -= loss * taken
    granted = min(1.0, (free + total_loss * taken) / wanted) if wanted > NEGLIGIBLE_WORK else 1.0
    for target, gain in gains.items():
        kept[target] = kept.get(target, 0.0) + gain * granted
    return rounded(kept)


def rounded(fractions: Fractions) -> dict[str, float]:
    """The fractions to the plan's digits; what is missing to the whole is rejected."""
    result = {
        target: round(fraction, FRACTION_DIGITS)
        for target, fraction in fractions.items()
        if round(fraction, FRACTION_DIGITS) > 0.0
    }
    rejected = round(1.0 - sum(result.values()), FRACTION_DIGITS)
    if rejected > 0.0:
        result[REJECTED] = rejected
    return result
