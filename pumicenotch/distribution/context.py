"""The settings and collaborators that the components of one reducer share."""

import itertools
import random
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from pumicenotch.distribution.data.tables import TABLES, Table
from pumicenotch.distribution.outbox import Outbox
from pumicenotch.distribution.settings import DEFAULTS, Settings

# Fraction of a retry delay that is added at most.
MAX_RETRY_JITTER = 0.5


class Context(NamedTuple):
    """The settings and collaborators of the components of a `Node` or a `VoterSource`.

    Attributes:
        settings: times and limits.
        rng: the generator for all random choices.
        outbox: collects the effects of one step.
        counts: numbers of events by name, for status answers.
        request_numbers: yields a unique number for each request to a source.
        tables: the tables against which records are checked.
    """

    settings: Settings
    rng: random.Random
    outbox: Outbox
    counts: Counter[str]
    request_numbers: Iterator[int]
    tables: Mapping[str, Table]

    def retry_delay_ms(self, attempts: int) -> float:
        """Returns the delay before the next attempt: exponential backoff with jitter."""
        backoff_ms = self.settings.retry_ms * float(1 << (attempts - 1))
        delay_ms = min(self.settings.max_retry_ms, backoff_ms)
        return delay_ms * (1.0 + MAX_RETRY_JITTER * self.rng.random())


def new_context(
    rng: random.Random, settings: Settings = DEFAULTS, tables: Mapping[str, Table] = TABLES
) -> Context:
    """Returns a new context for one reducer."""
    return Context(settings, rng, Outbox(), Counter(), itertools.count(1), tables)
