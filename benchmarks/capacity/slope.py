"""What a role module offers: sizes, and a function that measures at one of them."""

from collections.abc import Callable
from typing import NamedTuple


class Reading(NamedTuple):
    role: str
    measure: str
    value: float


class Slope(NamedTuple):
    """One thing that grows, and what is read as it does."""

    roles: tuple[str, ...]
    by: str
    sizes: tuple[float, ...]
    measure: Callable[[float, int], list[Reading]]  # size, seed
    least: float = 1.0  # size that makes sense


def readings(role: str, **values: float) -> list[Reading]:
    return [Reading(role, measure, float(value)) for measure, value in values.items()]
