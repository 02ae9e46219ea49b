"""Determines the state of each zone from observers in other zones and from the zone's own reports.

A zone that others cannot reach may still serve its own gateways, and an observer that reaches no
member may itself be partitioned. For these reasons observers do not assess their own zone, and an
observer that believes most members of all other zones dead is ignored as isolated. Without usable
views of a majority of observers, the state of a zone is unknown and does not change. The monitor
runs in the leader's process; the fleet must agree on its findings before they take effect.
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

# How long an observer's report is used. Observers and members report at least twice a second.
REPORT_TTL_MS = 3000.0
# How long a zone counts as running after its members' last report. Must be less than
# FAILURE_CONFIRMATION_MS, or a lost zone would first be reported as partitioned.
RUNNING_TTL_MS = 1500.0
# A zone is unreachable if at most this fraction of its members is believed alive (median of the
# observers).
MAX_ALIVE_FRACTION_WHEN_UNREACHABLE = 1.0 / 3.0
# An observer is isolated if it believes more than this fraction of all other zones' members dead.
MIN_DEAD_FRACTION_WHEN_ISOLATED = 0.5
# A zone is degraded if the fraction of its requests served in time is below this multiple of the
# median of other zones.
DEGRADED_BELOW_FRACTION = 0.6
MIN_REQUESTS_TO_JUDGE = 50.0  # recent requests required to determine whether a zone is degraded
SERVICE_HALF_LIFE_MS = 2000.0  # half-life of the request counts
# How long a zone must be assessed as degraded, partitioned or lost before its state changes.
FAILURE_CONFIRMATION_MS = 2000.0
# How long a zone must be assessed as healthy before it starts to recover. The time doubles with
# each recent change for the worse after the first, up to the maximum.
RECOVERY_CONFIRMATION_MS = 3000.0
MAX_RECOVERY_CONFIRMATION_MS = 120_000.0
FLAP_HALF_LIFE_MS = 600_000.0  # half-life of the number of changes for the worse
# The fraction of its capacity that a recovering zone regains per step: three steps to recover.
RAMP_STEP_FRACTION = 0.34
RAMP_STEP_MS = 3000.0  # time between two ramp steps


class ZoneView(NamedTuple):
    """The number of a zone's members that one observer believes alive."""

    alive: int
    total: int


class ZoneChange(NamedTuple):
    """A change of a zone's state or ramp."""

    zone: str
    state: ZoneState
    ramp_fraction: float  # fraction of the zone's capacity that may be used
    reason: str


class Assessment(NamedTuple):
    """The momentary assessment of a zone; `state` is None if it cannot be determined."""

    state: ZoneState | None
    reason: str


class ZoneReport(NamedTuple):
    """The requests of a zone since its last report, as counted by its own members."""

    requests: float
    served_in_time: float


class ZoneRecord:
    """The state of one zone, its latest assessment and its recent changes for the worse.

    Args:
        now_ms: The time when the zone becomes known; it starts as healthy.

    Attributes:
        state: The current state of the zone.
        ramp_fraction: The fraction of the zone's capacity that may be used.
        assessed_state: The latest assessment, which becomes the state once it is confirmed.
        assessed_since_ms: Since when `assessed_state` has been unchanged.
        changed_at_ms: When `state` or `ramp_fraction` last changed.
        flap_count: The number of changes for the worse, decayed up to `flapped_at_ms`.
        flapped_at_ms: When the zone last changed for the worse.
        evacuation_reason: The operator's reason to evacuate the zone; "" if it is not evacuated.
        reported_at_ms: When the zone's members last reported.
        requests: The decayed number of recent requests.
        served_in_time: The decayed number of recent requests served in time.
    """

    def __init__(self, now_ms: float) -> None:
        self.state = HEALTHY
        self.ramp_fraction = 1.0
        self.assessed_state = HEALTHY
        self.assessed_since_ms = now_ms
        self.changed_at_ms = now_ms
        self.flap_count = 0.0
        self.flapped_at_ms = now_ms
        self.evacuation_reason = ""
        self.reported_at_ms = float("-inf")
        self.requests = 0.0
        self.served_in_time = 0.0

    def add_report(self, now_ms: float, report: ZoneReport) -> None:
        """Adds a report to the request counts, after decaying the earlier counts."""
        if self.reported_at_ms > float("-inf"):
            decay = 0.5 ** ((now_ms - self.reported_at_ms) / SERVICE_HALF_LIFE_MS)
            self.requests *= decay
            self.served_in_time *= decay
        self.reported_at_ms = now_ms
        self.requests += report.requests
        self.served_in_time += report.served_in_time

    @property
    def served_fraction(self) -> float | None:
        """The fraction of recent requests served in time; None if there are too few requests."""
        if self.requests < MIN_REQUESTS_TO_JUDGE:
            return None
        return self.served_in_time / self.requests

    def recent_flaps(self, now_ms: float) -> float:
        """Returns the decayed number of changes for the worse."""
        return self.flap_count * float(0.5 ** ((now_ms - self.flapped_at_ms) / FLAP_HALF_LIFE_MS))

    def recovery_delay_ms(self, now_ms: float) -> float:
        """Returns how long the zone must be assessed as healthy before its next recovery step."""
        if self.state is RECOVERING:
            return 0.0
        doublings = max(0.0, self.recent_flaps(now_ms) - 1.0)
        return float(min(MAX_RECOVERY_CONFIRMATION_MS, RECOVERY_CONFIRMATION_MS * 2.0**doublings))

    def change_to(self, now_ms: float, state: ZoneState, ramp_fraction: float) -> None:
        """Sets the state and the ramp, and the time of the change if either differs."""
        if (self.state, self.ramp_fraction) != (state, ramp_fraction):
            self.state = state
            self.ramp_fraction = ramp_fraction
            self.changed_at_ms = now_ms

    def set_assessed_state(self, now_ms: float, state: ZoneState) -> None:
        """Records an assessment, and the time if it differs from the previous one."""
        if state is not self.assessed_state:
            self.assessed_state = state
            self.assessed_since_ms = now_ms

    def advance(self, now_ms: float) -> None:
        """Adopts the assessed state once it has lasted long enough; evacuation applies at once."""
        assessed = self.assessed_state
        duration_ms = now_ms - self.assessed_since_ms
        if assessed is EVACUATED:
            self.change_to(now_ms, EVACUATED, 0.0)
        elif assessed is HEALTHY:
            if self.state is not HEALTHY and duration_ms >= self.recovery_delay_ms(now_ms):
                self.recover(now_ms)
        elif assessed is not self.state and duration_ms >= FAILURE_CONFIRMATION_MS:
            self.flap_count = self.recent_flaps(now_ms) + 1.0
            self.flapped_at_ms = now_ms
            self.change_to(now_ms, assessed, 0.0 if assessed is LOST else 1.0)

    def recover(self, now_ms: float) -> None:
        """Takes one recovery step.

        A lost, partitioned or evacuated zone ramps up; a degraded zone becomes healthy at once.
        """
        if self.state in (LOST, PARTITIONED, EVACUATED):
            self.change_to(now_ms, RECOVERING, RAMP_STEP_FRACTION)
        elif self.state is not RECOVERING:
            self.change_to(now_ms, HEALTHY, 1.0)
        elif now_ms - self.changed_at_ms >= RAMP_STEP_MS:
            ramp_fraction = min(1.0, self.ramp_fraction + RAMP_STEP_FRACTION)
            is_complete = ramp_fraction >= 1.0
            self.change_to(now_ms, HEALTHY if is_complete else RECOVERING, ramp_fraction)


class ObserverReport(NamedTuple):
    """The latest report of one observer, with its views by zone."""

    received_at_ms: float
    views: dict[str, ZoneView]


class ZoneHealthMonitor:
    """Determines the state of each zone. All times are in ms.

    Args:
        observer_zones: The zone of each observer, by the observer's name.
        now_ms: The current time.

    Attributes:
        zones: The record of each zone, by name.
        reports: The latest report of each observer, by name.
    """

    def __init__(self, observer_zones: dict[str, str], now_ms: float) -> None:
        self.observer_zones = dict(observer_zones)
        self.now_ms = now_ms
        self.zones: dict[str, ZoneRecord] = {}
        self.reports: dict[str, ObserverReport] = {}

    def zone(self, name: str) -> ZoneRecord:
        """Returns the record of a zone, which is created if it does not exist."""
        return self.zones.setdefault(name, ZoneRecord(self.now_ms))

    def on_observer_report(self, now_ms: float, observer: str, views: dict[str, ZoneView]) -> None:
        """Stores an observer's views of all zones; reports of unknown observers are ignored."""
        self.now_ms = max(self.now_ms, now_ms)
        if observer in self.observer_zones:
            self.reports[observer] = ObserverReport(self.now_ms, dict(views))
            for zone in views:
                self.zone(zone)

    def on_zone_report(self, now_ms: float, zone: str, report: ZoneReport) -> None:
        """Adds a report of a zone's own members."""
        self.now_ms = max(self.now_ms, now_ms)
        self.zone(zone).add_report(self.now_ms, report)

    def evacuate(self, now_ms: float, zone: str, reason: str) -> None:
        """Evacuates a zone at an operator's request; with an empty reason it may recover."""
        self.now_ms = max(self.now_ms, now_ms)
        self.zone(zone).evacuation_reason = reason

    def update(self, now_ms: float) -> list[ZoneChange]:
        """Assesses all zones and returns the changes since the last call, sorted by zone name."""
        self.now_ms = max(self.now_ms, now_ms)
        changes = []
        for name, record in sorted(self.zones.items()):
            previous = (record.state, record.ramp_fraction)
            assessment = self.assessment(name)
            if assessment.state is None:
                # The confirmation of a new state starts again when the zone can be assessed.
                record.assessed_since_ms = self.now_ms
            else:
                record.set_assessed_state(self.now_ms, assessment.state)
                record.advance(self.now_ms)
            if (record.state, record.ramp_fraction) != previous:
                change = ZoneChange(name, record.state, record.ramp_fraction, assessment.reason)
                changes.append(change)
        return changes

    def assessment(self, zone: str) -> Assessment:
        """Returns the assessment of a zone from the current reports."""
        record = self.zone(zone)
        if record.evacuation_reason:
            return Assessment(EVACUATED, record.evacuation_reason)
        observers = [name for name, own_zone in self.observer_zones.items() if own_zone != zone]
        views = self.usable_views(zone, observers)
        if 2 * len(views) <= len(observers):
            return Assessment(None, "")
        alive = median(view.alive / view.total if view.total else 1.0 for view in views)
        if alive <= MAX_ALIVE_FRACTION_WHEN_UNREACHABLE:
            if self.now_ms - record.reported_at_ms <= RUNNING_TTL_MS:
                return Assessment(PARTITIONED, f"others reach {alive:.0%} of it, and it runs")
            observer_count = f"{len(views)} of {len(observers)} observers"
            return Assessment(LOST, f"others reach {alive:.0%} of it, by {observer_count}")
        if reason := self.degradation(zone):
            return Assessment(DEGRADED, reason)
        return Assessment(HEALTHY, f"others reach {alive:.0%} of it")

    def usable_views(self, zone: str, observers: list[str]) -> list[ZoneView]:
        """Returns the fresh views of a zone by the given observers, without isolated observers.

        Isolation cannot be detected unless there are at least two other zones.
        """
        has_other_zones = len(self.zones.keys() - {zone}) > 1
        return [
            report.views[zone]
            for observer, report in self.reports.items()
            if observer in observers
            and self.now_ms - report.received_at_ms <= REPORT_TTL_MS
            and zone in report.views
            and not (has_other_zones and self.is_isolated(observer, report.views))
        ]

    def is_isolated(self, observer: str, views: dict[str, ZoneView]) -> bool:
        """Returns whether an observer believes most members of all other zones dead.

        The observer itself is then assumed to be partitioned.
        """
        own_zone = self.observer_zones[observer]
        others = [view for zone, view in views.items() if zone != own_zone]
        total = sum(view.total for view in others)
        alive = sum(view.alive for view in others)
        return total > 0 and alive < (1.0 - MIN_DEAD_FRACTION_WHEN_ISOLATED) * total

    def degradation(self, zone: str) -> str:
        """Returns why a zone is degraded, compared with healthy zones in the same seconds.

        Returns "" if the zone is not degraded. If all zones serve badly, none is degraded, because
        failover would not help.
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
        median_fraction = median(others)
        if served >= DEGRADED_BELOW_FRACTION * median_fraction:
            return ""
        return (
            f"{served:.0%} of its requests are served in time, of the others' {median_fraction:.0%}"
        )
