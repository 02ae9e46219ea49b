"""The messages of the membership protocol, and their form on the wire.

On the wire a message is `[kind, *fields]`. Kinds and the order of fields are fixed: members of
earlier versions read them. `MESSAGE_TYPES` is the one table from the wire's words to types.
"""

from collections.abc import Mapping
from enum import IntEnum
from typing import Any, NamedTuple

from pumicenotch.errors import InputError

MAX_UPDATES_PER_MESSAGE = 64
MAX_TEXT_LENGTH = 64
MAX_ERROR_LENGTH = 200

ERROR_PLACE = "membership message"
ERROR_REMEDY = "run programs that speak one version of this protocol"


class MessageDecodeError(InputError):
    """A payload is not of the form that members send."""

    code = "membership-message"


class MemberPhase(IntEnum):
    """What a member says of itself. The numbers are those on the wire."""

    JOINING = 0
    SERVING = 1
    DRAINING = 2
    LEFT = 3  # it has shut down, and will not answer


# The words of status answers.
PHASE_LABELS: Mapping[MemberPhase, str] = {
    MemberPhase.JOINING: "joining",
    MemberPhase.SERVING: "serving",
    MemberPhase.DRAINING: "draining",
    MemberPhase.LEFT: "out",
}


class MemberState(IntEnum):
    """What other members believe of a member. Within one incarnation the higher value prevails."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class MemberIdentity(NamedTuple):
    """One process of a member.

    Attributes:
        name: the member's name, which its later processes take over.
        address: where it listens, HOST:PORT.
        process_id: drawn at the start of the process, unique to it.
        started_at_ms: Unix time at its start. It orders the processes of one name, nothing else.
        zone: the zone that it runs in.
        region: the region that it runs in.
    """

    name: str
    address: str
    process_id: str
    started_at_ms: int
    zone: str
    region: str


class Update(NamedTuple):
    """What is known of one member: the unit of gossip.

    Attributes:
        member: whom it is about.
        incarnation: raised by the member itself, to refute a suspicion or to announce a phase.
        phase: what the member last said of itself.
        state: what is believed of it.
        reported_by: who first believed that; a suspicion is confirmed by different reporters.
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
        """Of two updates about one member the one of higher precedence replaces the other."""
        member = self.member
        return (member.started_at_ms, member.process_id, self.incarnation, self.state, self.phase)


class Ping(NamedTuple):
    """A probe, direct or on behalf of another member. Answered by an Ack."""

    sequence_number: int
    updates: tuple[Update, ...]  # the first is the sender's own
    broadcasts: tuple[object, ...]  # (key, value) pairs; checked where they are taken in


class Ack(NamedTuple):
    """The answer to a Ping or, relayed, to a PingRequest."""

    sequence_number: int
    updates: tuple[Update, ...]
    broadcasts: tuple[object, ...]


class Nack(NamedTuple):
    """The member asked by a PingRequest has no answer yet, but is itself reachable (Lifeguard)."""

    sequence_number: int


class PingRequest(NamedTuple):
    """Asks the receiver to ping `target` and to relay the Ack (SWIM's ping-req)."""

    sequence_number: int
    target: str


class FullState(NamedTuple):
    """A page of all that the sender knows: push-pull synchronization."""

    updates: tuple[Update, ...]
    reply_wanted: bool  # whether the receiver is to send its own full state


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
    """Return the message as plain values, as MessagePack carries them."""
    return [_KINDS[type(message)], *message]


def decode(payload: Any) -> Message:
    """Return the message that `encode` gave.

    Raises:
        MessageDecodeError: the payload is no message that a member sends.
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
        raise _decode_error(f"{kind}: its sequence number is no whole number")
    match message:
        case Ping() | Ack():
            decoded: Message = message._replace(
                updates=_decode_updates(message.updates), broadcasts=tuple(message.broadcasts)
            )
        case FullState():
            decoded = message._replace(updates=_decode_updates(message.updates))
        case PingRequest(_, target) if not isinstance(target, str):
            raise _decode_error(f"{kind}: its target is no name")
        case _:
            decoded = message
    return decoded


def _decode_updates(rows: Any) -> tuple[Update, ...]:
    if len(rows) > MAX_UPDATES_PER_MESSAGE:
        raise _decode_error(f"{len(rows)} updates, {MAX_UPDATES_PER_MESSAGE} are allowed")
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
        raise _decode_error(f"update of {member!r:.80}: a text is longer than {MAX_TEXT_LENGTH}")
    if not member.name:
        raise _decode_error(f"update of {member!r:.80}: the name is empty")
    if type(incarnation) is not int or incarnation < 0 or type(member.started_at_ms) is not int:
        raise _decode_error(f"update of {member.name}: incarnation or start is no whole number")
    return Update(member, incarnation, MemberPhase(phase), MemberState(state), reported_by)


def _decode_error(problem: str) -> MessageDecodeError:
    return MessageDecodeError(problem[:MAX_ERROR_LENGTH], place=ERROR_PLACE, remedy=ERROR_REMEDY)
