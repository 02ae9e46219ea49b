"""The messages of the membership protocol and their encoding.

A message is encoded as `[kind, *fields]`. Kinds and the order of fields must not change, because
members of earlier versions read them. `MESSAGE_TYPES` maps kinds to message types.
"""

from collections.abc import Mapping
from enum import IntEnum
from typing import Any, NamedTuple

from pumicenotch.errors import InputError

MAX_UPDATES_PER_MESSAGE = 64
MAX_TEXT_LENGTH = 64  # characters, of each name, address or id
MAX_ERROR_LENGTH = 200  # characters

ERROR_PLACE = "membership message"
ERROR_REMEDY = "run programs that use the same version of this protocol"


class MessageDecodeError(InputError):
    """A received payload is not a valid membership message."""

    code = "membership-message"


class MemberPhase(IntEnum):
    """The phase that a member announces of itself; the numbers are part of the wire format."""

    JOINING = 0
    SERVING = 1
    DRAINING = 2
    LEFT = 3  # the member has shut down and will not respond


# The labels of the phases in status responses.
PHASE_LABELS: Mapping[MemberPhase, str] = {
    MemberPhase.JOINING: "joining",
    MemberPhase.SERVING: "serving",
    MemberPhase.DRAINING: "draining",
    MemberPhase.LEFT: "out",
}


class MemberState(IntEnum):
    """The state that other members believe; within one incarnation the higher value prevails."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MemberIdentity(NamedTuple):
    """One process of a member.

    Attributes:
        name: The member's name, which is reused by its later processes.
        address: The address where the process listens, HOST:PORT.
        process_id: A unique id drawn when the process starts.
        started_at_ms: Unix time when the process started; used only to order processes of one name.
        zone: The zone that the process runs in.
        region: The region that the process runs in.
    """

    name: str
    address: str
    process_id: str
    started_at_ms: int
    zone: str
    region: str


class Update(NamedTuple):
    """The knowledge about one member: the unit of gossip.

    Attributes:
        member: The member that the update describes.
        incarnation: Incremented by the member itself to refute a suspicion or announce a phase.
        phase: The phase last announced by the member.
        state: The believed state of the member.
        reported_by: The member that first reported the state; distinct reporters confirm a
            suspicion.
    """

    member: MemberIdentity
    incarnation: int
    phase: MemberPhase
    state: MemberState
    reported_by: str

    @property
    def is_dead_or_left(self) -> bool:
        """Whether this process of the member is dead or has left."""
        return self.state is MemberState.DEAD or self.phase is MemberPhase.LEFT

    @property
    def precedence(self) -> tuple[int, str, int, int, int]:
        """The sort key of updates about one member; the update with the higher key prevails."""
        member = self.member
        return (member.started_at_ms, member.process_id, self.incarnation, self.state, self.phase)


class Ping(NamedTuple):
    """Probes a member, directly or on behalf of another member. An Ack is the response."""

    sequence_number: int
    updates: tuple[Update, ...]  # the first describes the sender
    broadcasts: tuple[object, ...]  # (key, value) pairs, validated by `Broadcasts.receive`


class Ack(NamedTuple):
    """Responds to a Ping or, when relayed, to a PingRequest."""

    sequence_number: int
    updates: tuple[Update, ...]
    broadcasts: tuple[object, ...]


class Nack(NamedTuple):
    """Responds to a PingRequest whose target has not responded in time (Lifeguard).

    The Nack shows that the relaying member itself is reachable.
    """

    sequence_number: int


class PingRequest(NamedTuple):
    """Requests the receiver to ping `target` and to relay the Ack (SWIM's ping-req)."""

    sequence_number: int
    target: str


class FullState(NamedTuple):
    """One page of the sender's full state, for push-pull synchronization."""

    updates: tuple[Update, ...]
    reply_wanted: bool  # whether the receiver must respond with its own full state


Message = Ping | Ack | Nack | PingRequest | FullState

MESSAGE_TYPES: Mapping[str, type[Any]] = {
    "ping": Ping,
    "ack": Ack,
    "nack": Nack,
    "help": PingRequest,
    "whole": FullState,
}
_KINDS: Mapping[type[Any], str] = {type_: kind for kind, type_ in MESSAGE_TYPES.items()}


def encode(message: Message) -> list[object]:
    """Returns the message as plain values for MessagePack."""
    return [_KINDS[type(message)], *message]


def decode(payload: Any) -> Message:
    """Returns the message that `encode` encoded.

    Raises:
        MessageDecodeError: The payload is not a valid message.
    """
    try:
        return _decode(payload)
    except (KeyError, IndexError, TypeError, ValueError, AttributeError) as error:
        if isinstance(error, MessageDecodeError):
            raise
        raise _decode_error(f"{type(error).__name__} {error}") from None


def _decode(payload: Any) -> Message:
    kind = payload[0]
    message = MESSAGE_TYPES[kind]._make(payload[1:])
    if not isinstance(message, FullState) and type(message.sequence_number) is not int:
        raise _decode_error(f"{kind}: the sequence number is not an integer")
    match message:
        case Ping() | Ack():
            decoded: Message = message._replace(
                updates=_decode_updates(message.updates), broadcasts=tuple(message.broadcasts)
            )
        case FullState():
            decoded = message._replace(updates=_decode_updates(message.updates))
        case PingRequest(_, target) if not isinstance(target, str):
            raise _decode_error(f"{kind}: the target is not a string")
        case _:
            decoded = message
    return decoded


def _decode_updates(rows: Any) -> tuple[Update, ...]:
    if len(rows) > MAX_UPDATES_PER_MESSAGE:
        raise _decode_error(f"{len(rows)} updates, at most {MAX_UPDATES_PER_MESSAGE} are allowed")
    return tuple(map(_decode_update, rows))


def _decode_update(row: Any) -> Update:
    identity, incarnation, phase, state, reported_by = row
    member = MemberIdentity._make(identity)
    texts = (
        member.name,
        member.address,
        member.process_id,
        member.zone,
        member.region,
        reported_by,
    )
    if not all(isinstance(text, str) and len(text) <= MAX_TEXT_LENGTH for text in texts):
        raise _decode_error(
            f"update of {member!r:.80}: a field is not a string of length 0 to {MAX_TEXT_LENGTH}"
        )
    if not member.name:
        raise _decode_error(f"update of {member!r:.80}: the name is empty")
    if type(incarnation) is not int or incarnation < 0 or type(member.started_at_ms) is not int:
        raise _decode_error(
            f"update of {member.name}: incarnation or started_at_ms is not a valid integer"
        )
    return Update(member, incarnation, MemberPhase(phase), MemberState(state), reported_by)


def _decode_error(problem: str) -> MessageDecodeError:
    return MessageDecodeError(problem[:MAX_ERROR_LENGTH], place=ERROR_PLACE, remedy=ERROR_REMEDY)
