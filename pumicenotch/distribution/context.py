"""What the parts of one reducer share."""

import itertools
import random
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from pumicenotch.distribution.data.tables import TABLES, Table
from pumicenotch.distribution.outbox import Outbox
from pumicenotch.distribution.settings import DEFAULTS, Settings

# As a fraction of the delay.
MAX_RETRY_JITTER = 0.5


class Context(NamedTuple):
    """The collaborators of the parts of a `Node` or a `VoterSource`.

    Attributes:
        settings: times and bounds.
        rng: the source of all random choices.
        outbox: takes the effects of one step.
        counts: events by name, for status answers.
        request_numbers: gives each request to a source a number of its own.
        tables: what records are checked against.
    """

    settings: Settings
    rng: random.Random
    outbox: Outbox
    counts: Counter[str]
    request_numbers: Iterator[int]
    tables: Mapping[str, Table]

    def retry_delay_ms(self, attempts: int) -> float:
        """Return how long to wait after so many attempts: exponential backoff with jitter."""
        backoff_ms = self.settings.retry_ms * float(1 << (attempts - 1))
        delay_ms = min(self.settings.max_retry_ms, backoff_ms)
        return delay_ms * (1.0 + MAX_RETRY_JITTER * self.rng.random())


def new_context(
    rng: random.Random, settings: Settings = DEFAULTS, tables: Mapping[str, Table] = TABLES
) -> Context:
    """Return the context of one reducer."""
    return Context(settings, rng, Outbox(), Counter(), itertools.count(1), tables)
