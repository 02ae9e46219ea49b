"""What a file of ours says of pools, checked as a whole and free of where it was read from."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from pumicenotch.errors import InputError


class Pool(NamedTuple):
    """One pool as it is asked for. `stages` are names; `"*"` takes all that no other pool names."""

    name: str
    stages: tuple[str, ...]
    reserve: float = (
        0.0  # part of the running places that is its own whenever it has work for them, 0 to 1
    )
    weight: float = (
        0.0  # of its claim on the rest; 0: by what its work earns for the time it holds a place
    )
    most: float = 1.0  # part of the running places that it may hold at the most, lent ones included
    lends: bool = True  # its idle places may be used by others


class Plan(NamedTuple):
    """All pools, and the budgets of repeated attempts."""

    pools: tuple[Pool, ...]
    fixed: bool = False  # limits stand at the parts of the plan, whatever is observed
    retry_ratio: float = 0.1  # repeats let in for each first try while places are short
    retry_burst: float = 10.0  # repeats that a caller or tenant may have saved up
    callers_most: int = 1024  # callers, and tenants, of which a budget is kept
    likeness_ms: float = (
        4000.0  # within which the same content again counts as a repeat; 0: only marked ones
    )
    reading: float = (
        0.5  # part of what is read that is kept for reserved pools while reading is behind
    )


class InvalidPoolsPlanError(InputError):
    """A plan that cannot be carried; the text names the pool and what is allowed."""


def lanes(plan: Plan, stages: Mapping[str, int]) -> list[int]:
    """The pool of each stage, by the stage's number. Stages that no pool names go to the pool of `"*"`, and
    where there is none to the last pool. A name that is no stage of this server is no fault: one plan serves
    deployments with different stages. Raises InvalidPoolsPlanError.
    """
    check(plan)
    spare = next(
        (at for at, pool in enumerate(plan.pools) if "*" in pool.stages), len(plan.pools) - 1
    )
    found = [spare] * (max(stages.values(), default=-1) + 1)
    for at, pool in enumerate(plan.pools):
        for name in pool.stages:
            if name in stages:
                found[stages[name]] = at
    return found


def check(plan: Plan) -> None:
    """Raises InvalidPoolsPlanError where pools contradict each other."""
    if not plan.pools:
        raise InvalidPoolsPlanError("no pool: name one at the least")
    seen: dict[str, str] = {}
    for pool in plan.pools:
        if not pool.stages:
            raise InvalidPoolsPlanError(
                f'pool {pool.name!r}: no stages: name one at the least, or "*"'
            )
        for name in pool.stages:
            if name in seen:
                raise InvalidPoolsPlanError(
                    f"pool {pool.name!r}: stage {name!r} is also of {seen[name]!r}: name it once"
                )
            seen[name] = pool.name
        if pool.reserve > pool.most:
            raise InvalidPoolsPlanError(
                f"pool {pool.name!r}: reserve {pool.reserve} is over most {pool.most}"
            )
    names = [pool.name for pool in plan.pools]
    if len(set(names)) < len(names):
        raise InvalidPoolsPlanError(
            f"pools named twice: {', '.join(sorted({n for n in names if names.count(n) > 1}))}"
        )
    reserved = sum(pool.reserve for pool in plan.pools)
    if reserved > 0.9 + 1e-9:
        raise InvalidPoolsPlanError(
            f"reserves sum to {reserved:g}: 0.9 at the most, or the other pools starve"
        )


def unknown(plan: Plan, stages: Sequence[str]) -> list[str]:
    """Names in the plan that are no stage of this server, for a word in the log."""
    return [
        name for pool in plan.pools for name in pool.stages if name != "*" and name not in stages
    ]
