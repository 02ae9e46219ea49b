"""The schema of the file that `serve --config` takes, and the plan that it comes to."""

from pathlib import Path
from typing import Annotated

from pydantic import Field, model_validator

from pumicenotch.config.compiled import Ours
from pumicenotch.config.fleet import FleetBlock
from pumicenotch.config.hcl import InvalidFileError
from pumicenotch.config.schema import Schema, read
from pumicenotch.pools import plan

Part = Annotated[float, Field(ge=0.0, le=1.0)]
MOST_POOLS = 16  # a pool is for a kind of work: what is done for each at an event must stay flat


class Pool(Schema):
    name: Annotated[str, Field(pattern=r"^[a-z][a-z0-9-]{0,30}$")]
    stages: tuple[Annotated[str, Field(min_length=1, max_length=64)], ...]
    reserve: Annotated[float, Field(ge=0.0, le=0.9)] = 0.0
    weight: Annotated[float, Field(ge=0.0, le=1000.0)] = 0.0
    most: Annotated[float, Field(gt=0.0, le=1.0)] = 1.0
    lends: bool = True


class Retries(Schema):
    ratio: Part = 0.1
    burst: Annotated[float, Field(ge=1.0, le=10000.0)] = 10.0
    callers_most: Annotated[int, Field(ge=1, le=65536)] = 1024
    likeness_ms: Annotated[float, Field(ge=0.0, le=60000.0)] = 4000.0


class Reading(Schema):
    reserve: Part = 0.5


class Cells(Schema):
    node: Annotated[str, Field(min_length=1, max_length=64)]
    map: Annotated[str, Field(min_length=1)]  # the file of the map, beside this one unless absolute


class File(Schema):
    pool: tuple[Pool, ...] = ()
    retries: Retries = Retries()
    reading: Reading = Reading()
    fixed_limits: bool = False
    cells: Cells | None = None
    fleet: FleetBlock | None = None

    @model_validator(mode="after")
    def carries(self) -> "File":
        if len(self.pool) > MOST_POOLS:
            raise ValueError(f"{len(self.pool)} pools: {MOST_POOLS} are allowed")
        made = self.plan()
        if made is not None:
            plan.check(made)
        return self

    def plan(self) -> plan.PoolsPlan | None:
        """None where the file names no pools: all classes are as one."""
        if not self.pool:
            return None
        pools = tuple(
            plan.PoolPlan(each.name, each.stages, each.reserve, each.weight, each.most, each.lends)
            for each in self.pool
        )
        return plan.PoolsPlan(
            pools,
            self.fixed_limits,
            self.retries.ratio,
            self.retries.burst,
            self.retries.callers_most,
            self.retries.likeness_ms,
            self.reading.reserve,
        )


def plan_of(path: str | Path) -> plan.PoolsPlan | None:
    """The plan in an HCL file. Raises InvalidFileError."""
    return read(path, File).plan()


def ours_of(path: str | Path) -> Ours:
    """All that an HCL file says. Raises InvalidFileError."""
    told = read(path, File)
    fleet = told.fleet.settings() if told.fleet is not None else None
    distribution = told.fleet.distribution_settings() if told.fleet is not None else None
    if told.cells is None:
        return Ours(told.plan(), fleet=fleet, distribution=distribution)
    cell_map = str((Path(path).parent / told.cells.map).resolve())
    return Ours(told.plan(), told.cells.node, cell_map, fleet, distribution)


__all__ = ["File", "InvalidFileError", "ours_of", "plan_of"]
