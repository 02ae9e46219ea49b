"""The records that the agreed state is made of, beside members and budgets. A snapshot writes them as
lists.
"""

from typing import Any, NamedTuple

from pumicenotch.fleet.drains.budgets import Member, Tallies

# What a permit was given for.
DRAIN_PERMIT = "drain"
RELEASE_PERMIT = "release"
TERM_PERMIT = "term"  # a process that could not wait
OVERRIDE_PERMIT = "override"
WITHIN_BUDGETS = (DRAIN_PERMIT, RELEASE_PERMIT)

MEMBER_FIELDS = 9  # of Member, the first of them: what a process says of itself


class Permit(NamedTuple):
    """Its holder may drain."""

    name: str
    life: str
    epoch: int  # the index at which it was given: of two, the higher is the later
    kind: str
    reason: str
    begun: bool = False


class Request(NamedTuple):
    """One member's place in the queue."""

    name: str
    at: int  # the index at which it was asked: the order
    reason: str
    by: str


class FleetHalt(NamedTuple):
    """While one stands, no step begins that could wait."""

    by: str
    why: str


class Answer(NamedTuple):
    """What an operator's request came to, for its repeats."""

    good: bool
    text: str


class Event(NamedTuple):
    """One line of the fleet's log for people."""

    at: int  # the index of its entry
    text: str


class Counted(NamedTuple):
    """Who is out in each group, and how many of the voters."""

    tallies: Tallies
    voters_out: int


def member_fields(member: Member) -> tuple[Any, ...]:
    """As the entry `join` says it."""
    return tuple(member[:MEMBER_FIELDS])
