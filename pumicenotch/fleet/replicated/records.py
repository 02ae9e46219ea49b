"""Records of the replicated state, besides members and budgets.

Snapshots write each record as a list, so the order of its fields is part of the stored format.
"""

from typing import Any, NamedTuple

from pumicenotch.fleet.drains.budgets import Member, OutageCounts

# Kinds of drain permits, as stored in snapshots.
DRAIN_PERMIT = "drain"
RELEASE_PERMIT = "release"
TERMINATION_PERMIT = "term"  # for a process that was told to end and could not wait
OVERRIDE_PERMIT = "override"
# Kinds whose holders may start to drain only within the budgets.
BUDGETED_PERMITS = (DRAIN_PERMIT, RELEASE_PERMIT)

# Number of leading fields of Member that a process reports about itself in a `join` entry.
WIRE_MEMBER_FIELD_COUNT = 9


class ApplyResult(NamedTuple):
    """The result of applying one log entry."""

    ok: bool
    text: str  # message for the sender of the entry
    value: Any = None


class DrainPermit(NamedTuple):
    """Permission for one process to drain."""

    name: str
    process_id: str
    epoch: int  # log index at which the permit was given; a later permit has a higher epoch
    kind: str
    reason: str
    started: bool = False  # whether the holder has started to drain


class QueuedDrain(NamedTuple):
    """A member's entry in the queue for drain permits."""

    name: str
    requested_at: int  # log index of the request
    reason: str
    requested_by: str


class FleetHalt(NamedTuple):
    """A halt of the fleet. While a halt is in force, no step that can wait begins."""

    operator: str
    reason: str


class RecordedAnswer(NamedTuple):
    """The answer to an operator's request, stored so that retries get the same answer."""

    ok: bool
    text: str


class Event(NamedTuple):
    """One line of the fleet's event history."""

    log_index: int
    text: str


class CachedCounts(NamedTuple):
    """Outage counts as of the last entry that changed which members are unavailable."""

    outages: OutageCounts
    unavailable_voters: int


def member_to_wire(member: Member) -> tuple[Any, ...]:
    """Returns the member's fields that a `join` entry carries."""
    return tuple(member[:WIRE_MEMBER_FIELD_COUNT])
