"""The records that the replicated state is made of, beside members and budgets.

Snapshots write them as lists, so the order of their fields is part of the stored form.
"""

from typing import Any, NamedTuple

from pumicenotch.fleet.drains.budgets import Member, OutageCounts

# What a drain permit was given for. The values stand in snapshots.
DRAIN_PERMIT = "drain"
RELEASE_PERMIT = "release"
TERMINATION_PERMIT = "term"  # the process was told to end and could not wait
OVERRIDE_PERMIT = "override"
BUDGETED_PERMITS = (DRAIN_PERMIT, RELEASE_PERMIT)

WIRE_MEMBER_FIELDS = 9  # the first fields of Member: what a process tells of itself


class ApplyResult(NamedTuple):
    """What applying one entry of the log came to."""

    ok: bool
    text: str  # for whoever sent the entry
    value: Any = None


class DrainPermit(NamedTuple):
    """The right of one process to drain."""

    name: str
    process_id: str
    epoch: int  # the log index at which it was given: the higher of two is the later
    kind: str
    reason: str
    started: bool = False  # its holder is draining


class QueuedDrain(NamedTuple):
    """One member's place in the queue for drain permits."""

    name: str
    requested_at: int  # the log index of the request
    reason: str
    requested_by: str


class FleetHalt(NamedTuple):
    """While one is in force, no step begins that could wait."""

    operator: str
    reason: str


class RecordedAnswer(NamedTuple):
    """The answer to an operator's request, for its retries."""

    ok: bool
    text: str


class Event(NamedTuple):
    """One line of the fleet's event history."""

    log_index: int
    text: str


class CachedCounts(NamedTuple):
    """Who is unavailable, as counted after the last entry that changed it."""

    outages: OutageCounts
    unavailable_voters: int


def member_to_wire(member: Member) -> tuple[Any, ...]:
    """Returns the fields that a `join` entry carries."""
    return tuple(member[:WIRE_MEMBER_FIELDS])
