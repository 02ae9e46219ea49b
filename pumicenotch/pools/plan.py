"""The plan of class pools, as read from a configuration file, and its validation."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from pumicenotch.errors import InputError

# In place of a class name: all classes that no other pool names.
ALL_OTHER_CLASSES = "*"
# The maximum sum of reserves. Larger reserves would starve the pools without a reserve.
MAX_RESERVED_FRACTION = 0.9
# Tolerance for the sum of reserves.
ROUNDING_ERROR = 1e-9


class PoolPlan(NamedTuple):
    """The configuration of one pool.

    Attributes:
        name: the name, unique among the pools.
        classes: the names of its request classes; `"*"` stands for all that no other pool names.
        reserve: the fraction of the slots that the pool's requests fill before all others.
        weight: the weight for slots that are not reserved; 0 stands for the mean priority of the
            pool's classes, divided by their mean slot time.
        max_fraction: the maximum fraction of the slots that the pool may use, lent ones included.
        lends_idle_slots: whether other pools may use the slots that this pool does not need.
    """

    name: str
    classes: tuple[str, ...]
    reserve: float = 0.0
    weight: float = 0.0
    max_fraction: float = 1.0
    lends_idle_slots: bool = True


class PoolsPlan(NamedTuple):
    """The configuration of all pools and of the retry budgets.

    Attributes:
        pools: the pools, at least one.
        fixed_limits: whether limits stay at the plan's fractions and do not follow demand.
        retry_ratio: the number of retries admitted per first attempt while slots are short.
        retry_burst: the number of retries that a caller or tenant can save up.
        max_callers: the number of callers, and of tenants, whose retry budgets are kept.
        duplicate_window_ms: the time within which a request with the content of a rejected one
            counts as a retry; at 0 only marked retries count.
        reading_reserve: the fraction of requests read that is kept for pools with a reserve while
            reading is behind.
    """

    pools: tuple[PoolPlan, ...]
    fixed_limits: bool = False
    retry_ratio: float = 0.1
    retry_burst: float = 10.0
    max_callers: int = 1024
    duplicate_window_ms: float = 4000.0
    reading_reserve: float = 0.5


class InvalidPoolsPlanError(InputError):
    """A plan that contradicts itself; the message names the pool and what is allowed."""


# The keys of a compiled plan, which servers of other versions also read.
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
    """Returns the fields of a pool under the keys of a compiled plan."""
    return {key: getattr(pool, field) for key, field in POOL_KEYS.items()}


def encode_plan(plan: PoolsPlan) -> dict[str, object]:
    """Returns the fields of a plan, and of its pools, under the keys of a compiled plan."""
    encoded = {key: getattr(plan, field) for key, field in PLAN_KEYS.items()}
    return {**encoded, "pools": [encode_pool(pool) for pool in plan.pools]}


def decode_plan(encoded: Any) -> PoolsPlan:
    """Returns the plan that `encode_plan` encoded, after validating it.

    Raises:
        InvalidPoolsPlanError: the pools contradict each other.
        KeyError, TypeError: the value is not an encoded plan.
    """
    fields = {PLAN_KEYS[key]: encoded[key] for key in encoded}
    plan = PoolsPlan(**{**fields, "pools": tuple(map(_decode_pool, encoded["pools"]))})
    check(plan)
    return plan


def _decode_pool(encoded: Any) -> PoolPlan:
    fields = {POOL_KEYS[key]: encoded[key] for key in encoded}
    return PoolPlan(**{**fields, "classes": tuple(encoded["stages"])})


def assign_classes(plan: PoolsPlan, class_indices: Mapping[str, int]) -> list[int]:
    """Returns the pool index of each class, by the index of the class.

    Classes that no pool names belong to the pool with `"*"`, or to the last pool if none has it. A
    plan may name classes that this server does not have, because one plan serves different
    deployments.

    Args:
        plan: the plan.
        class_indices: the indexes of this server's classes, by name.

    Raises:
        InvalidPoolsPlanError: the pools contradict each other.
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
    """Checks that the pools of a plan do not contradict each other.

    Raises:
        InvalidPoolsPlanError: there is no pool, a class or name appears twice, or a reserve or the
            sum of reserves is too large.
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
    """Returns the class names in the plan that this server does not have."""
    return [
        name
        for pool in plan.pools
        for name in pool.classes
        if name != ALL_OTHER_CLASSES and name not in known
    ]
