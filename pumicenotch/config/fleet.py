"""The schemas of a fleet: the block `fleet` in a server's file, and a voter's file."""

from collections import Counter
from pathlib import Path
from typing import Annotated, Literal, NamedTuple

from pydantic import Field, model_validator

from pumicenotch.config.distribution import DistributionBlock, VoterDistributionBlock
from pumicenotch.config.schema import Schema, read
from pumicenotch.distribution.instance_settings import InstanceSettings
from pumicenotch.fleet.drains import budgets
from pumicenotch.fleet.member.settings import FleetSettings

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Address = Annotated[str, Field(pattern=r"^[^:]+:[0-9]{1,5}$")]
Place = Annotated[str, Field(max_length=64)]
Services = Annotated[tuple[Name, ...], Field(max_length=32)]
# Permitted numbers of voters. An even number tolerates no more failures than one voter less; a single
# voter is for trials.
VOTER_COUNTS = (1, 3, 5, 7)


class Placed(Schema):
    """The placement of a member: where it is, which services it serves and uses, and its capacity."""

    zone: Place = ""
    region: Place = ""
    cell: Place = ""
    serves: Services = ()
    uses: Services = ()
    capacity: Annotated[float, Field(gt=0.0, lt=1e9)] = 1.0


class FleetBlock(Placed):
    """`fleet "NAME" { ... }` of a server.

    `advertise` is the address at which other members reach the server, if not `listen`.
    """

    name: Name
    member: Name
    listen: Address
    advertise: Address | None = None
    voters: Annotated[tuple[Address, ...], Field(min_length=1, max_length=7)]
    seeds: tuple[Address, ...] = ()
    distribution: DistributionBlock | None = None

    def distribution_settings(self) -> InstanceSettings | None:
        """Returns the settings of distribution; None without the block."""
        if self.distribution is None:
            return None
        return self.distribution.instance_settings(self.serves, self.cell)

    def settings(self) -> FleetSettings:
        """Returns the settings of the member."""
        return FleetSettings(
            self.name,
            self.member,
            self.listen,
            self.voters,
            self.seeds,
            self.zone,
            self.region,
            self.cell,
            self.serves,
            self.uses,
            self.capacity,
            advertise=self.advertise or "",
        )


class VoterBlock(Schema):
    """`voter "NAME" { ... }`."""

    name: Name
    address: Address


class BudgetBlock(Schema):
    """`budget "NAME" { ... }`: a limit on unavailable members; see `fleet.drains.budgets`."""

    name: Name
    each: Literal["fleet", "zone", "region", "cell", "service", "callers"]
    only: Place = ""
    most_out: Annotated[int, Field(ge=0)] | None = None
    least_serving: Annotated[int, Field(ge=0)] | None = None
    least_capacity: Annotated[float, Field(ge=0.0, le=1.0)] | None = None
    apart: bool = False

    @model_validator(mode="after")
    def check_budget(self) -> "BudgetBlock":
        """Raises ValueError unless the block sets exactly one valid limit."""
        budgets.check_budget(self.budget())
        return self

    def budget(self) -> budgets.Budget:
        """Returns the budget, in which -1 stands for a limit that is not set."""
        limits = (self.most_out, self.least_serving, self.least_capacity)
        most, least, capacity = (-1 if value is None else value for value in limits)
        return budgets.Budget(
            self.name, self.each, self.only, int(most), int(least), float(capacity), self.apart
        )


class HandBlock(Placed):
    """`by_hand "NAME" { ... }`: a replica or proxy of a downstream service that has no agent or server of
    the fleet beside it.
    """

    name: Name


class BudgetsFile(Schema):
    """The file of `pumicenotch fleet budget FILE`."""

    budget: tuple[BudgetBlock, ...] = ()

    @model_validator(mode="after")
    def check_names(self) -> "BudgetsFile":
        """Raises ValueError if two budgets have the same name."""
        check_unique([block.name for block in self.budget], "budget")
        return self

    def budgets(self) -> tuple[budgets.Budget, ...]:
        """Returns the budgets."""
        return tuple(block.budget() for block in self.budget)


class VoterFile(BudgetsFile):
    """A voter's file."""

    fleet: Name
    member: Name
    listen: Address
    advertise: Address | None = None
    zone: Place = ""
    region: Place = ""
    seeds: tuple[Address, ...] = ()
    voter: tuple[VoterBlock, ...]
    by_hand: tuple[HandBlock, ...] = ()
    distribution: VoterDistributionBlock | None = None
    seed: Annotated[int, Field(ge=0)] = 0

    @model_validator(mode="after")
    def check_voters(self) -> "VoterFile":
        """Raises ValueError if a name occurs twice, or the voters are invalid."""
        names = [block.name for block in self.voter]
        check_unique(names, "voter")
        check_unique([block.name for block in self.by_hand], "by_hand")
        if len(names) not in VOTER_COUNTS:
            raise ValueError(f"{len(names)} voters: 3, 5 or 7 are allowed, or 1 for a trial")
        if self.member not in names:
            raise ValueError(f"member {self.member!r} is none of the voters: {', '.join(names)}")
        return self

    def settings(self) -> FleetSettings:
        """Returns the settings of the member."""
        names = tuple((block.name, block.address) for block in self.voter)
        manual_members = tuple(
            budgets.Member(
                each.name,
                "",
                each.zone,
                each.region,
                each.cell,
                each.serves,
                each.uses,
                each.capacity,
            )
            for each in self.by_hand
        )
        return FleetSettings(
            self.fleet,
            self.member,
            self.listen,
            tuple(address for _, address in names),
            self.seeds,
            self.zone,
            self.region,
            names=names,
            budgets=self.budgets(),
            manual_members=manual_members,
            advertise=self.advertise or "",
        )


def check_unique(names: list[str], kind: str) -> None:
    """Raises ValueError if a name occurs twice."""
    duplicates = [name for name, count in Counter(names).items() if count > 1]
    if duplicates:
        raise ValueError(f"{kind} {', '.join(duplicates)}: is defined twice")


class VoterSettings(NamedTuple):
    """The content of a voter's file."""

    fleet: FleetSettings
    seed: int
    distribution: InstanceSettings | None


def voter_of(path: str | Path) -> VoterSettings:
    """Reads a voter's file. Raises InvalidFileError."""
    file = read(path, VoterFile)
    distribution = file.distribution.instance_settings() if file.distribution is not None else None
    return VoterSettings(file.settings(), file.seed, distribution)


def budgets_of(path: str | Path) -> tuple[budgets.Budget, ...]:
    """Reads a file of budgets. Raises InvalidFileError."""
    return read(path, BudgetsFile).budgets()
