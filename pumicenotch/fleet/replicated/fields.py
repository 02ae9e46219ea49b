"""What an entry of the log may hold, read before it is agreed and again where it is applied."""

from collections.abc import Callable
from typing import Any, NamedTuple

from pumicenotch.fleet.drains.budgets import BadBudget, Budget, Member, budget_of

TEXT_MOST = 200  # letters of a reason
NAMES_MOST = 1024  # in one request
Reader = Callable[[Any], Any]


class Said(NamedTuple):
    """What an entry came to: `good`, and a text for whoever asked."""

    good: bool
    text: str
    value: Any = None


class BadEntry(ValueError):
    """It is no entry of this fleet's form: refused before it is proposed, skipped where it is agreed all the
    same.
    """


def text(told: Any) -> str:
    if not isinstance(told, str) or len(told) > TEXT_MOST:
        raise BadEntry(f"a text of up to {TEXT_MOST} letters is wanted, not {told!r:.40}")
    return told


def name(told: Any) -> str:
    if not text(told) or len(told) > 64:
        raise BadEntry(f"a name of 1 to 64 letters is wanted, not {told!r:.80}")
    return str(told)


def names(told: Any) -> tuple[str, ...]:
    if not isinstance(told, list | tuple) or not 0 < len(told) <= NAMES_MOST:
        raise BadEntry(f"1 to {NAMES_MOST} names are wanted")
    return tuple(dict.fromkeys(name(each) for each in told))


def reason(told: Any) -> str:
    if not text(told).strip():
        raise BadEntry("a reason is wanted: it stands in the log")
    return str(told)


def number(told: Any) -> int:
    if type(told) is not int or told < 0:
        raise BadEntry(f"a whole number is wanted, not {told!r:.40}")
    return told


def budgets_of(told: Any) -> tuple[Budget, ...]:
    if not isinstance(told, list | tuple):
        raise BadEntry("a list of budgets is wanted")
    try:
        made = tuple(budget_of(each) for each in told)
    except BadBudget as error:
        raise BadEntry(str(error)) from None
    if len({budget.name for budget in made}) < len(made):
        raise BadEntry("two budgets have one name")
    return made


def member_of(told: Any) -> Member:
    """Of what a process says of itself: the first fields of Member, to `voter`."""
    try:
        one, life, zone, region, cell, serves, uses, capacity, voter = told
        made = Member(
            name(one),
            text(life),
            text(zone),
            text(region),
            text(cell),
            tuple(map(name, serves)),
            tuple(map(name, uses)),
            float(capacity),
            bool(voter),
        )
    except (TypeError, ValueError) as error:
        raise BadEntry(f"no member: {error}") from None
    if not 0.0 < made.capacity < 1e9 or len(made.serves) + len(made.uses) > 64:
        raise BadEntry(
            f"member {made.name}: capacity {made.capacity:g}, {len(made.serves)} services"
        )
    return made
