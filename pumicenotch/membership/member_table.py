"""What one member knows of all others, and which of two updates prevails."""

import math
from collections.abc import Iterable
from enum import Enum, auto

from pumicenotch.membership.messages import MemberPhase, MemberState, Update
from pumicenotch.membership.suspicion import Suspicion

# The shortest suspicion timeout, in protocol periods for each decade of members.
MIN_SUSPICION_PERIODS = 4.0
# The longest suspicion timeout, as a multiple of the shortest.
SUSPICION_TIMEOUT_RATIO = 6.0
# The dead stay listed for a day, so that an operator sees who is missing.
DEAD_RETENTION_MS = 86_400_000.0


class Merge(Enum):
    """What became of an update."""

    IGNORED = auto()  # it is old
    CONFIRMED = auto()  # it confirms a suspicion
    REFRESHED = auto()  # newer, and says the same
    CHANGED = auto()


class MemberTable:
    """The latest update of each other member, by name. Times are in ms."""

    def __init__(self, period_ms: float) -> None:
        self.updates: dict[str, Update] = {}
        self.changed_at: dict[str, float] = {}
        self.suspicions: dict[str, Suspicion] = {}
        self._period_ms = period_ms

    def __len__(self) -> int:
        return len(self.updates)

    def __contains__(self, name: str) -> bool:
        return name in self.updates

    def state_of(self, name: str) -> MemberState:
        """Return what is believed of a member; one that is not known counts as dead."""
        return self.updates[name].state if name in self.updates else MemberState.DEAD

    def alive(self) -> list[str]:
        """Return the names of all that are neither dead nor gone; suspects are among them."""
        return [name for name, update in self.updates.items() if not update.is_dead_or_left]

    def dead(self) -> list[str]:
        """Return the names of those declared dead, without those that have left."""
        return [
            name
            for name, update in self.updates.items()
            if update.state is MemberState.DEAD and update.phase is not MemberPhase.LEFT
        ]

    def addresses_of(self, names: Iterable[str]) -> list[str]:
        """Return the addresses of known members, in the order of their names."""
        return [self.updates[name].member.address for name in names]

    def install(self, now: float, update: Update) -> None:
        """Take an update over as it is, whatever is known."""
        self.updates[update.member.name] = update
        self.changed_at[update.member.name] = now

    def merge(self, now: float, update: Update) -> Merge:
        """Take an update over if it prevails over what is known of the member."""
        name = update.member.name
        known = self.updates.get(name)
        if known is not None:
            if self._same_suspicion(known, update):
                return self._confirm(update)
            if update.precedence <= known.precedence:
                return Merge.IGNORED
        self.updates[name] = update
        changed = known is None or (known.state, known.phase, known.member) != (
            update.state,
            update.phase,
            update.member,
        )
        if changed:
            self.changed_at[name] = now
        self.suspicions.pop(name, None)
        if update.state is MemberState.SUSPECT:
            self._suspect(now, update)
        return Merge.CHANGED if changed else Merge.REFRESHED

    def _same_suspicion(self, known: Update, update: Update) -> bool:
        return (
            known.state is update.state is MemberState.SUSPECT
            and known.precedence[:3] == update.precedence[:3]
            and update.member.name in self.suspicions
        )

    def _suspect(self, now: float, update: Update) -> None:
        decades = max(1.0, math.log10(max(1, len(self.updates) + 1)))
        shortest_ms = MIN_SUSPICION_PERIODS * decades * self._period_ms
        longest_ms = shortest_ms * SUSPICION_TIMEOUT_RATIO
        max_reporters = len(self.alive()) - 1
        self.suspicions[update.member.name] = Suspicion(
            now, shortest_ms, longest_ms, update.reported_by, max_reporters
        )

    def _confirm(self, update: Update) -> Merge:
        name = update.member.name
        if not self.suspicions[name].confirm(update.reported_by):
            return Merge.IGNORED
        self.updates[name] = update
        return Merge.CONFIRMED

    def expired_suspicions(self, now: float) -> list[str]:
        """Return the names of those that are to be declared dead."""
        return [name for name, held in self.suspicions.items() if now >= held.deadline]

    def next_deadline(self) -> float:
        """Return when the next suspicion expires."""
        return min((held.deadline for held in self.suspicions.values()), default=math.inf)

    def remove_expired(self, now: float) -> list[str]:
        """Drop those that have been dead for long, and return their names."""
        expired = [
            name
            for name, update in self.updates.items()
            if update.state is MemberState.DEAD and now - self.changed_at[name] > DEAD_RETENTION_MS
        ]
        for name in expired:
            del self.updates[name]
            del self.changed_at[name]
        return expired
