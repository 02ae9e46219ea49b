"""The plan of class pools: what a configuration file says of them, checked as a whole."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from pumicenotch.errors import InputError

ALL_OTHER_CLASSES = "*"
# More would starve the pools without a reserve.
MAX_RESERVED_FRACTION = 0.9
ROUNDING_ERROR = 1e-9


class PoolPlan(NamedTuple):
    """One pool.

    Attributes:
        name: unique among the pools.
        classes: names of the request classes in it; `"*"` takes all that no other pool names.
        reserve: the fraction of the slots that its requests fill before all others.
        weight: its claim on the rest; 0: by its classes' priority for the time that they run.
        max_fraction: the fraction of the slots that it may use at most, lent ones included.
        lends_idle_slots: whether other pools may use the slots that it does not need.
    """

    name: str
    classes: tuple[str, ...]
    reserve: float = 0.0
    weight: float = 0.0
    max_fraction: float = 1.0
    lends_idle_slots: bool = True


class PoolsPlan(NamedTuple):
    """All pools, and the retry budgets.

    Attributes:
        pools: at least one.
        fixed_limits: whether limits stay at the plan's fractions, whatever is observed.
        retry_ratio: retries admitted for each first attempt while slots are short.
        retry_burst: retries that a caller or tenant may have saved up.
        max_callers: callers, and tenants, for which a retry budget is kept.
        duplicate_window_ms: within it the same content counts as a retry; 0: only if marked.
        reading_reserve: the fraction of reading kept for reserved pools while reading is behind.
    """

    pools: tuple[PoolPlan, ...]
    fixed_limits: bool = False
    retry_ratio: float = 0.1
    retry_burst: float = 10.0
    max_callers: int = 1024
    duplicate_window_ms: float = 4000.0
    reading_reserve: float = 0.5


class InvalidPoolsPlanError(InputError):
    """A plan that contradicts itself; the text names the pool and what is allowed."""


# The keys of a compiled plan, which servers of other versions read too.
POOL_KEYS: Mapping[str, str] = {
    "name": "name",
    "stages": "classes",
    "reserve": "reserve",
    "weight": "weight",
    "most": "max_fraction",
    "lends": "lends_idle_slots",
}
PLAN_KEYS: Mapping[str, str] = {
    "pools": "pools",
    "fixed": "fixed_limits",
    "retry_ratio": "retry_ratio",
    "retry_burst": "retry_burst",
    "callers_most": "max_callers",
    "likeness_ms": "duplicate_window_ms",
    "reading": "reading_reserve",
}


def encode_pool(pool: PoolPlan) -> dict[str, object]:
    """Return a pool by the keys of a compiled plan."""
    return {key: getattr(pool, field) for key, field in POOL_KEYS.items()}


def encode_plan(plan: PoolsPlan) -> dict[str, object]:
    """Return a plan by the keys of a compiled plan."""
    encoded = {key: getattr(plan, field) for key, field in PLAN_KEYS.items()}
    return {**encoded, "pools": [encode_pool(pool) for pool in plan.pools]}


def decode_plan(encoded: Any) -> PoolsPlan:
    """Return the plan that `encode_plan` gave, checked.

    Raises:
        InvalidPoolsPlanError: pools contradict each other.
        KeyError, TypeError: it is no encoded plan.
    """
    fields = {PLAN_KEYS[key]: encoded[key] for key in encoded}
    plan = PoolsPlan(**{**fields, "pools": tuple(map(_decode_pool, encoded["pools"]))})
    check(plan)
    return plan


def _decode_pool(encoded: Any) -> PoolPlan:
    fields = {POOL_KEYS[key]: encoded[key] for key in encoded}
    return PoolPlan(**{**fields, "classes": tuple(encoded["stages"])})


def assign_classes(plan: PoolsPlan, class_indices: Mapping[str, int]) -> list[int]:
    """Return the pool of each class, by the index of the class.

    Classes that no pool names go to the pool of `"*"`, and where there is none to the last pool. A
    name that is no class of this server is no fault: one plan serves different deployments.

    Raises:
        InvalidPoolsPlanError: pools contradict each other.
    """
    check(plan)
    default_pool = len(plan.pools) - 1
    for index, pool in enumerate(plan.pools):
        if ALL_OTHER_CLASSES in pool.classes:
            default_pool = index
            break
    assigned = [default_pool] * (max(class_indices.values(), default=-1) + 1)
    for index, pool in enumerate(plan.pools):
        for name in pool.classes:
            if name in class_indices:
                assigned[class_indices[name]] = index
    return assigned


def check(plan: PoolsPlan) -> None:
    """Check that pools do not contradict each other.

    Raises:
        InvalidPoolsPlanError: they do.
    """
    if not plan.pools:
        raise InvalidPoolsPlanError("no pool: name one at the least")
    _check_classes(plan)
    _check_names(plan)
    for pool in plan.pools:
        if pool.reserve > pool.max_fraction:
            raise InvalidPoolsPlanError(
                f"pool {pool.name!r}: reserve {pool.reserve} is over most {pool.max_fraction}"
            )
    reserved = sum(pool.reserve for pool in plan.pools)
    if reserved > MAX_RESERVED_FRACTION + ROUNDING_ERROR:
        raise InvalidPoolsPlanError(
            f"reserves sum to {reserved:g}: 0.9 at the most, or the other pools starve"
        )


def _check_classes(plan: PoolsPlan) -> None:
    pool_of_class: dict[str, str] = {}
    for pool in plan.pools:
        if not pool.classes:
            raise InvalidPoolsPlanError(
                f'pool {pool.name!r}: no stages: name one at the least, or "*"'
            )
        for name in pool.classes:
            if name in pool_of_class:
                raise InvalidPoolsPlanError(
                    f"pool {pool.name!r}: stage {name!r} is also of {pool_of_class[name]!r}:"
                    " name it once"
                )
            pool_of_class[name] = pool.name


def _check_names(plan: PoolsPlan) -> None:
    names = [pool.name for pool in plan.pools]
    repeated = sorted({name for name in names if names.count(name) > 1})
    if repeated:
        raise InvalidPoolsPlanError(f"pools named twice: {', '.join(repeated)}")


def unknown_classes(plan: PoolsPlan, known: Sequence[str]) -> list[str]:
    """Return the class names in the plan that this server does not have."""
    return [
        name
        for pool in plan.pools
        for name in pool.classes
        if name != ALL_OTHER_CLASSES and name not in known
    ]
