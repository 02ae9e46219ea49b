"""Disruption budgets: how many members may be unavailable at once.

A budget applies to groups of members, for example each zone, one cell, or all replicas of a
service. For each group it sets one limit: a maximum of unavailable members, a minimum of available
members, a minimum of available capacity, or that replicas and callers of a service are never
unavailable together.
"""

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from pumicenotch.errors import InputError

# Kinds of groups that a budget may apply to, as named in configuration files.
BUDGET_SCOPES = ("fleet", "zone", "region", "cell", "service", "callers")

# Values of a member's status in snapshots and status answers.
SERVING = "serving"
DRAINING = "draining"
STOPPED = "out"

UNLIMITED = -1  # value of a limit that a budget does not set
CAPACITY_TOLERANCE = 1e-9  # tolerance for rounding in sums of capacities


class InvalidBudgetError(InputError):
    """A budget with none or several limits, or with a limit that can never hold."""

    def __init__(self, location: str, problem: str) -> None:
        super().__init__(problem, place=location, remedy="change the budget in its file")


class Member(NamedTuple):
    """A process that the fleet counts, or a manual member, which runs no process of this program.

    Snapshots and `join` entries write a member as a list, so the order of the fields is part of
    both formats.
    """

    name: str
    process_id: str  # "" for a manual member
    zone: str = ""
    region: str = ""
    cell: str = ""
    serves: tuple[str, ...] = ()  # services that the member is a replica or a proxy of
    uses: tuple[str, ...] = ()  # services that the member calls
    capacity: float = 1.0  # in a unit chosen by the operators
    voter: bool = False
    status: str = SERVING
    failure: str = ""  # why a majority of the voters finds the member failed; "" if none does
    previous_process_ids: tuple[str, ...] = ()  # oldest first


class Budget(NamedTuple):
    """A limit on the unavailable members of each group of one kind.

    Exactly one limit is set. Snapshots and log entries write a budget as a list, so the order of
    the fields is part of both formats.
    """

    name: str
    scope: str  # one of BUDGET_SCOPES
    group: str = ""  # the only group that is limited; "" for every group of the scope
    max_unavailable: int = UNLIMITED
    min_available: int = UNLIMITED
    min_capacity_fraction: float = float(UNLIMITED)  # fraction of the group's total capacity
    # Whether a service's replicas and callers must never be unavailable together.
    separate_callers: bool = False


def check_budget(budget: Budget) -> Budget:
    """Returns the budget unchanged; raises InvalidBudgetError if it is invalid."""
    place = f"budget {budget.name}"
    limits = (
        budget.max_unavailable >= 0,
        budget.min_available >= 0,
        budget.min_capacity_fraction >= 0.0,
        budget.separate_callers,
    )
    if budget.scope not in BUDGET_SCOPES:
        problem = f"each: {budget.scope!r}; allowed: {', '.join(BUDGET_SCOPES)}"
        raise InvalidBudgetError(place, problem)
    if sum(limits) != 1:
        problem = "one of most_out, least_serving, least_capacity, apart is wanted"
        raise InvalidBudgetError(place, problem)
    if budget.separate_callers and budget.scope != "service":
        raise InvalidBudgetError(place, "apart: for each = service only")
    if budget.min_capacity_fraction > 1.0:
        problem = f"least_capacity: {budget.min_capacity_fraction:g} of 1 never holds"
        raise InvalidBudgetError(place, problem)
    return budget


def read_budget(value: Any) -> Budget:
    """Returns the budget decoded from its list on the wire; raises InvalidBudgetError."""
    try:
        budget = Budget._make(value)
        texts = (budget.name, budget.scope, budget.group)
        if not all(isinstance(text, str) for text in texts):
            raise TypeError("a text is wanted")
        if type(budget.separate_callers) is not bool:
            raise TypeError("yes or no is wanted")
        converted = budget._replace(
            max_unavailable=int(budget.max_unavailable),
            min_available=int(budget.min_available),
            min_capacity_fraction=float(budget.min_capacity_fraction),
        )
    except (TypeError, ValueError):
        raise InvalidBudgetError("budget", f"no budget: {value!r:.80}") from None
    return check_budget(converted)


def groups_of(budget: Budget, member: Member) -> Iterator[str]:
    """Yields the budget's groups that the member belongs to."""
    match budget.scope:
        case "fleet":
            groups: tuple[str, ...] = ("",)
        case "zone" | "region" | "cell":
            place = getattr(member, budget.scope)
            groups = (place,) if place else ()
        case "service" if budget.separate_callers:
            groups = (*member.serves, *member.uses)
        case "service":
            groups = member.serves
        case _:
            groups = member.uses
    for group in dict.fromkeys(groups):
        if not budget.group or budget.group == group:
            yield group


class GroupOutages:
    """Counts the members of one group of one budget, and how many of them are unavailable."""

    def __init__(self, budget: Budget, group: str) -> None:
        self.budget = budget
        self.group = group
        self.members = 0
        self.unavailable = 0
        self.capacity = 0.0
        self.lost_capacity = 0.0
        # Counted only if the budget separates callers.
        self.unavailable_replicas = 0
        self.unavailable_callers = 0

    @property
    def available(self) -> int:
        """The number of available members."""
        return self.members - self.unavailable

    def add(self, member: Member, unavailable: bool) -> None:
        """Adds a member of the group to the counts."""
        self.members += 1
        self.capacity += member.capacity
        if unavailable:
            self.add_unavailable(member)

    def add_unavailable(self, member: Member) -> None:
        """Counts a member that is already in the group as unavailable."""
        self.unavailable += 1
        self.lost_capacity += member.capacity
        if self.budget.separate_callers:
            self.unavailable_replicas += self.group in member.serves
            self.unavailable_callers += self.group in member.uses

    def label(self) -> str:
        """Returns the names of the budget and of the group, for messages."""
        group = f" {self.group}" if self.group else ""
        return f"budget {self.budget.name}: {self.budget.scope}{group}"

    def refusal(self, member: Member) -> str:
        """Returns why the member may not become unavailable as well; "" if it may."""
        budget = self.budget
        if 0 <= budget.max_unavailable < self.unavailable + 1:
            limit = f"{self.unavailable} of at most {budget.max_unavailable} are out"
            return f"{self.label()}: {limit}"
        if budget.min_available >= 0 and self.available - 1 < budget.min_available:
            return f"{self.label()}: {self.available} serve, at least {budget.min_available} must"
        if budget.min_capacity_fraction >= 0.0:
            remaining = self.capacity - self.lost_capacity - member.capacity
            if self._is_below_capacity(remaining):
                fraction = remaining / self.capacity if self.capacity else 0.0
                limit = f"at least {budget.min_capacity_fraction:.0%} must"
                return f"{self.label()}: {fraction:.0%} of the capacity would be left, {limit}"
        return self.conflict(member)

    def conflict(self, member: Member) -> str:
        """Returns which unavailable callers or replicas conflict with the member; "" if none do."""
        if not self.budget.separate_callers:
            return ""
        if self.group in member.serves and self.unavailable_callers:
            return f"{self.label()}: {self.unavailable_callers} of its callers are out"
        if self.group in member.uses and self.unavailable_replicas:
            return f"{self.label()}: {self.unavailable_replicas} of its replicas are out"
        return ""

    def violation(self) -> str:
        """Returns how the group already exceeds its budget; "" if it does not."""
        budget = self.budget
        if 0 <= budget.max_unavailable < self.unavailable:
            return f"{self.label()}: {self.unavailable} out of at most {budget.max_unavailable}"
        # A group smaller than its minimum is within its budget while all its members are available.
        if budget.min_available >= 0 and self.available < min(budget.min_available, self.members):
            return f"{self.label()}: {self.available} serve of at least {budget.min_available}"
        remaining = self.capacity - self.lost_capacity
        if budget.min_capacity_fraction >= 0.0 and self._is_below_capacity(remaining):
            return f"{self.label()}: {remaining / self.capacity:.0%} of the capacity is left"
        return ""

    def _is_below_capacity(self, remaining: float) -> bool:
        return remaining < self.budget.min_capacity_fraction * self.capacity - CAPACITY_TOLERANCE


class OutageCounts:
    """Outage counts of the groups of all budgets at one point in time."""

    def __init__(self, budgets: Iterable[Budget], members: Iterable[tuple[Member, bool]]) -> None:
        """Counts `members`, which are pairs of a member and whether the member is unavailable."""
        self.budgets = tuple(budgets)
        self.groups: dict[tuple[str, str], GroupOutages] = {}  # by budget and group name
        for member, unavailable in members:
            for group in self.groups_of(member):
                group.add(member, unavailable)

    def groups_of(self, member: Member) -> list[GroupOutages]:
        """Returns the counts of all groups that the member belongs to."""
        groups = []
        for budget in self.budgets:
            for name in groups_of(budget, member):
                key = (budget.name, name)
                if key not in self.groups:
                    self.groups[key] = GroupOutages(budget, name)
                groups.append(self.groups[key])
        return groups
