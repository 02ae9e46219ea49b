"""What sources, replicas and voters send each other. `codec` has their form on the wire."""

from typing import Any, NamedTuple

from pumicenotch.distribution.data.records import Change, ScopeId
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.protocol.reports import Report

METHOD = "configuration"  # the method of the notifications that carry these messages
# Of records in one message.
MAX_PAGE_BYTES = 32 * 1024
# As many as are read and staged within 1 ms.
MAX_PAGE_CHANGES = 160
MAX_PAGE_SCOPES = 256
MAX_WANTS = 64
MAX_CANDIDATES = 8
MAX_ROSTER_NAMES = 1024
# The age of a copy that was never known to be current.
AGE_UNKNOWN_MS = (1 << 31) - 1

# Why a source refuses a request.
NOT_A_RELAY = "not-a-relay"  # it has no voters as sources, or cannot read the current version
UNKNOWN_CHILD = "unknown-child"  # subscribe first: it has restarted or dropped the child
BUSY = "busy"  # retry later: its rate limit, or too many children or transfers
NOT_READY = "not-ready"  # it does not have all of the subscription yet
COMPACTED = "compacted"  # its log does not reach back so far: compare scopes
NO_TRANSFER = "no-transfer"  # it no longer keeps that transfer: start another


class Cursor(NamedTuple):
    """A position in the changes of one version; `offset` counts the changes in the scope."""

    table: str = ""
    scope: str = ""
    offset: int = 0


START = Cursor()
# Comes before all scopes.
BEFORE_ALL_SCOPES = ScopeId("", "")


class ScopeDigest(NamedTuple):
    """The digest of a scope's records."""

    table: str
    scope: str
    digest: int


class Want(NamedTuple):
    """Asks for the records of a scope whose names come after `after`."""

    table: str
    scope: str
    after: str = ""


class ScopePage(NamedTuple):
    """Records of a scope as (name, value) pairs, by name; `done` with the last of the scope."""

    table: str
    scope: str
    records: tuple[tuple[str, str], ...]
    done: bool


# From a child to its source


class Subscribe(NamedTuple):
    """Asks to be served.

    Attributes:
        request: numbers the child's requests.
        generation: numbers its subscriptions; it cannot use what is filtered by another one.
        version: in force at the child.
        primary: whether it wants pushes, or announcements alone.
        subscription: the scopes that it needs.
    """

    request: int
    generation: int
    version: int
    primary: bool
    subscription: Subscription


class Unsubscribe(NamedTuple):
    """The child has other sources now."""


class Acknowledge(NamedTuple):
    """What the child and all that it serves have in force; also its heartbeat."""

    version: int
    primary: bool
    report: Report


class Pull(NamedTuple):
    """Asks for the changes after version `have`, of the next one from `start` on."""

    request: int
    generation: int
    have: int
    start: Cursor = START


class Compare(NamedTuple):
    """Asks for the digests of the subscribed scopes that come after `after`.

    The first one of a transfer fixes the transfer's version at the source.
    """

    request: int
    generation: int
    transfer: int
    after: ScopeId = BEFORE_ALL_SCOPES


class Fetch(NamedTuple):
    """Asks for records of scopes at the transfer's version."""

    request: int
    transfer: int
    wants: tuple[Want, ...]


class EndTransfer(NamedTuple):
    """The source may drop that transfer's view."""

    transfer: int


class Check(NamedTuple):
    """Asks whether this is the digest of that scope at that version."""

    version: int
    scope: ScopeDigest


# From a source to its child


class Accepted(NamedTuple):
    """Answers Subscribe. `age_ms`: how long ago the version was known to be current."""

    request: int
    version: int
    age_ms: int


class Refused(NamedTuple):
    """Refuses a request, or everything with request 0; `candidates` are other sources."""

    request: int
    reason: str
    retry_after_ms: int
    candidates: tuple[str, ...] = ()


class Announce(NamedTuple):
    """The source has this version in force, and knew it to be current `age_ms` ago."""

    version: int
    age_ms: int


class Delta(NamedTuple):
    """Changes that lead from `previous` to `version`, filtered by the child's subscription.

    All of them, or a page from `start` to `end`. `digests` are those of the scopes that the page
    changes, at `version`. Pushed with request 0.
    """

    request: int
    generation: int
    previous: int
    version: int
    age_ms: int
    start: Cursor
    end: Cursor
    done: bool
    changes: tuple[Change, ...]
    digests: tuple[ScopeDigest, ...]


class Scopes(NamedTuple):
    """Answers Compare."""

    request: int
    transfer: int
    version: int
    age_ms: int
    digests: tuple[ScopeDigest, ...]
    done: bool


class Records(NamedTuple):
    """Answers Fetch with at least one page of a scope, not necessarily all that was wanted."""

    request: int
    transfer: int
    parts: tuple[ScopePage, ...]


class Mismatch(NamedTuple):
    """Answers Check where the digest differs; a match is not answered."""

    version: int
    table: str
    scope: str


class Progress(NamedTuple):
    """From a voter to the leader: the aggregated report of all that it serves."""

    report: Report


class Roster(NamedTuple):
    """The names of those that a relay or a voter serves as their primary source.

    From a relay to its voter, and from there to the leader, on changes and periodically.
    """

    owner: str
    names: tuple[str, ...]


Message = (
    Subscribe
    | Unsubscribe
    | Acknowledge
    | Pull
    | Compare
    | Fetch
    | EndTransfer
    | Check
    | Accepted
    | Refused
    | Announce
    | Delta
    | Scopes
    | Records
    | Mismatch
    | Progress
    | Roster
)
# The words on the wire.
MESSAGE_TYPES: dict[str, type[Any]] = {
    "subscribe": Subscribe,
    "unsubscribe": Unsubscribe,
    "acknowledge": Acknowledge,
    "pull": Pull,
    "compare": Compare,
    "fetch": Fetch,
    "end-transfer": EndTransfer,
    "check": Check,
    "accepted": Accepted,
    "refused": Refused,
    "announce": Announce,
    "delta": Delta,
    "scopes": Scopes,
    "records": Records,
    "mismatch": Mismatch,
    "progress": Progress,
    "roster": Roster,
}
KINDS_BY_TYPE: dict[type[Any], str] = {type_: kind for kind, type_ in MESSAGE_TYPES.items()}


def item_count(message: Message) -> int:
    """Return how many changes, records and digests a message carries: what decoding it costs."""
    match message:
        case Delta():
            return len(message.changes) + len(message.digests)
        case Records():
            return sum(len(part.records) for part in message.parts)
        case Scopes():
            return len(message.digests)
    return 0
