"""What state each zone is in, by what observers in other zones see of it, what it says itself and what it
does: a reducer for whoever leads; what it finds is for the fleet to agree.

A zone that others cannot reach may be serving its own gateways well, and an observer that reaches nobody may
be the one cut off. So nobody judges his own zone; an observer that thinks most of all the others dead is left
out; and with less than a majority of observers left, nothing is known and nothing changes.
"""

from statistics import median
from typing import NamedTuple

from pumicenotch.regions.plan import CUT, EMPTIED, LOST, RETURNING, WEAK, WELL


class Seen(NamedTuple):
    """What one observer thinks of one zone's members."""

    alive: int
    many: int


class Found(NamedTuple):
    zone: str
    state: str
    warm: float  # part of its room that may be used
    why: str


class Standing:
    """Of one zone: what was found, what it seems to be since when, and how often it has changed lately."""

    def __init__(self, now: float) -> None:
        self.state, self.warm = WELL, 1.0
        self.seems, self.since = WELL, now
        self.stepped_at = now
        self.flaps, self.flapped_at = 0.0, now
        self.emptied = ""  # by whom, and why
        self.spoke_at = float("-inf")
        self.came = self.done = 0.0  # tasks, and those of them served well, fading


class Judge:
    LASTS_MS = 3000.0  # of a word: observers and members speak twice a second or more
    SPEAKS_MS = 1500.0  # since its members' last word, to say that it speaks: under DOWN_MS, or a loss began as a cut
    DEAD = 1.0 / 3.0  # of the members alive, at the most, where a zone counts as out
    BLIND = 0.5  # of all others thought dead: such an observer is the one that is cut off, or too busy to hear
    WEAK_PART = 0.6  # of what the other zones make of their tasks (median): far beyond what differs by chance
    TASKS_LEAST = 50.0  # to judge a zone's work at all
    FADE_MS = 2000.0  # in which what was counted counts half
    DOWN_MS = 2000.0  # that it must seem worse, before it is found so: a pause of a second is none
    UP_MS = 3000.0  # that it must seem better
    UP_MOST_MS = (
        120_000.0  # doubled by each change of late, up to this: a zone that flaps stays out
    )
    CALM_MS = 600_000.0  # in which a change counts half
    STEP, STEP_MS = 0.34, 3000.0  # of its room, one that returns: back in three steps, nine seconds

    def __init__(self, zones: dict[str, str], now: float) -> None:
        """`zones` are the observers' zones by their name."""
        self.observers = dict(zones)
        self.now = now
        self.zones: dict[str, Standing] = {}
        self.views: dict[str, tuple[float, dict[str, Seen]]] = {}

    def of(self, zone: str) -> Standing:
        return self.zones.setdefault(zone, Standing(self.now))

    # What is heard

    def seen(self, now: float, observer: str, views: dict[str, Seen]) -> None:
        self.now = max(self.now, now)
        if observer in self.observers:
            self.views[observer] = (self.now, dict(views))
            for zone in views:
                self.of(zone)

    def spoke(self, now: float, zone: str, came: float, done: float) -> None:
        """A word of the zone's own members: tasks that came since the last, and those served well."""
        self.now = max(self.now, now)
        held = self.of(zone)
        if held.spoke_at > float("-inf"):
            part = 0.5 ** ((self.now - held.spoke_at) / self.FADE_MS)
            held.came, held.done = held.came * part, held.done * part
        held.spoke_at = self.now
        held.came, held.done = held.came + came, held.done + done

    def empty(self, now: float, zone: str, why: str) -> None:
        """By an operator: nothing goes there. With "" it may return."""
        self.now = max(self.now, now)
        self.of(zone).emptied = why

    # What follows

    def blind(self, observer: str, views: dict[str, Seen]) -> bool:
        others = [view for zone, view in views.items() if zone != self.observers[observer]]
        many = sum(view.many for view in others)
        return many > 0 and sum(view.alive for view in others) < (1.0 - self.BLIND) * many

    def seems(self, zone: str) -> tuple[str, str]:
        """What it seems to be just now, and why; ("", "") where nobody can say."""
        held = self.of(zone)
        if held.emptied:
            return EMPTIED, held.emptied
        mine = [one for one, place in self.observers.items() if place != zone]
        fresh = {
            one: views
            for one, (when, views) in self.views.items()
            if one in mine and self.now - when <= self.LASTS_MS and zone in views
        }
        others = {name for name in self.zones if name != zone}
        usable = [
            views[zone]
            for one, views in fresh.items()
            if len(others) < 2 or not self.blind(one, views)
        ]
        if 2 * len(usable) <= len(mine):
            return "", ""
        alive = median(view.alive / view.many if view.many else 1.0 for view in usable)
        if alive <= self.DEAD:
            if self.now - held.spoke_at <= self.SPEAKS_MS:
                return CUT, f"others reach {alive:.0%} of it, and it speaks"
            return (
                LOST,
                f"others reach {alive:.0%} of it, by {len(usable)} of {len(mine)} observers",
            )
        if why := self.weak(zone):
            return WEAK, why
        return WELL, f"others reach {alive:.0%} of it"

    def weak(self, zone: str) -> str:
        """By what it makes of its tasks, against the other zones in the same seconds: where all do badly,
        none is weak, and nothing that moves would help.
        """
        held = self.of(zone)
        if held.came < self.TASKS_LEAST:
            return ""
        rest = [
            each.done / each.came
            for name, each in self.zones.items()
            if name != zone and each.came >= self.TASKS_LEAST and each.state == WELL
        ]
        if not rest:
            return ""
        mine, usual = held.done / held.came, median(rest)
        if mine >= self.WEAK_PART * usual:
            return ""
        return f"{mine:.0%} of its tasks are served well, of the others' {usual:.0%}"

    def look(self, now: float) -> list[Found]:
        """What has changed, for the fleet to agree."""
        self.now = max(self.now, now)
        changed = []
        for name, held in sorted(self.zones.items()):
            before = (held.state, held.warm)
            why = self.judge(name, held)
            if (held.state, held.warm) != before:
                changed.append(Found(name, held.state, held.warm, why))
        return changed

    def judge(self, name: str, held: Standing) -> str:
        seems, why = self.seems(name)
        if not seems:
            held.since = self.now  # whatever it was about to be found has to be seen anew
            return ""
        if seems != held.seems:
            held.seems, held.since = seems, self.now
        lasted = self.now - held.since
        out = held.state in (LOST, CUT, EMPTIED)
        if seems == EMPTIED:
            self.become(held, EMPTIED, 0.0)
        elif seems in (LOST, CUT, WEAK) and seems != held.state and lasted >= self.DOWN_MS:
            held.flaps = self.recent(held) + 1.0
            held.flapped_at = self.now
            self.become(held, seems, 0.0 if seems == LOST else 1.0)
        elif seems == WELL and held.state != WELL and lasted >= self.wait(held):
            if held.state != RETURNING:
                self.become(held, RETURNING if out else WELL, self.STEP if out else 1.0)
            elif self.now - held.stepped_at >= self.STEP_MS:
                warm = min(1.0, held.warm + self.STEP)
                self.become(held, WELL if warm >= 1.0 else RETURNING, warm)
        return why

    def become(self, held: Standing, state: str, warm: float) -> None:
        if (held.state, held.warm) != (state, warm):
            held.state, held.warm, held.stepped_at = state, warm, self.now

    def recent(self, held: Standing) -> float:
        """Changes for the worse of late; older ones count less."""
        return held.flaps * float(0.5 ** ((self.now - held.flapped_at) / self.CALM_MS))

    def wait(self, held: Standing) -> float:
        """For one that is out, before it may return; within its return only the steps' own time."""
        if held.state == RETURNING:
            return 0.0
        return float(min(self.UP_MOST_MS, self.UP_MS * 2.0 ** max(0.0, self.recent(held) - 1.0)))
