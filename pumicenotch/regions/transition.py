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

Fractions = Mapping[str, float]  # fractions by target, for example of one flow


def step_towards(
    current: TrafficPlan,
    goal: TrafficPlan,
    zones: Iterable[Zone],
    demand: Demand,
    max_step_fraction: float,
) -> TrafficPlan:
    """Returns the plan after one step from the current plan towards the goal.

    No zone gains more than `max_step_fraction` of its capacity in one step, its own returning
    traffic included. Traffic leaves a lost or evacuated zone at once: traffic that its new target
    may not take yet is rejected until a later step.

    Args:
        current: The plan in force.
        goal: The plan to reach; the step has the goal's epoch.
        zones: All zones in their current state.
        demand: The work per second of each flow.
        max_step_fraction: The fraction of its capacity that a zone may gain in one step.
    """
    zones_by_name = {zone.name: zone for zone in zones}
    unusable = {
        name
        for name, zone in zones_by_name.items()
        if zone.state in (ZoneState.LOST, ZoneState.EVACUATED)
    }
    step_fractions = {
        target: step_fraction(zones_by_name[target], work, max_step_fraction)
        for target, work in added_load(current, goal, demand).items()
        if target in zones_by_name
    }
    routes: list[Route] = []
    for flow in sorted({route.flow for route in goal.routes}):
        fractions = step_flow(
            current.fractions(flow), goal.fractions(flow), step_fractions, unusable
        )
        routes += [
            Route(*flow, target, target_fraction)
            for target, target_fraction in sorted(fractions.items())
        ]
    return TrafficPlan(goal.epoch, tuple(routes))


def added_load(current: TrafficPlan, goal: TrafficPlan, demand: Demand) -> dict[str, float]:
    """Returns the work per second that each target gains between the two plans."""
    added: dict[str, float] = {}
    for flow in sorted({route.flow for route in goal.routes}):
        current_fractions = current.fractions(flow)
        for target, fraction in goal.fractions(flow).items():
            if target != REJECTED and current_fractions:
                gain = max(0.0, fraction - current_fractions.get(target, 0.0)) * demand.get(
                    flow, 0.0
                )
                added[target] = added.get(target, 0.0) + gain
    return added


def step_fraction(zone: Zone, added_work: float, max_step_fraction: float) -> float:
    """Returns the fraction of its added load that a zone may take in one step."""
    if added_work <= NEGLIGIBLE_WORK:
        return 1.0
    return min(1.0, max_step_fraction * zone.capacity / added_work)


def step_flow(
    current_fractions: Fractions, goal: Fractions, step_fractions: Fractions, unusable: set[str]
) -> dict[str, float]:
    """Returns the fractions of one flow after one step.

    Gains first use the available fraction: the traffic of unusable zones and rejected traffic. Any
    further fraction needed is taken in proportion from the targets that lose traffic. The fraction
    that the goal rejects is taken from them at once, since rejecting traffic relieves them.

    Args:
        current_fractions: The flow's fractions before the step; empty for a new flow.
        goal: The flow's fractions in the goal.
        step_fractions: The fraction of its gain that each target may take in one step.
        unusable: The zones that traffic leaves at once.
    """
    if not current_fractions:
        return dict(goal)
    gains = {
        target: (fraction - current_fractions.get(target, 0.0)) * step_fractions.get(target, 1.0)
        for target, fraction in goal.items()
        if target != REJECTED and fraction > current_fractions.get(target, 0.0)
    }
    next_fractions = {
        target: fraction
        for target, fraction in current_fractions.items()
        if target not in unusable and target != REJECTED
    }
    available_fraction = 1.0 - sum(next_fractions.values())
    total_gain = sum(gains.values())
    losses = {
        target: fraction - goal.get(target, 0.0)
        for target, fraction in next_fractions.items()
        if fraction > goal.get(target, 0.0)
    }
    total_loss = sum(losses.values())
    needed_fraction = total_gain + goal.get(REJECTED, 0.0) - available_fraction
    loss_scale = (
        min(1.0, max(0.0, needed_fraction) / total_loss) if total_loss > NEGLIGIBLE_WORK else 0.0
    )
    for target, loss in losses.items():
        next_fractions[target] -= loss * loss_scale
    gain_scale = (
        min(1.0, (available_fraction + total_loss * loss_scale) / total_gain)
        if total_gain > NEGLIGIBLE_WORK
        else 1.0
    )
    for target, gain in gains.items():
        next_fractions[target] = next_fractions.get(target, 0.0) + gain * gain_scale
    return round_fractions(next_fractions)


def round_fractions(fractions: Fractions) -> dict[str, float]:
    """Rounds fractions to the plan's digits; a remainder to 1 is assigned to REJECTED."""
    result = {
        target: round(fraction, FRACTION_DIGITS)
        for target, fraction in fractions.items()
        if round(fraction, FRACTION_DIGITS) > 0.0
    }
    rejected = round(1.0 - sum(result.values()), FRACTION_DIGITS)
    if rejected > 0.0:
        result[REJECTED] = rejected
    return result
