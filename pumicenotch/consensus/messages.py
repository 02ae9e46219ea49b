"""The messages between voters and their encoding.

A message is encoded as a list of its wire name and its fields in order. `CONSENSUS_MESSAGES` and
`BOOTSTRAP_MESSAGES` map wire names to message types. Decoding raises `MessageDecodeError` for
anything that a voter would not send.
"""

from collections.abc import Set as AbstractSet
from enum import StrEnum
from typing import Any, NamedTuple, TypeAlias

from pumicenotch.errors import InputError

VoterId: TypeAlias = str
"""A process that takes part in consensus, as NAME/INCARNATION; "" if there is none.

A process that has lost its log is a different voter with the same name.
"""


class ClusterMembership(NamedTuple):
    """The members of the cluster: `voters` form majorities, `learners` only receive the log."""

    voters: tuple[VoterId, ...] = ()
    learners: tuple[VoterId, ...] = ()

    @property
    def members(self) -> tuple[VoterId, ...]:
        """The members that receive the log: voters, then learners."""
        return self.voters + self.learners

    def has_majority(self, voter_ids: AbstractSet[VoterId]) -> bool:
        """Returns whether the given ids include more than half of the voters."""
        return 2 * sum(voter in voter_ids for voter in self.voters) > len(self.voters)


def voter_name(voter_id: VoterId) -> str:
    """Returns the name that all incarnations of a voter share."""
    return voter_id.partition("/")[0]


class EntryKind(StrEnum):
    """The kind of a log entry; the values are part of the wire format."""

    COMMAND = "do"
    MEMBERSHIP = "seats"
    NO_OP = "noop"  # the first entry of each leader's term


class Entry(NamedTuple):
    """One entry of the log."""

    term: int
    kind: EntryKind
    data: Any  # the proposed command, the ClusterMembership, or None for NO_OP


class RequestVote(NamedTuple):
    """Requests a vote or pre-vote for the sender (thesis, 3.4 and 9.6)."""

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool  # asks whether the vote would be granted, without changing terms
    leadership_transfer: bool  # granted even while a leader is alive (thesis, 4.2.3)


class VoteResponse(NamedTuple):
    """Responds to RequestVote."""

    term: int
    vote_granted: bool
    pre_vote: bool


class AppendEntries(NamedTuple):
    """Replicates a leader's entries; without entries, a heartbeat."""

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: tuple[Entry, ...]
    leader_commit: int
    # A read completes once a majority has responded to a round that started after the read.
    heartbeat_round: int


class AppendResponse(NamedTuple):
    """Responds to AppendEntries."""

    term: int
    success: bool
    log_index: int  # if successful, the last matching index; if not, the index to retry after
    heartbeat_round: int


class InstallSnapshot(NamedTuple):
    """Transfers one chunk of a snapshot."""

    term: int
    last_included_index: int
    last_included_term: int
    membership: ClusterMembership  # as of the last included entry
    offset: int  # bytes
    data: bytes
    done: bool  # whether this is the last chunk
    heartbeat_round: int


class InstallSnapshotResponse(NamedTuple):
    """Responds to InstallSnapshot."""

    term: int
    last_included_index: int
    next_offset: int  # bytes received so far
    heartbeat_round: int


class TimeoutNow(NamedTuple):
    """Tells the target of a leadership transfer to start an election at once (thesis, 3.10)."""

    term: int


class Discover(NamedTuple):
    """Bootstrap: asks whether the recipient knows of a cluster."""

    sender: VoterId


class Uninitialized(NamedTuple):
    """Bootstrap: the sender knows of no cluster; `promised_founder` is "" without a promise."""

    sender: VoterId
    promised_founder: VoterId


class Initialized(NamedTuple):
    """Bootstrap: the sender takes part in a cluster."""

    sender: VoterId


class Bootstrapped(NamedTuple):
    """Bootstrap: the founder has created a cluster with this first membership."""

    founder: VoterId
    membership: ClusterMembership


Message = (
    RequestVote
    | VoteResponse
    | AppendEntries
    | AppendResponse
    | InstallSnapshot
    | InstallSnapshotResponse
    | TimeoutNow
)
BootstrapMessage = Discover | Uninitialized | Initialized | Bootstrapped

# Wire names by message type, and the methods of the notifications that carry the messages. Other
# versions of this program read them, so they must not change.
CONSENSUS_METHOD = "agree"
CONSENSUS_MESSAGES: dict[str, type[Any]] = {
    "ask-vote": RequestVote,
    "vote": VoteResponse,
    "append": AppendEntries,
    "appended": AppendResponse,
    "install": InstallSnapshot,
    "installed": InstallSnapshotResponse,
    "stand-now": TimeoutNow,
}
BOOTSTRAP_METHOD = "found"
BOOTSTRAP_MESSAGES: dict[str, type[Any]] = {
    "who": Discover,
    "fresh": Uninitialized,
    "known": Initialized,
    "found": Bootstrapped,
}
WIRE_NAMES: dict[type[Any], str] = {
    message_type: wire_name
    for wire_name, message_type in (*CONSENSUS_MESSAGES.items(), *BOOTSTRAP_MESSAGES.items())
}


class MessageDecodeError(InputError):
    """A received value is not a valid message between voters."""

    def __init__(self, place: str, problem: str) -> None:
        remedy = "run compatible versions of the program in one fleet"
        super().__init__(problem, place=place, remedy=remedy)


class UnknownVoterError(InputError):
    """A message between voters was sent by a process that is not configured as a voter."""

    def __init__(self, place: str, name: str) -> None:
        remedy = "list all voters in the configuration of each voter"
        super().__init__(f"{name} is not a voter of this fleet", place=place, remedy=remedy)


def encode_message(message: Message | BootstrapMessage) -> list[Any]:
    """Returns the wire name and the fields of a message, ready for MessagePack."""
    return [WIRE_NAMES[type(message)], *message]


def decode_message(params: Any) -> Message:
    """Returns the consensus message that `encode_message` encoded.

    Raises:
        MessageDecodeError: The value is not a consensus message, or a field has the wrong type or a
            negative number.
    """
    message: Message = _decode(params, CONSENSUS_MESSAGES)
    match message:
        case AppendEntries():
            entries = tuple(_decode_entry(entry) for entry in _require_list(message.entries))
            return message._replace(entries=entries)
        case InstallSnapshot():
            return message._replace(membership=decode_membership(message.membership))
    return message


def decode_bootstrap_message(params: Any) -> BootstrapMessage:
    """Returns the bootstrap message that `encode_message` encoded.

    Raises:
        MessageDecodeError: The value is not a bootstrap message, or a field has the wrong type.
    """
    message: BootstrapMessage = _decode(params, BOOTSTRAP_MESSAGES)
    if isinstance(message, Bootstrapped):
        return message._replace(membership=decode_membership(message.membership))
    return message


def decode_membership(value: Any) -> ClusterMembership:
    """Returns the membership encoded as a pair of lists of voter ids.

    Raises:
        MessageDecodeError: The value is not such a pair.
    """
    try:
        voters, learners = value
        membership = ClusterMembership(tuple(voters), tuple(learners))
    except (TypeError, ValueError):
        raise MessageDecodeError("membership", f"{value!r:.60} is not a pair of lists") from None
    for voter_id in membership.members:
        if not isinstance(voter_id, str) or "/" not in voter_id:
            raise MessageDecodeError(
                "membership", f"{voter_id!r:.60} is not of the form NAME/INCARNATION"
            )
    return membership


def _decode(params: Any, message_types: dict[str, type[Any]]) -> Any:
    """Returns the message with its fields checked; nested values are not decoded yet."""
    try:
        wire_name, *values = params
        message_type = message_types[wire_name]
        message = message_type._make(values)
    except (KeyError, TypeError, ValueError) as error:
        problem = f"not a valid message: {type(error).__name__} {error}"[:200]
        raise MessageDecodeError("message between voters", problem) from None
    for field, value in message._asdict().items():
        _check_field(f"{wire_name}.{field}", message_type.__annotations__[field], value)
    return message


def _check_field(place: str, field_type: Any, value: Any) -> None:
    if field_type in (int, bool, bytes, str) and type(value) is not field_type:
        problem = f"{field_type.__name__} expected, got {value!r:.40}"
        raise MessageDecodeError(place, problem)
    if field_type is int and value < 0:
        raise MessageDecodeError(place, f"{value} is negative")


def _require_list(value: Any) -> Any:
    if not isinstance(value, list | tuple):
        raise MessageDecodeError("append.entries", f"{value!r:.60} is not a list")
    return value


def _decode_entry(value: Any) -> Entry:
    try:
        term, kind, data = value
        entry_kind = EntryKind(kind)
    except (TypeError, ValueError):
        raise MessageDecodeError("append.entries", f"not a valid entry: {value!r:.60}") from None
    if type(term) is not int:
        raise MessageDecodeError("append.entries", f"not a valid entry: {value!r:.60}")
    is_membership = entry_kind is EntryKind.MEMBERSHIP
    return Entry(term, entry_kind, decode_membership(data) if is_membership else data)
