"""The request counts that members report to the leader while a release is active."""

import math
from collections.abc import Iterable
from functools import reduce
from typing import Any, NamedTuple

from pumicenotch.fleet.replicated.fields import InvalidCommandError

MAX_CLASSES = 64  # per report
MAX_CLASS_NAME_LENGTH = 64
MAX_MEMORY_MB = 1e9


class RequestCounts(NamedTuple):
    """Counts of one request class, since the start of a process or within a window."""

    requests: float = 0.0
    first_attempts: float = 0.0  # requests that were not retries
    failures: float = 0.0  # failed, late or rejected requests
    calls: float = 0.0  # calls to dependencies
    failed_calls: float = 0.0
    call_ms: float = 0.0  # total duration of the calls

    def minus(self, counts: "RequestCounts") -> "RequestCounts":
        """Returns the difference, count by count."""
        return RequestCounts(*(own - other for own, other in zip(self, counts, strict=True)))

    def plus(self, counts: "RequestCounts") -> "RequestCounts":
        """Returns the sum, count by count."""
        return RequestCounts(*(own + other for own, other in zip(self, counts, strict=True)))


def total_of(counts: Iterable[RequestCounts]) -> RequestCounts:
    """Returns the sum of all counts; zeros if there are none."""
    return reduce(RequestCounts.plus, counts, RequestCounts())


def read_memory_mb(value: Any) -> float:
    """Returns a process's memory from a wire value, in MB; raises InvalidCommandError."""
    if not isinstance(value, int | float) or not 0.0 <= value < MAX_MEMORY_MB:
        raise InvalidCommandError(f"no memory of a process: {value!r:.40}", location="counts")
    return float(value)


def read_counts(value: Any) -> dict[str, RequestCounts]:
    """Returns the counts of each request class from a wire value.

    Classes beyond MAX_CLASSES are ignored, and long class names are truncated.

    Raises:
        InvalidCommandError: the value is malformed, or a count is negative or not finite.
    """
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
