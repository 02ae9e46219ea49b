"""How much of the fleet may be out at once. A budget speaks of groups (each zone, one cell, all that serve a
service), and of each group says how many may be out, how many must serve, or how much capacity.
"""

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

EACH = ("fleet", "zone", "region", "cell", "service", "callers")
SERVING, DRAINING, OUT = "serving", "draining", "out"


class BadBudget(ValueError):
    """It says nothing, or what cannot hold."""


class Member(NamedTuple):
    """One process that the fleet counts, or a replica of a service below that none of ours runs on."""

    name: str
    life: str  # of its process; "" where there is none of ours
    zone: str = ""
    region: str = ""
    cell: str = ""
    serves: tuple[str, ...] = ()  # services below that it is a replica or a proxy of
    uses: tuple[str, ...] = ()  # services below that it calls
    capacity: float = 1.0  # in parts of whatever the operators count in
    voter: bool = False
    standing: str = SERVING
    against: str = ""  # why it is out against its will, by a majority of observers; "": it is not
    formers: tuple[str, ...] = ()  # lives that it had before, the latest last


class Budget(NamedTuple):
    name: str
    each: str  # one of EACH: which groups it speaks of
    only: str = ""  # one group of them; "": every one
    most_out: int = -1  # -1 here and below: not said
    least_serving: int = -1
    least_capacity: float = -1.0  # part of the group's whole
    apart: bool = False  # of a service: never its replicas and its callers at one time


def check(budget: Budget) -> Budget:
    """Raises BadBudget."""
    limits = (
        budget.most_out >= 0,
        budget.least_serving >= 0,
        budget.least_capacity >= 0.0,
        budget.apart,
    )
    if budget.each not in EACH:
        raise BadBudget(f"budget {budget.name}: each: {budget.each!r}; allowed: {', '.join(EACH)}")
    if sum(limits) != 1:
        raise BadBudget(
            f"budget {budget.name}: one of most_out, least_serving, least_capacity, apart is wanted"
        )
    if budget.apart and budget.each != "service":
        raise BadBudget(f"budget {budget.name}: apart: for each = service only")
    if budget.least_capacity > 1.0:
        raise BadBudget(
            f"budget {budget.name}: least_capacity: {budget.least_capacity:g} of 1 never holds"
        )
    return budget


def budget_of(told: Any) -> Budget:
    """From what `Budget` comes to on a wire. Raises BadBudget."""
    try:
        made = Budget._make(told)
        texts = (made.name, made.each, made.only)
        if not all(isinstance(text, str) for text in texts) or type(made.apart) is not bool:
            raise TypeError("a text is wanted")
        return check(
            made._replace(
                most_out=int(made.most_out),
                least_serving=int(made.least_serving),
                least_capacity=float(made.least_capacity),
            )
        )
    except (TypeError, ValueError) as error:
        if isinstance(error, BadBudget):
            raise
        raise BadBudget(f"no budget: {told!r:.80}") from None


def groups(budget: Budget, member: Member) -> Iterator[str]:
    """Those that the member is in, of the groups that the budget speaks of."""
    match budget.each:
        case "fleet":
            found: tuple[str, ...] = ("",)
        case "zone" | "region" | "cell":
            value = getattr(member, budget.each)
            found = (value,) if value else ()
        case "service":
            found = (*member.serves, *member.uses) if budget.apart else member.serves
        case _:
            found = member.uses
    for group in dict.fromkeys(found):
        if not budget.only or budget.only == group:
            yield group


class Tally:
    """One group of one budget: who is in it, and who of them is out."""

    def __init__(self, budget: Budget, group: str) -> None:
        self.budget, self.group = budget, group
        self.many = self.out = 0
        self.whole = self.gone = 0.0  # capacity
        self.sides = [0, 0]  # out of a service's replicas, and of its callers

    def add(self, member: Member, out: bool) -> None:
        self.many += 1
        self.whole += member.capacity
        if out:
            self.take(member)

    def take(self, member: Member) -> None:
        self.out += 1
        self.gone += member.capacity
        if self.budget.apart:
            self.sides[0] += self.group in member.serves
            self.sides[1] += self.group in member.uses

    def place(self) -> str:
        group = f" {self.group}" if self.group else ""
        return f"budget {self.budget.name}: {self.budget.each}{group}"

    def against(self, member: Member) -> str:
        """Why one more may not go; "" if it may."""
        budget, place = self.budget, self.place()
        if 0 <= budget.most_out < self.out + 1:
            return f"{place}: {self.out} of at most {budget.most_out} are out"
        if budget.least_serving >= 0 and self.many - self.out - 1 < budget.least_serving:
            return f"{place}: {self.many - self.out} serve, at least {budget.least_serving} must"
        if budget.least_capacity >= 0.0:
            left = self.whole - self.gone - member.capacity
            if left < budget.least_capacity * self.whole - 1e-9:
                share = left / self.whole if self.whole else 0.0
                least = f"{budget.least_capacity:.0%} must"
                return f"{place}: {share:.0%} of the capacity would be left, at least {least}"
        return self.mixed(member)

    def mixed(self, member: Member) -> str:
        """Whether the other side of its service is out, where both may not be."""
        if self.budget.apart:
            if self.group in member.serves and self.sides[1]:
                return f"{self.place()}: {self.sides[1]} of its callers are out"
            if self.group in member.uses and self.sides[0]:
                return f"{self.place()}: {self.sides[0]} of its replicas are out"
        return ""

    def over(self) -> str:
        """What it is over its budget by; "" if it is not."""
        budget = self.budget
        if 0 <= budget.most_out < self.out:
            return f"{self.place()}: {self.out} out of at most {budget.most_out}"
        if budget.least_serving >= 0 and self.many - self.out < min(
            budget.least_serving, self.many
        ):
            return (
                f"{self.place()}: {self.many - self.out} serve of at least {budget.least_serving}"
            )
        if (
            budget.least_capacity >= 0.0
            and self.whole - self.gone < budget.least_capacity * self.whole - 1e-9
        ):
            return f"{self.place()}: {(self.whole - self.gone) / self.whole:.0%} of the capacity is left"
        return ""


class Tallies:
    """Of all budgets at one moment."""

    def __init__(self, budgets: Iterable[Budget], members: Iterable[tuple[Member, bool]]) -> None:
        self.budgets = tuple(budgets)
        self.found: dict[tuple[str, str], Tally] = {}
        for member, out in members:
            for tally in self.of(member):
                tally.add(member, out)

    def of(self, member: Member) -> list[Tally]:
        made = []
        for budget in self.budgets:
            for group in groups(budget, member):
                key = (budget.name, group)
                if key not in self.found:
                    self.found[key] = Tally(budget, group)
                made.append(self.found[key])
        return made
