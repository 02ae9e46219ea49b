"""The state of each zone, by what observers in other zones see, what it reports and what it serves.

A zone that others cannot reach may be serving its own gateways well, and an observer that reaches
nobody may be the one that is partitioned. So no observer judges its own zone; an observer that
believes most of all others dead is left out; and with less than a majority of observers left,
nothing is known and nothing changes. The monitor runs where the leader runs; what it finds is for
the fleet to agree.
"""

from statistics import median
from typing import NamedTuple

from pumicenotch.regions.zones import ZoneState

HEALTHY = ZoneState.HEALTHY
DEGRADED = ZoneState.DEGRADED
PARTITIONED = ZoneState.PARTITIONED
LOST = ZoneState.LOST
EVACUATED = ZoneState.EVACUATED
RECOVERING = ZoneState.RECOVERING

REPORT_TTL_MS = 3000.0  # observers and members report twice a second or more
# Since its members' last report, to count as running. Under WORSE_AFTER_MS, or a loss would first
# be found as a partition.
RUNNING_TTL_MS = 1500.0
MAX_ALIVE_FRACTION_WHEN_OUT = 1.0 / 3.0  # of a zone's members
MIN_DEAD_FRACTION_WHEN_BLIND = 0.5  # of all others, in the view of an observer that is left out
DEGRADED_BELOW_FRACTION = 0.6  # of what other zones serve of their requests (median)
MIN_REQUESTS_TO_JUDGE = 50.0  # requests that a zone's service can be judged by
SERVICE_HALF_LIFE_MS = 2000.0  # of the counts of requests
WORSE_AFTER_MS = 2000.0  # that a zone must appear worse before it is found so
BETTER_AFTER_MS = 3000.0  # that a zone must appear healthy, at the first change
MAX_BETTER_AFTER_MS = 120_000.0  # doubled by each recent change, up to this
FLAP_HALF_LIFE_MS = 600_000.0  # of the count of changes
RAMP_STEP_FRACTION = 0.34  # of its capacity: a recovering zone is back in three steps
RAMP_STEP_MS = 3000.0


class ZoneView(NamedTuple):
    """What one observer believes of one zone's members."""

    alive: int
    total: int


class ZoneChange(NamedTuple):
    """A finding that differs from the one before."""

    zone: str
    state: ZoneState
    ramp_fraction: float  # of the zone's capacity that may be used
    reason: str


class Appearance(NamedTuple):
    """What a zone appears to be at this moment; no state where nobody can tell."""

    state: ZoneState | None
    reason: str


class ZoneReport(NamedTuple):
    """Counts that a zone's own members report, since their last report."""

    requests: float
    served_in_time: float


class ZoneRecord:
    """What is known of one zone: its state, what it appears to be, its recent changes."""

    def __init__(self, now: float) -> None:
        self.state = HEALTHY
        self.ramp_fraction = 1.0
        self.apparent_state = HEALTHY
        self.appears_since = now
        self.stepped_at = now
        self.flaps = 0.0
        self.flapped_at = now
        self.evacuation_reason = ""
        self.reported_at = float("-inf")
        self.requests = 0.0
        self.served_in_time = 0.0

    def add_report(self, now: float, report: ZoneReport) -> None:
        """Adds the counts to those before, which decay."""
        if self.reported_at > float("-inf"):
            decay = 0.5 ** ((now - self.reported_at) / SERVICE_HALF_LIFE_MS)
            self.requests *= decay
            self.served_in_time *= decay
        self.reported_at = now
        self.requests += report.requests
        self.served_in_time += report.served_in_time

    @property
    def served_fraction(self) -> float | None:
        """Of its requests those served in time; None while there are too few to tell."""
        if self.requests < MIN_REQUESTS_TO_JUDGE:
            return None
        return self.served_in_time / self.requests

    def recent_flaps(self, now: float) -> float:
        """Changes for the worse; older ones count less."""
        return self.flaps * float(0.5 ** ((now - self.flapped_at) / FLAP_HALF_LIFE_MS))

    def recovery_delay_ms(self, now: float) -> float:
        """How long the zone must appear healthy before its recovery begins or goes on."""
        if self.state is RECOVERING:
            return 0.0
        doublings = max(0.0, self.recent_flaps(now) - 1.0)
        return float(min(MAX_BETTER_AFTER_MS, BETTER_AFTER_MS * 2.0**doublings))

    def change_to(self, now: float, state: ZoneState, ramp_fraction: float) -> None:
        """Sets state and ramp; the time of the step is taken where either differs."""
        if (self.state, self.ramp_fraction) != (state, ramp_fraction):
            self.state = state
            self.ramp_fraction = ramp_fraction
            self.stepped_at = now

    def appears(self, now: float, state: ZoneState) -> None:
        """Notes the apparent state, and since when it has lasted."""
        if state is not self.apparent_state:
            self.apparent_state = state
            self.appears_since = now

    def advance(self, now: float) -> None:
        """Makes the apparent state the zone's own once it has lasted long enough."""
        apparent = self.apparent_state
        lasted_ms = now - self.appears_since
        if apparent is EVACUATED:
            self.change_to(now, EVACUATED, 0.0)
        elif apparent is HEALTHY:
            if self.state is not HEALTHY and lasted_ms >= self.recovery_delay_ms(now):
                self.recover(now)
        elif apparent is not self.state and lasted_ms >= WORSE_AFTER_MS:
            self.flaps = self.recent_flaps(now) + 1.0
            self.flapped_at = now
            self.change_to(now, apparent, 0.0 if apparent is LOST else 1.0)

    def recover(self, now: float) -> None:
        """One step back to health: a ramp for a zone that was out, at once for a degraded one."""
        if self.state in (LOST, PARTITIONED, EVACUATED):
            self.change_to(now, RECOVERING, RAMP_STEP_FRACTION)
        elif self.state is not RECOVERING:
            self.change_to(now, HEALTHY, 1.0)
        elif now - self.stepped_at >= RAMP_STEP_MS:
            ramp_fraction = min(1.0, self.ramp_fraction + RAMP_STEP_FRACTION)
            is_complete = ramp_fraction >= 1.0
            self.change_to(now, HEALTHY if is_complete else RECOVERING, ramp_fraction)


class ObserverReport(NamedTuple):
    """The latest report of one observer: its views by zone."""

    received_at: float
    views: dict[str, ZoneView]


class ZoneHealthMonitor:
    """Finds the state of each zone. All times are ms.

    Args:
        observer_zones: each observer's own zone, by the observer's name.
        now: the time of the start.
    """

    def __init__(self, observer_zones: dict[str, str], now: float) -> None:
        self.observer_zones = dict(observer_zones)
        self.now = now
        self.zones: dict[str, ZoneRecord] = {}
        self.reports: dict[str, ObserverReport] = {}

    def zone(self, name: str) -> ZoneRecord:
        """The record of that zone, begun where there is none."""
        return self.zones.setdefault(name, ZoneRecord(self.now))

    def on_observer_report(self, now: float, observer: str, views: dict[str, ZoneView]) -> None:
        """An observer tells what it believes of each zone; unknown observers are ignored."""
        self.now = max(self.now, now)
        if observer in self.observer_zones:
            self.reports[observer] = ObserverReport(self.now, dict(views))
            for zone in views:
                self.zone(zone)

    def on_zone_report(self, now: float, zone: str, report: ZoneReport) -> None:
        """A zone's own members report what they have served."""
        self.now = max(self.now, now)
        self.zone(zone).add_report(self.now, report)

    def evacuate(self, now: float, zone: str, reason: str) -> None:
        """An operator empties the zone; with an empty reason it may recover."""
        self.now = max(self.now, now)
        self.zone(zone).evacuation_reason = reason

    def update(self, now: float) -> list[ZoneChange]:
        """What has changed since the last call, in the order of the zones' names."""
        self.now = max(self.now, now)
        changes = []
        for name, record in sorted(self.zones.items()):
            before = (record.state, record.ramp_fraction)
            appearance = self.appearance(name)
            if appearance.state is None:
                record.appears_since = self.now  # what was about to be found must be seen again
            else:
                record.appears(self.now, appearance.state)
                record.advance(self.now)
            if (record.state, record.ramp_fraction) != before:
                change = ZoneChange(name, record.state, record.ramp_fraction, appearance.reason)
                changes.append(change)
        return changes

    def appearance(self, zone: str) -> Appearance:
        """What the zone appears to be now."""
        record = self.zone(zone)
        if record.evacuation_reason:
            return Appearance(EVACUATED, record.evacuation_reason)
        observers = [name for name, home in self.observer_zones.items() if home != zone]
        views = self.usable_views(zone, observers)
        if 2 * len(views) <= len(observers):
            return Appearance(None, "")
        alive = median(view.alive / view.total if view.total else 1.0 for view in views)
        if alive <= MAX_ALIVE_FRACTION_WHEN_OUT:
            if self.now - record.reported_at <= RUNNING_TTL_MS:
                return Appearance(PARTITIONED, f"others reach {alive:.0%} of it, and it runs")
            counted = f"{len(views)} of {len(observers)} observers"
            return Appearance(LOST, f"others reach {alive:.0%} of it, by {counted}")
        if reason := self.degradation(zone):
            return Appearance(DEGRADED, reason)
        return Appearance(HEALTHY, f"others reach {alive:.0%} of it")

    def usable_views(self, zone: str, observers: list[str]) -> list[ZoneView]:
        """Fresh views of that zone by those observers, without blind ones where known."""
        has_other_zones = len(self.zones.keys() - {zone}) > 1
        return [
            report.views[zone]
            for observer, report in self.reports.items()
            if observer in observers
            and self.now - report.received_at <= REPORT_TTL_MS
            and zone in report.views
            and not (has_other_zones and self.is_blind(observer, report.views))
        ]

    def is_blind(self, observer: str, views: dict[str, ZoneView]) -> bool:
        """Whether an observer reaches so few of all others that it must be the one at fault."""
        home = self.observer_zones[observer]
        others = [view for zone, view in views.items() if zone != home]
        total = sum(view.total for view in others)
        alive = sum(view.alive for view in others)
        return total > 0 and alive < (1.0 - MIN_DEAD_FRACTION_WHEN_BLIND) * total

    def degradation(self, zone: str) -> str:
        """Why the zone is degraded, compared with what healthy zones serve in the same seconds.

        Empty where it is not. Where all serve badly none is degraded: no failover would help.
        """
        served = self.zone(zone).served_fraction
        others = [
            fraction
            for name, record in self.zones.items()
            if name != zone
            and record.state is HEALTHY
            and (fraction := record.served_fraction) is not None
        ]
        if served is None or not others:
            return ""
        typical = median(others)
        if served >= DEGRADED_BELOW_FRACTION * typical:
            return ""
        return f"{served:.0%} of its requests are served in time, of the others' {typical:.0%}"
