"""The schema of a server's file, which `pumicenotch serve --config` reads."""

from pathlib import Path
from typing import Annotated

from pydantic import Field, model_validator

from pumicenotch.config.compiled import InstanceConfig
from pumicenotch.config.fleet import FleetBlock
from pumicenotch.config.hcl import InvalidFileError
from pumicenotch.config.schema import Schema, read
from pumicenotch.pools import plan

Fraction = Annotated[float, Field(ge=0.0, le=1.0)]
# Each event does work for every pool, so their number is limited.
MAX_POOLS = 16


class Pool(Schema):
    """`pool "NAME" { ... }`; see `pools.plan.PoolPlan`.

    Attributes:
        name: The unique name.
        stages: The request classes of the pool; `*` for all others.
        reserve: The fraction of slots that is reserved for the pool.
        weight: The pool's claim on slots that are not reserved, relative to other pools; 0 for a claim
            by the priority of its classes.
        most: The maximum fraction of slots that the pool may use.
        lends: Whether other pools may use the pool's idle slots.
    """

    name: Annotated[str, Field(pattern=r"^[a-z][a-z0-9-]{0,30}$")]
    stages: tuple[Annotated[str, Field(min_length=1, max_length=64)], ...]
    reserve: Annotated[float, Field(ge=0.0, le=0.9)] = 0.0
    weight: Annotated[float, Field(ge=0.0, le=1000.0)] = 0.0
    most: Annotated[float, Field(gt=0.0, le=1.0)] = 1.0
    lends: bool = True


class Retries(Schema):
    """`retries { ... }`: the retry budget.

    Attributes:
        ratio: Retries that each first attempt permits while slots are short.
        burst: The maximum number of retries that can be saved up.
        callers_most: The number of callers, and of tenants, for which a budget is kept.
        likeness_ms: Within this time a request of the same content counts as a retry; 0 to count only
            marked retries.
    """

    ratio: Fraction = 0.1
    burst: Annotated[float, Field(ge=1.0, le=10000.0)] = 10.0
    callers_most: Annotated[int, Field(ge=1, le=65536)] = 1024
    likeness_ms: Annotated[float, Field(ge=0.0, le=60000.0)] = 4000.0


class Reading(Schema):
    """`reading { ... }`: the fraction of reading kept for reserved pools while reading is behind."""

    reserve: Fraction = 0.5


class Cells(Schema):
    """`cells { ... }`.

    Attributes:
        node: This node's name in the cell map.
        map: The path of the cell map, relative to the folder of this file.
    """

    node: Annotated[str, Field(min_length=1, max_length=64)]
    map: Annotated[str, Field(min_length=1)]


class File(Schema):
    """A server's file."""

    pool: tuple[Pool, ...] = ()
    retries: Retries = Retries()
    reading: Reading = Reading()
    fixed_limits: bool = False
    cells: Cells | None = None
    fleet: FleetBlock | None = None

    @model_validator(mode="after")
    def check_plan(self) -> "File":
        """Raises ValueError if the pools exceed the limit or contradict each other."""
        if len(self.pool) > MAX_POOLS:
            raise ValueError(f"{len(self.pool)} pools: at most {MAX_POOLS} are allowed")
        pools_plan = self.plan()
        if pools_plan is not None:
            plan.check(pools_plan)
        return self

    def plan(self) -> plan.PoolsPlan | None:
        """Returns the plan; None without pools, when all classes share all slots."""
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
    """Reads a server's file and returns its plan. Raises InvalidFileError."""
    return read(path, File).plan()


def instance_config_of(path: str | Path) -> InstanceConfig:
    """Reads a server's file. Raises InvalidFileError."""
    file = read(path, File)
    fleet = file.fleet.settings() if file.fleet is not None else None
    distribution = file.fleet.distribution_settings() if file.fleet is not None else None
    if file.cells is None:
        return InstanceConfig(file.plan(), fleet=fleet, distribution=distribution)
    cell_map = str((Path(path).parent / file.cells.map).resolve())
    return InstanceConfig(file.plan(), file.cells.node, cell_map, fleet, distribution)


__all__ = ["File", "InvalidFileError", "instance_config_of", "plan_of"]
