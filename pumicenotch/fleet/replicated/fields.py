"""Readers that check and convert the fields of log entries.

A leader reads each entry before it proposes the entry. Each voter reads the entry again to apply
it.
"""

from collections.abc import Callable
from typing import Any

from pumicenotch.errors import InputError
from pumicenotch.fleet.drains.budgets import Budget, InvalidBudgetError, Member, read_budget

MAX_TEXT_LENGTH = 200
MAX_NAME_LENGTH = 64
MAX_NAMES = 1024  # names in one request
MAX_SERVICES = 64  # services of one member, served and called together
MAX_CAPACITY = 1e9

FieldReader = Callable[[Any], Any]


class InvalidCommandError(InputError):
    """An entry with an unknown verb, or with fields of the wrong number, type or value.

    A leader refuses to propose an invalid entry. A voter skips an invalid entry that was committed
    nevertheless.
    """

    def __init__(self, problem: str, *, location: str = "fleet command") -> None:
        super().__init__(
            problem, place=location, remedy="send it with a command of the fleet's own version"
        )


def read_text(value: Any) -> str:
    """Returns a string of up to MAX_TEXT_LENGTH characters; raises InvalidCommandError."""
    if not isinstance(value, str) or len(value) > MAX_TEXT_LENGTH:
        raise InvalidCommandError(
            f"a text of up to {MAX_TEXT_LENGTH} letters is wanted, not {value!r:.40}"
        )
    return value


def read_name(value: Any) -> str:
    """Returns the name of a member, release or request; raises InvalidCommandError."""
    if not read_text(value) or len(value) > MAX_NAME_LENGTH:
        raise InvalidCommandError(
            f"a name of 1 to {MAX_NAME_LENGTH} letters is wanted, not {value!r:.80}"
        )
    return str(value)


def read_names(value: Any) -> tuple[str, ...]:
    """Returns one or more names without duplicates; raises InvalidCommandError."""
    if not isinstance(value, list | tuple) or not 0 < len(value) <= MAX_NAMES:
        raise InvalidCommandError(f"1 to {MAX_NAMES} names are wanted")
    return tuple(dict.fromkeys(read_name(item) for item in value))


def read_reason(value: Any) -> str:
    """Returns a string that is not blank; raises InvalidCommandError."""
    if not read_text(value).strip():
        raise InvalidCommandError("a reason is wanted: it stands in the log")
    return str(value)


def read_number(value: Any) -> int:
    """Returns a non-negative integer; raises InvalidCommandError."""
    if type(value) is not int or value < 0:
        raise InvalidCommandError(f"a whole number is wanted, not {value!r:.40}")
    return value


def read_budgets(value: Any) -> tuple[Budget, ...]:
    """Returns budgets with distinct names; raises InvalidCommandError."""
    if not isinstance(value, list | tuple):
        raise InvalidCommandError("a list of budgets is wanted")
    try:
        budgets = tuple(read_budget(item) for item in value)
    except InvalidBudgetError as error:
        raise InvalidCommandError(error.problem, location=error.place) from None
    if len({budget.name for budget in budgets}) < len(budgets):
        raise InvalidCommandError("two budgets have one name")
    return budgets


def read_member(value: Any) -> Member:
    """Returns a member as its process describes it; raises InvalidCommandError."""
    try:
        name, process_id, zone, region, cell, serves, uses, capacity, voter = value
        member = Member(
            read_name(name),
            read_text(process_id),
            read_text(zone),
            read_text(region),
            read_text(cell),
            tuple(map(read_name, serves)),
            tuple(map(read_name, uses)),
            float(capacity),
            bool(voter),
        )
    except InvalidCommandError as error:
        raise InvalidCommandError(f"no member: {error.problem}") from None
    except (TypeError, ValueError) as error:
        raise InvalidCommandError(f"no member: {error}") from None
    services = len(member.serves) + len(member.uses)
    if not 0.0 < member.capacity < MAX_CAPACITY or services > MAX_SERVICES:
        raise InvalidCommandError(
            f"member {member.name}: capacity {member.capacity:g}, {len(member.serves)} services"
        )
    return member


def read_members(value: Any) -> tuple[Member, ...]:
    """Returns a possibly empty list of members; raises InvalidCommandError."""
    return tuple(map(read_member, value))
