"""Guards against zones failing over without need, too late, or again and again.

Observers in three zones and the zones' own members report every half second of simulated time.
"""

from pumicenotch.regions.zone_health import (
    REPORT_TTL_MS,
    ZoneHealthMonitor,
    ZoneReport,
    ZoneView,
)
from pumicenotch.regions.zones import ZoneState


class ThreeZones:
    """Three zones with ten members and two observers each, and a monitor of their health.

    Attributes:
        alive_counts: The number of a zone's members that an observer reaches, by both names.
        silent: The observers that send no reports, and the zones whose members send none.
        served_fractions: The fraction of its requests that each zone serves in time.
        changes: The time, zone and new state of each change, in order.
    """

    def __init__(self) -> None:
        self.now_ms = 0.0
        observers = {f"{zone}{at}": zone for zone in "abc" for at in range(2)}
        self.monitor = ZoneHealthMonitor(observers, 0.0)
        self.alive_counts = {(observer, zone): 10 for observer in observers for zone in "abc"}
        self.silent: set[str] = set()
        self.served_fractions = dict.fromkeys("abc", 1.0)
        self.changes: list[tuple[float, str, str]] = []

    def run(self, duration_s: float) -> None:
        end_ms = self.now_ms + 1000.0 * duration_s
        while self.now_ms < end_ms:
            self.now_ms += 500.0
            for observer in self.monitor.observer_zones:
                if observer not in self.silent:
                    self.monitor.on_observer_report(
                        self.now_ms,
                        observer,
                        {zone: ZoneView(self.alive_counts[observer, zone], 10) for zone in "abc"},
                    )
            for zone, fraction in self.served_fractions.items():
                if zone not in self.silent:
                    self.monitor.on_zone_report(
                        self.now_ms, zone, ZoneReport(100.0, 100.0 * fraction)
                    )
            self.changes += [
                (self.now_ms, change.zone, change.state)
                for change in self.monitor.update(self.now_ms)
            ]

    def set_alive(self, zone: str, alive: int, seen_from: str = "abc") -> None:
        """Sets how many of a zone's members the observers in other zones believe alive."""
        for observer, own_zone in self.monitor.observer_zones.items():
            if own_zone in seen_from and own_zone != zone:
                self.alive_counts[observer, zone] = alive

    def states(self) -> list[str]:
        return [self.monitor.zone(zone).state for zone in "abc"]


def test_a_lost_zone_is_detected_in_three_seconds_and_recovers_in_steps_within_fifteen() -> None:
    zones = ThreeZones()
    zones.run(10.0)
    assert not zones.changes
    zones.set_alive("a", 0)
    zones.silent.add("a")
    zones.run(10.0)
    first_change = zones.changes[0]
    assert (
        first_change[1:] == ("a", ZoneState.LOST)
        and first_change[0] <= 10_000.0 + 3000.0 + REPORT_TTL_MS
        and len(zones.changes) == 1
    )
    zones.set_alive("a", 10)
    zones.silent.clear()
    reachable_at_ms = zones.now_ms
    zones.run(15.0)
    assert [change[2] for change in zones.changes[1:]] == [
        ZoneState.RECOVERING,
        ZoneState.RECOVERING,
        ZoneState.HEALTHY,
    ]
    assert zones.changes[-1][0] - reachable_at_ms <= 15_000.0


def test_a_zone_that_reports_and_is_not_reached_is_partitioned_and_not_lost() -> None:
    zones = ThreeZones()
    zones.set_alive("a", 1)
    zones.run(10.0)
    assert zones.states() == [ZoneState.PARTITIONED, ZoneState.HEALTHY, ZoneState.HEALTHY]


def test_a_zone_that_serves_little_is_degraded_unless_all_zones_are_slow() -> None:
    zones = ThreeZones()
    zones.served_fractions["b"] = 0.05
    zones.run(10.0)
    assert zones.states() == [ZoneState.HEALTHY, ZoneState.DEGRADED, ZoneState.HEALTHY]
    zones = ThreeZones()
    zones.served_fractions = dict.fromkeys("abc", 0.05)
    zones.run(30.0)
    assert not zones.changes


def test_isolated_observers_are_ignored_and_without_a_majority_nothing_changes() -> None:
    zones = ThreeZones()
    for zone in "bc":  # the observers in a are partitioned and reach no other zone
        zones.set_alive(zone, 0, seen_from="a")
    zones.run(30.0)
    assert not zones.changes
    for zone in "ac":  # the observers in b are partitioned too
        zones.set_alive(zone, 0, seen_from="b")
    zones.run(30.0)
    assert not zones.changes, "without a majority of observers the state is unknown"


def test_one_observer_or_a_short_outage_changes_no_state() -> None:
    zones = ThreeZones()
    zones.alive_counts["b0", "a"] = 0
    zones.run(10.0)
    zones.set_alive("a", 0)
    zones.run(1.5)
    zones.set_alive("a", 10)
    zones.run(10.0)
    assert not zones.changes


def test_a_flapping_zone_recovers_after_increasing_delays() -> None:
    zones = ThreeZones()
    for _ in range(30):  # ten minutes in total
        zones.set_alive("a", 0)
        zones.silent.add("a")
        zones.run(10.0)
        zones.set_alive("a", 10)
        zones.silent.clear()
        zones.run(10.0)
    losses = [at_ms for at_ms, _, state in zones.changes if state == ZoneState.LOST]
    assert len(losses) <= 6, "thirty outages move the traffic a few times only"
    zones.run(150.0)
    assert zones.states() == [ZoneState.HEALTHY, ZoneState.HEALTHY, ZoneState.HEALTHY]


def test_an_evacuated_zone_is_emptied_at_once_and_recovers_afterwards() -> None:
    zones = ThreeZones()
    zones.run(1.0)
    zones.monitor.evacuate(zones.now_ms, "c", "maintenance")
    zones.run(0.5)
    assert zones.states() == [ZoneState.HEALTHY, ZoneState.HEALTHY, ZoneState.EVACUATED]
    zones.monitor.evacuate(zones.now_ms, "c", "")
    zones.run(14.0)
    assert zones.states() == [ZoneState.HEALTHY, ZoneState.HEALTHY, ZoneState.HEALTHY]
