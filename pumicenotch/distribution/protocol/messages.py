"""The messages between sources, replicas and voters. `codec` encodes them for the wire."""

from typing import Any, NamedTuple

from pumicenotch.distribution.data.records import Change, ScopeId
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.protocol.reports import Report

# The method of the notifications that contain these messages.
METHOD = "configuration"
# Size of the records in one message.
MAX_PAGE_BYTES = 32 * 1024
# Number of changes or records in one message. They are read and staged within 1 ms.
MAX_PAGE_CHANGES = 160
# Number of digests in one answer to Compare.
MAX_PAGE_SCOPES = 256
MAX_WANTS = 64
MAX_CANDIDATES = 8
MAX_ROSTER_NAMES = 1024
# The age of a copy that was never known to be current, and the limit on ages in messages.
AGE_UNKNOWN_MS = (1 << 31) - 1

# Reasons for which a source refuses a request.
# The instance does not have voters as its sources, or cannot read the current version.
NOT_A_RELAY = "not-a-relay"
# The source has restarted or dropped the child, which must subscribe again.
UNKNOWN_CHILD = "unknown-child"
# The rate limit is reached, or there are too many children or transfers. The child retries later.
BUSY = "busy"
# The source does not have all subscribed scopes yet.
NOT_READY = "not-ready"
# The log no longer contains the version of the child, which must compare scopes.
COMPACTED = "compacted"
# The source no longer keeps the transfer. The child must start another one.
NO_TRANSFER = "no-transfer"


class Cursor(NamedTuple):
    """A position in the changes of one version; `offset` counts the changes in the scope."""

    table: str = ""
    scope: str = ""
    offset: int = 0


START = Cursor()
# Sorts before all scopes.
BEFORE_ALL_SCOPES = ScopeId("", "")


class ScopeDigest(NamedTuple):
    """The digest of a scope's records."""

    table: str
    scope: str
    digest: int


class Want(NamedTuple):
    """A request for the records of a scope whose names come after `after`."""

    table: str
    scope: str
    after: str = ""


class ScopePage(NamedTuple):
    """Records of a scope as (name, value) pairs, ordered by name.

    `done` is set if these include the last record of the scope.
    """

    table: str
    scope: str
    records: tuple[tuple[str, str], ...]
    done: bool


# Messages from a child to its source


class Subscribe(NamedTuple):
    """Asks a source to serve the sender as its child.

    Attributes:
        request: the number of the request at the child.
        generation: identifies the subscription; the child ignores deltas for another one.
        version: the version in force at the child.
        primary: whether the child wants pushed deltas, or only announcements.
        subscription: the scopes that the child needs.
    """

    request: int
    generation: int
    version: int
    primary: bool
    subscription: Subscription


class Unsubscribe(NamedTuple):
    """Ends the subscription of a child that now uses other sources."""


class Acknowledge(NamedTuple):
    """Reports the versions in force at the child and at its own children; also its heartbeat."""

    version: int
    primary: bool
    report: Report


class Pull(NamedTuple):
    """Asks for the changes after version `have`, beginning at the position `start`."""

    request: int
    generation: int
    have: int
    start: Cursor = START


class Compare(NamedTuple):
    """Asks for the digests of the subscribed scopes that come after `after`.

    The first Compare of a transfer determines the version of the transfer at the source.
    """

    request: int
    generation: int
    transfer: int
    after: ScopeId = BEFORE_ALL_SCOPES


class Fetch(NamedTuple):
    """Asks for records of scopes at the version of the transfer."""

    request: int
    transfer: int
    wants: tuple[Want, ...]


class EndTransfer(NamedTuple):
    """Allows the source to drop the view of a transfer."""

    transfer: int


class Check(NamedTuple):
    """Asks a source to compare the digest of a scope at a version with its own."""

    version: int
    scope: ScopeDigest


# Messages from a source to its child


class Accepted(NamedTuple):
    """Answers Subscribe. The source knew `version` to be current `age_ms` ago."""

    request: int
    version: int
    age_ms: int


class Refused(NamedTuple):
    """Refuses a request, or with request 0 the whole subscription.

    `candidates` are addresses of other sources.
    """

    request: int
    reason: str
    retry_after_ms: int
    candidates: tuple[str, ...] = ()


class Announce(NamedTuple):
    """Announces the version in force at the source, which knew it to be current `age_ms` ago."""

    version: int
    age_ms: int


class Delta(NamedTuple):
    """The changes from `previous` to `version`, filtered by the child's subscription.

    A delta contains all changes, or a page of them from `start` to `end`; `done` is set on the last
    page. `digests` are the digests at `version` of the scopes that the page changes. A pushed delta
    has request 0.
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
    """Answers Fetch with one page or more, not necessarily with all records that were asked for."""

    request: int
    transfer: int
    parts: tuple[ScopePage, ...]


class Mismatch(NamedTuple):
    """Answers Check if the digest differs. A matching digest is not answered."""

    version: int
    table: str
    scope: str


class Progress(NamedTuple):
    """Sent by a voter to the leader: the merged report of all copies that the voter serves."""

    report: Report


class Roster(NamedTuple):
    """The names of the replicas whose primary source is the relay or voter `owner`.

    Sent by a relay to its voter, and by the voter to the leader, after changes and periodically.
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
# The message types by their kind on the wire.
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
KINDS_BY_TYPE: dict[type[Any], str] = {
    message_type: kind for kind, message_type in MESSAGE_TYPES.items()
}


def item_count(message: Message) -> int:
    """Returns the number of items in a message, which determines the cost of decoding it.

    Items are changes, records and digests.
    """
    match message:
        case Delta():
            return len(message.changes) + len(message.digests)
        case Records():
            return sum(len(part.records) for part in message.parts)
        case Scopes():
            return len(message.digests)
    return 0
