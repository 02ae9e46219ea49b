"""The messages among voters, and the one table from their types to the words on the wire.

A message travels as a list: its wire name, then its fields in order. Decoding raises
`MessageDecodeError` for whatever a voter does not send.
"""

from collections.abc import Set as AbstractSet
from enum import StrEnum
from typing import Any, NamedTuple, TypeAlias

from pumicenotch.errors import InputError

VoterId: TypeAlias = str
"""One process that takes part, as NAME/INCARNATION; the empty string stands for none.

A process that has lost its log is another voter under the same name.
"""


class ClusterMembership(NamedTuple):
    """Who takes part: `voters` count for majorities, `learners` only receive the log."""

    voters: tuple[VoterId, ...] = ()
    learners: tuple[VoterId, ...] = ()

    @property
    def members(self) -> tuple[VoterId, ...]:
        """All that receive the log: voters, then learners."""
        return self.voters + self.learners

    def has_majority(self, voter_ids: AbstractSet[VoterId]) -> bool:
        """Whether those are more than half of the voters."""
        return 2 * sum(voter in voter_ids for voter in self.voters) > len(self.voters)


def voter_name(voter_id: VoterId) -> str:
    """The name under which every incarnation of that voter goes."""
    return voter_id.partition("/")[0]


class EntryKind(StrEnum):
    """What a log entry is; the values are the words on the wire."""

    COMMAND = "do"
    MEMBERSHIP = "seats"
    NO_OP = "noop"  # the first entry of each leader's term


class Entry(NamedTuple):
    """One entry of the log."""

    term: int
    kind: EntryKind
    data: Any  # of COMMAND: what was proposed; of MEMBERSHIP: a ClusterMembership; else None


class RequestVote(NamedTuple):
    """A candidate's request, or a pre-candidate's (thesis, 3.4 and 9.6)."""

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool  # only asks whether the vote would be granted
    leadership_transfer: bool  # voters that hear a leader need not refuse (thesis, 4.2.3)


class VoteResponse(NamedTuple):
    """Answers RequestVote."""

    term: int
    vote_granted: bool
    pre_vote: bool


class AppendEntries(NamedTuple):
    """A leader's entries, or its heartbeat where there are none."""

    term: int
    prev_log_index: int
    prev_log_term: int
    entries: tuple[Entry, ...]
    leader_commit: int
    heartbeat_round: int  # a read waits for a majority's answers to a round begun after it


class AppendResponse(NamedTuple):
    """Answers AppendEntries."""

    term: int
    success: bool
    log_index: int  # success: the log matches the leader's up to it; else: try again after it
    heartbeat_round: int


class InstallSnapshot(NamedTuple):
    """One chunk of a snapshot."""

    term: int
    last_included_index: int
    last_included_term: int
    membership: ClusterMembership  # as of the last included entry
    offset: int
    data: bytes
    done: bool  # this is the last chunk
    heartbeat_round: int


class InstallSnapshotResponse(NamedTuple):
    """Answers InstallSnapshot."""

    term: int
    last_included_index: int
    next_offset: int  # bytes received so far
    heartbeat_round: int


class TimeoutNow(NamedTuple):
    """Leadership transfer (thesis, 3.10): the target starts an election at once."""

    term: int


class Discover(NamedTuple):
    """Bootstrap: asks what the other process knows of a cluster."""

    sender: VoterId


class Uninitialized(NamedTuple):
    """Bootstrap: the sender knows of no cluster; it may have promised itself to a founder."""

    sender: VoterId
    promised_founder: VoterId


class Initialized(NamedTuple):
    """Bootstrap: the sender knows of a cluster."""

    sender: VoterId


class Bootstrapped(NamedTuple):
    """Bootstrap: the founder has made a cluster of those voters."""

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

# The words on the wire. The two methods name the notices that carry the messages under them.
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
    """What was received is no message that voters send."""

    def __init__(self, place: str, problem: str) -> None:
        remedy = "run programs of compatible versions in one fleet"
        super().__init__(problem, place=place, remedy=remedy)


class UnknownVoterError(InputError):
    """A message among voters comes from a process that is none of this cluster's."""

    def __init__(self, place: str, name: str) -> None:
        remedy = "name all voters in the file of each voter"
        super().__init__(f"{name} is no voter of this fleet", place=place, remedy=remedy)


def encode_message(message: Message | BootstrapMessage) -> list[Any]:
    """The message as its wire name and fields, for MessagePack."""
    return [WIRE_NAMES[type(message)], *message]


def decode_message(params: Any) -> Message:
    """The message among voters that `encode_message` wrote.

    Raises:
        MessageDecodeError: It is none, or a field is of another type or below 0.
    """
    message: Message = _decode(params, CONSENSUS_MESSAGES)
    match message:
        case AppendEntries():
            entries = tuple(_decode_entry(entry) for entry in _iterable(message.entries))
            return message._replace(entries=entries)
        case InstallSnapshot():
            return message._replace(membership=decode_membership(message.membership))
    return message


def decode_bootstrap_message(params: Any) -> BootstrapMessage:
    """The bootstrap message that `encode_message` wrote.

    Raises:
        MessageDecodeError: It is none.
    """
    message: BootstrapMessage = _decode(params, BOOTSTRAP_MESSAGES)
    if isinstance(message, Bootstrapped):
        return message._replace(membership=decode_membership(message.membership))
    return message


def decode_membership(value: Any) -> ClusterMembership:
    """The membership as a pair of lists of voter ids.

    Raises:
        MessageDecodeError: It is no such pair.
    """
    try:
        voters, learners = value
        membership = ClusterMembership(tuple(voters), tuple(learners))
    except (TypeError, ValueError):
        raise MessageDecodeError("membership", f"{value!r:.60} is no pair of lists") from None
    for voter_id in membership.members:
        if not isinstance(voter_id, str) or "/" not in voter_id:
            raise MessageDecodeError("membership", f"{voter_id!r:.60} is no NAME/INCARNATION")
    return membership


def _decode(params: Any, message_types: dict[str, type[Any]]) -> Any:
    """The message with its own fields checked; values nested in them are still as on the wire."""
    try:
        wire_name, *values = params
        message_type = message_types[wire_name]
        message = message_type._make(values)
    except (KeyError, TypeError, ValueError) as error:
        problem = f"no message: {type(error).__name__} {error}"[:200]
        raise MessageDecodeError("message among voters", problem) from None
    for field, value in message._asdict().items():
        _check_field(f"{wire_name}.{field}", message_type.__annotations__[field], value)
    return message


def _check_field(place: str, field_type: Any, value: Any) -> None:
    if field_type in (int, bool, bytes, str) and type(value) is not field_type:
        problem = f"{field_type.__name__} is wanted, not {value!r:.40}"
        raise MessageDecodeError(place, problem)
    if field_type is int and value < 0:
        raise MessageDecodeError(place, f"{value} is below 0")


def _iterable(value: Any) -> Any:
    if not isinstance(value, list | tuple):
        raise MessageDecodeError("append.entries", f"{value!r:.60} is no list")
    return value


def _decode_entry(value: Any) -> Entry:
    try:
        term, kind, data = value
        entry_kind = EntryKind(kind)
    except (TypeError, ValueError):
        raise MessageDecodeError("append.entries", f"no entry: {value!r:.60}") from None
    if type(term) is not int:
        raise MessageDecodeError("append.entries", f"no entry: {value!r:.60}")
    is_membership = entry_kind is EntryKind.MEMBERSHIP
    return Entry(term, entry_kind, decode_membership(data) if is_membership else data)
