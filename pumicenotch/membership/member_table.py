"""One member's knowledge of all others, and the rules for which of two updates prevails."""

import math
from collections.abc import Iterable
from enum import Enum, auto

from pumicenotch.membership.messages import MemberPhase, MemberState, Update
from pumicenotch.membership.suspicion import Suspicion

# The shortest suspicion timeout, in protocol periods per decade (log10) of members.
MIN_SUSPICION_PERIODS = 4.0
# The longest suspicion timeout, as a multiple of the shortest.
SUSPICION_TIMEOUT_RATIO = 6.0
# Dead members stay listed for a day, so that an operator sees which members are missing.
DEAD_RETENTION_MS = 86_400_000.0


class MergeResult(Enum):
    """The result of merging an update into the table."""

    IGNORED = auto()  # the update is not newer than the known one
    CONFIRMED = auto()  # the update confirms an existing suspicion
    REFRESHED = auto()  # the update is newer, with the same state, phase and identity
    CHANGED = auto()  # the update changes the member's state, phase or identity


class MemberTable:
    """The latest update of each other member. Times are in ms.

    Args:
        period_ms: The protocol period.

    Attributes:
        updates: The prevailing update of each member, by name.
        changed_at_ms: When each member's state, phase or identity last changed, by name.
        suspicions: The running suspicions, by the name of the suspected member.
    """

    def __init__(self, period_ms: float) -> None:
        self.updates: dict[str, Update] = {}
        self.changed_at_ms: dict[str, float] = {}
        self.suspicions: dict[str, Suspicion] = {}
        self._period_ms = period_ms

    def __len__(self) -> int:
        return len(self.updates)

    def __contains__(self, name: str) -> bool:
        return name in self.updates

    def state_of(self, name: str) -> MemberState:
        """Returns the believed state of a member; an unknown member counts as dead."""
        return self.updates[name].state if name in self.updates else MemberState.DEAD

    def alive(self) -> list[str]:
        """Returns the names of the members, suspects included, that are not dead or left."""
        return [name for name, update in self.updates.items() if not update.is_dead_or_left]

    def dead(self) -> list[str]:
        """Returns the names of the members declared dead, without those that have left."""
        return [
            name
            for name, update in self.updates.items()
            if update.state is MemberState.DEAD and update.phase is not MemberPhase.LEFT
        ]

    def addresses_of(self, names: Iterable[str]) -> list[str]:
        """Returns the addresses of known members, in the order of `names`."""
        return [self.updates[name].member.address for name in names]

    def install(self, now_ms: float, update: Update) -> None:
        """Stores an update unconditionally, without comparing it with the known one."""
        self.updates[update.member.name] = update
        self.changed_at_ms[update.member.name] = now_ms

    def merge(self, now_ms: float, update: Update) -> MergeResult:
        """Stores an update if it prevails over the known one, or confirms a suspicion."""
        name = update.member.name
        known = self.updates.get(name)
        if known is not None:
            if self._is_same_suspicion(known, update):
                return self._confirm(update)
            if update.precedence <= known.precedence:
                return MergeResult.IGNORED
        self.updates[name] = update
        changed = known is None or (known.state, known.phase, known.member) != (
            update.state,
            update.phase,
            update.member,
        )
        if changed:
            self.changed_at_ms[name] = now_ms
        self.suspicions.pop(name, None)
        if update.state is MemberState.SUSPECT:
            self._start_suspicion(now_ms, update)
        return MergeResult.CHANGED if changed else MergeResult.REFRESHED

    def _is_same_suspicion(self, known: Update, update: Update) -> bool:
        return (
            known.state is update.state is MemberState.SUSPECT
            and known.precedence[:3] == update.precedence[:3]
            and update.member.name in self.suspicions
        )

    def _start_suspicion(self, now_ms: float, update: Update) -> None:
        decades = max(1.0, math.log10(max(1, len(self.updates) + 1)))
        shortest_ms = MIN_SUSPICION_PERIODS * decades * self._period_ms
        longest_ms = shortest_ms * SUSPICION_TIMEOUT_RATIO
        max_reporters = len(self.alive()) - 1
        self.suspicions[update.member.name] = Suspicion(
            now_ms, shortest_ms, longest_ms, update.reported_by, max_reporters
        )

    def _confirm(self, update: Update) -> MergeResult:
        name = update.member.name
        if not self.suspicions[name].confirm(update.reported_by):
            return MergeResult.IGNORED
        self.updates[name] = update
        return MergeResult.CONFIRMED

    def expired_suspicions(self, now_ms: float) -> list[str]:
        """Returns the names of the suspected members whose timeout has expired."""
        return [
            name for name, suspicion in self.suspicions.items() if now_ms >= suspicion.deadline_ms
        ]

    def next_deadline_ms(self) -> float:
        """Returns when the next suspicion expires; infinity if there is none."""
        return min(
            (suspicion.deadline_ms for suspicion in self.suspicions.values()), default=math.inf
        )

    def remove_expired(self, now_ms: float) -> list[str]:
        """Removes members dead for longer than `DEAD_RETENTION_MS` and returns their names."""
        expired = [
            name
            for name, update in self.updates.items()
            if update.state is MemberState.DEAD
            and now_ms - self.changed_at_ms[name] > DEAD_RETENTION_MS
        ]
        for name in expired:
            del self.updates[name]
            del self.changed_at_ms[name]
        return expired
