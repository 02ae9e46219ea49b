"""What members count of their requests and tell the leader while a release is on."""

import math
from collections.abc import Iterable
from functools import reduce
from typing import Any, NamedTuple

from pumicenotch.fleet.replicated.fields import InvalidCommandError

MAX_CLASSES = 64  # in one report
MAX_CLASS_NAME_LENGTH = 64
MAX_MEMORY_MB = 1e9


class RequestCounts(NamedTuple):
    """Requests of one class since their process started, or within some time."""

    requests: float = 0.0
    first_attempts: float = 0.0  # the requests that were no retries
    failures: float = 0.0  # failed, late or rejected
    calls: float = 0.0  # to dependencies
    failed_calls: float = 0.0
    call_ms: float = 0.0  # in all

    def minus(self, counts: "RequestCounts") -> "RequestCounts":
        """Returns the difference, count by count."""
        return RequestCounts(*(mine - theirs for mine, theirs in zip(self, counts, strict=True)))

    def plus(self, counts: "RequestCounts") -> "RequestCounts":
        """Returns the sum, count by count."""
        return RequestCounts(*(mine + theirs for mine, theirs in zip(self, counts, strict=True)))


def total_of(counts: Iterable[RequestCounts]) -> RequestCounts:
    """Returns the sum of all."""
    return reduce(RequestCounts.plus, counts, RequestCounts())


def read_memory_mb(value: Any) -> float:
    """Returns the memory of a process from the wire; raises InvalidCommandError."""
    if not isinstance(value, int | float) or not 0.0 <= value < MAX_MEMORY_MB:
        raise InvalidCommandError(f"no memory of a process: {value!r:.40}", location="counts")
    return float(value)


def read_counts(value: Any) -> dict[str, RequestCounts]:
    """Returns the counts by class from the wire; raises InvalidCommandError."""
    try:
        counts = {
            str(name)[:MAX_CLASS_NAME_LENGTH]: RequestCounts(*map(float, fields))
            for name, *fields in value[:MAX_CLASSES]
        }
    except (TypeError, ValueError) as error:
        raise InvalidCommandError(f"no counts of a member: {error}", location="counts") from None
    if not all(math.isfinite(count) and count >= 0 for row in counts.values() for count in row):
        raise InvalidCommandError("no counts of a member: no counts", location="counts")
    return counts
