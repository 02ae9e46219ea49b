"""What sources, replicas and voters send each other. `codec` makes plain values of them, and reads those
again within bounds.
"""

from typing import Any, NamedTuple

from pumicenotch.distribution.data.records import Change, ScopeId
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.protocol.reports import Report

METHOD = "configuration"  # of the notices that carry these messages
PAGE_BYTES_MOST = 32 * 1024  # of records in one message
PAGE_CHANGES_MOST = 160  # read and staged within 1 ms
PAGE_SCOPES_MOST = 256
WANTS_MOST = 64  # scopes named in one Fetch
CANDIDATES_MOST = 8
ROSTER_MOST = 1024
AGE_UNKNOWN_MS = (1 << 31) - 1  # of whoever never knew what is current

# Why a source refuses
NOT_A_RELAY = "not-a-relay"  # it has no voters as sources, or can't read what is in force
UNKNOWN_CHILD = "unknown-child"  # subscribe first: it has restarted or forgotten
BUSY = "busy"  # come back later: admission, or too many children or transfers
NOT_READY = "not-ready"  # it does not hold all of the subscription yet
COMPACTED = "compacted"  # its log does not reach back so far: compare scopes
NO_TRANSFER = "no-transfer"  # it no longer keeps that transfer: begin anew


class Cursor(NamedTuple):
    """A place in the changes of one publication, ordered by table and scope; `offset` counts in the scope."""

    table: str = ""
    scope: str = ""
    offset: int = 0


START = Cursor()
FIRST_SCOPE = ScopeId("", "")  # comes before all scopes


class ScopeDigest(NamedTuple):
    table: str
    scope: str
    digest: int


class Want(NamedTuple):
    """The records of a scope whose names come after `after`."""

    table: str
    scope: str
    after: str = ""


class ScopePart(NamedTuple):
    """Some records of a scope, in the order of their names: (name, value) pairs; `done` with the last."""

    table: str
    scope: str
    records: tuple[tuple[str, str], ...]
    done: bool


# From a child to its source


class Subscribe(NamedTuple):
    """`generation` numbers the child's subscriptions: what is filtered by another one it can't use."""

    request: int
    generation: int
    version: int  # in force at the child
    primary: bool  # whether pushes are wanted, or announcements alone
    subscription: Subscription


class Unsubscribe(NamedTuple):
    """The child has other sources now."""


class Acknowledge(NamedTuple):
    """What the child and all that it serves have in force. Also what says that it is alive."""

    version: int
    primary: bool
    report: Report


class Pull(NamedTuple):
    """The changes after version `have`; of the next version alone, from `start` on."""

    request: int
    generation: int
    have: int
    start: Cursor = START


class Compare(NamedTuple):
    """The digests of the subscribed scopes that come after `after`. The first one of a transfer fixes its
    version at the source.
    """

    request: int
    generation: int
    transfer: int
    after: ScopeId = FIRST_SCOPE


class Fetch(NamedTuple):
    """Records of scopes as of the transfer's version."""

    request: int
    transfer: int
    wants: tuple[Want, ...]


class EndTransfer(NamedTuple):
    """The source need not keep that transfer's view any longer."""

    transfer: int


class Check(NamedTuple):
    """Is this the digest of that scope at that version?"""

    version: int
    scope: ScopeDigest


# From a source to its child


class Accepted(NamedTuple):
    request: int
    version: int
    age_ms: int


class Refused(NamedTuple):
    """`request` is that of the message refused, or 0. `candidates` are addresses of better sources."""

    request: int
    reason: str
    retry_after_ms: int
    candidates: tuple[str, ...] = ()


class Announce(NamedTuple):
    """The source has this version in force, and knew it to be current so long ago."""

    version: int
    age_ms: int


class Delta(NamedTuple):
    """The changes that lead from `previous` to `version`, filtered by the child's subscription: whole, or a
    page of them from `start` to `end`. `digests` are those of the scopes that this page changes, as of
    `version`. Pushed with request 0.
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
    """Answers Fetch; at least one part, not necessarily all that was wanted."""

    request: int
    transfer: int
    parts: tuple[ScopePart, ...]


class Mismatch(NamedTuple):
    """Answers Check where the digest is another one; a match is not answered."""

    version: int
    table: str
    scope: str


class Progress(NamedTuple):
    """From a voter to the leader: all that it serves, aggregated."""

    report: Report


class Roster(NamedTuple):
    """Whom a relay or a voter serves as their primary source, by name: from a relay to its voter, and from
    there to the leader, when it changes and now and then.
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
KINDS: dict[str, type[Any]] = {
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
NAMES: dict[type[Any], str] = {kind: name for name, kind in KINDS.items()}
