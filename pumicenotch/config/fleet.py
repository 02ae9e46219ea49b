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
VOTERS = (1, 3, 5, 7)  # an even number loses no more voters than one less does; one is for a trial


class Placed(Schema):
    zone: Place = ""
    region: Place = ""
    cell: Place = ""
    serves: Services = ()
    uses: Services = ()
    capacity: Annotated[float, Field(gt=0.0, lt=1e9)] = 1.0


class FleetBlock(Placed):
    """Of a server: `fleet "NAME" { ... }`."""

    name: Name
    member: Name
    listen: Address
    advertise: Address | None = None  # where the others reach it, if not where it listens
    voters: Annotated[tuple[Address, ...], Field(min_length=1, max_length=7)]
    seeds: tuple[Address, ...] = ()
    distribution: DistributionBlock | None = None

    def distribution_settings(self) -> InstanceSettings | None:
        if self.distribution is None:
            return None
        return self.distribution.instance_settings(self.serves, self.cell)

    def settings(self) -> FleetSettings:
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
    name: Name
    address: Address


class BudgetBlock(Schema):
    name: Name
    each: Literal["fleet", "zone", "region", "cell", "service", "callers"]
    only: Place = ""
    most_out: Annotated[int, Field(ge=0)] | None = None
    least_serving: Annotated[int, Field(ge=0)] | None = None
    least_capacity: Annotated[float, Field(ge=0.0, le=1.0)] | None = None
    apart: bool = False

    @model_validator(mode="after")
    def says_one_thing(self) -> "BudgetBlock":
        budgets.check_budget(self.budget())
        return self

    def budget(self) -> budgets.Budget:
        said = (self.most_out, self.least_serving, self.least_capacity)
        most, least, capacity = (-1 if value is None else value for value in said)
        return budgets.Budget(
            self.name, self.each, self.only, int(most), int(least), float(capacity), self.apart
        )


class HandBlock(Placed):
    """A replica or proxy of a service below that none of our processes stands beside."""

    name: Name


class BudgetsFile(Schema):
    """What `pumicenotch fleet budget FILE` takes."""

    budget: tuple[BudgetBlock, ...] = ()

    @model_validator(mode="after")
    def differ(self) -> "BudgetsFile":
        once([block.name for block in self.budget], "budget")
        return self

    def budgets(self) -> tuple[budgets.Budget, ...]:
        return tuple(block.budget() for block in self.budget)


class VoterFile(BudgetsFile):
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
    def fits(self) -> "VoterFile":
        names = [block.name for block in self.voter]
        once(names, "voter")
        once([block.name for block in self.by_hand], "by_hand")
        if len(names) not in VOTERS:
            raise ValueError(f"{len(names)} voters: 3, 5 or 7 are allowed, or 1 for a trial")
        if self.member not in names:
            raise ValueError(f"member {self.member!r} is none of the voters: {', '.join(names)}")
        return self

    def settings(self) -> FleetSettings:
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


def once(names: list[str], kind: str) -> None:
    twice = [name for name, many in Counter(names).items() if many > 1]
    if twice:
        raise ValueError(f"{kind} {', '.join(twice)}: stands twice")


class VoterSettings(NamedTuple):
    """All that a voter's file says."""

    fleet: FleetSettings
    seed: int
    distribution: InstanceSettings | None


def voter_of(path: str | Path) -> VoterSettings:
    """Raises InvalidFileError."""
    told = read(path, VoterFile)
    distribution = told.distribution.instance_settings() if told.distribution is not None else None
    return VoterSettings(told.settings(), told.seed, distribution)


def budgets_of(path: str | Path) -> tuple[budgets.Budget, ...]:
    """Raises InvalidFileError."""
    return read(path, BudgetsFile).budgets()
