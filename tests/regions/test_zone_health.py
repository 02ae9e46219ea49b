"""The state of zones as it is found from observers' views and the zones' own reports."""

from pumicenotch.regions.zone_health import (
    REPORT_TTL_MS,
    ZoneHealthMonitor,
    ZoneReport,
    ZoneView,
)
from pumicenotch.regions.zones import ZoneState


class ThreeZones:
    """Three zones with ten members and two observers each; `alive_seen` is what an observer of a zone reaches of
    another.
    """

    def __init__(self) -> None:
        self.now = 0.0
        observers = {f"{zone}{at}": zone for zone in "abc" for at in range(2)}
        self.monitor = ZoneHealthMonitor(observers, 0.0)
        self.alive_seen = {(observer, zone): 10 for observer in observers for zone in "abc"}
        self.silent: set[str] = set()  # observers, or zones whose members are not heard
        self.served_fraction = dict.fromkeys("abc", 1.0)  # fraction of the requests served in time
        self.changes: list[tuple[float, str, str]] = []

    def run(self, duration_s: float) -> None:
        ends_at = self.now + 1000.0 * duration_s
        while self.now < ends_at:
            self.now += 500.0
            for observer in self.monitor.observer_zones:
                if observer not in self.silent:
                    self.monitor.on_observer_report(
                        self.now,
                        observer,
                        {zone: ZoneView(self.alive_seen[observer, zone], 10) for zone in "abc"},
                    )
            for zone, fraction in self.served_fraction.items():
                if zone not in self.silent:
                    self.monitor.on_zone_report(self.now, zone, ZoneReport(100.0, 100.0 * fraction))
            self.changes += [
                (self.now, each.zone, each.state) for each in self.monitor.update(self.now)
            ]

    def reach(self, zone: str, alive: int, homes: str = "abc") -> None:
        """So many of that zone's members are reached by the observers of those zones."""
        for observer, home in self.monitor.observer_zones.items():
            if home in homes and home != zone:
                self.alive_seen[observer, zone] = alive

    def states(self) -> list[str]:
        return [self.monitor.zone(zone).state for zone in "abc"]


def test_a_lost_zone_is_found_in_three_seconds_and_recovers_in_steps_within_fifteen() -> None:
    zones = ThreeZones()
    zones.run(10.0)
    assert not zones.changes
    zones.reach("a", 0)
    zones.silent.add("a")
    zones.run(10.0)
    when = zones.changes[0]
    assert (
        when[1:] == ("a", ZoneState.LOST)
        and when[0] <= 10_000.0 + 3000.0 + REPORT_TTL_MS
        and len(zones.changes) == 1
    )
    zones.reach("a", 10)
    zones.silent.clear()
    back = zones.now
    zones.run(15.0)
    assert [each[2] for each in zones.changes[1:]] == [
        ZoneState.RECOVERING,
        ZoneState.RECOVERING,
        ZoneState.HEALTHY,
    ]
    assert zones.changes[-1][0] - back <= 15_000.0


def test_a_zone_that_reports_and_is_not_reached_is_partitioned_and_not_lost() -> None:
    zones = ThreeZones()
    zones.reach("a", 1)
    zones.run(10.0)
    assert zones.states() == [ZoneState.PARTITIONED, ZoneState.HEALTHY, ZoneState.HEALTHY]


def test_a_zone_that_serves_nothing_is_degraded_but_not_where_all_zones_are_slow() -> None:
    zones = ThreeZones()
    zones.served_fraction["b"] = 0.05
    zones.run(10.0)
    assert zones.states() == [ZoneState.HEALTHY, ZoneState.DEGRADED, ZoneState.HEALTHY]
    zones = ThreeZones()
    zones.served_fraction = dict.fromkeys("abc", 0.05)
    zones.run(30.0)
    assert not zones.changes


def test_blind_observers_are_left_out_and_without_a_majority_nothing_changes() -> None:
    zones = ThreeZones()
    for zone in "bc":  # the observers of a lie low: all looks dead from there
        zones.reach(zone, 0, homes="a")
    zones.run(30.0)
    assert not zones.changes
    for zone in "ac":  # and those of b too
        zones.reach(zone, 0, homes="b")
    zones.run(30.0)
    assert not zones.changes, "with less than a majority nothing is known"


def test_one_observer_or_one_moment_is_not_enough() -> None:
    zones = ThreeZones()
    zones.alive_seen["b0", "a"] = 0
    zones.run(10.0)
    zones.reach("a", 0)
    zones.run(1.5)
    zones.reach("a", 10)
    zones.run(10.0)
    assert not zones.changes


def test_a_flapping_zone_stays_out_ever_longer() -> None:
    zones = ThreeZones()
    for _ in range(30):  # ten minutes
        zones.reach("a", 0)
        zones.silent.add("a")
        zones.run(10.0)
        zones.reach("a", 10)
        zones.silent.clear()
        zones.run(10.0)
    downs = [when for when, _, state in zones.changes if state == ZoneState.LOST]
    assert len(downs) <= 6, "thirty losses, and its traffic moved a few times"
    zones.run(150.0)
    assert zones.states() == [ZoneState.HEALTHY, ZoneState.HEALTHY, ZoneState.HEALTHY]


def test_an_evacuated_zone_is_empty_at_once_and_recovers_by_steps() -> None:
    zones = ThreeZones()
    zones.run(1.0)
    zones.monitor.evacuate(zones.now, "c", "maintenance")
    zones.run(0.5)
    assert zones.states() == [ZoneState.HEALTHY, ZoneState.HEALTHY, ZoneState.EVACUATED]
    zones.monitor.evacuate(zones.now, "c", "")
    zones.run(14.0)
    assert zones.states() == [ZoneState.HEALTHY, ZoneState.HEALTHY, ZoneState.HEALTHY]
