"""What the parts of one reducer share."""

import itertools
import random
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from pumicenotch.distribution.data.tables import TABLES, Table
from pumicenotch.distribution.outbox import Outbox
from pumicenotch.distribution.settings import DEFAULTS, Settings


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


def new_context(
    rng: random.Random, settings: Settings = DEFAULTS, tables: Mapping[str, Table] = TABLES
) -> Context:
    """Return the context of one reducer."""
    return Context(settings, rng, Outbox(), Counter(), itertools.count(1), tables)
