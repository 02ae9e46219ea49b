"""The encoding of messages on the wire: `[kind, *fields]`.

Each field of a received message is checked for its type and its size before the message is used.
"""

from collections.abc import Callable
from typing import Any

from pumicenotch.distribution.data.records import (
    DIGEST_BYTES,
    MAX_VALUE_BYTES,
    Change,
    ScopeId,
    digest_bytes,
)
from pumicenotch.distribution.data.subscription import Subscription, decode_subscription
from pumicenotch.distribution.errors import DistributionError, MalformedMessageError
from pumicenotch.distribution.protocol import messages as m
from pumicenotch.distribution.protocol.reports import MAX_NAMED_PROBLEMS, CopyProblem, Report

# Limit on the length of names, addresses and other short texts, in characters.
MAX_TEXT_LENGTH = 128
ERROR_PLACE = "configuration message"
ERROR_REMEDY = (
    "run programs that speak one version of this protocol, and see which instance sends it"
)
Reader = Callable[[Any], Any]
# MessagePack encodes these without a conversion; a change is a tuple of them.
PLAIN_TYPES = frozenset({str, bytes, int, float, bool, type(None), Change})


def encode(message: m.Message) -> list[object]:
    """Returns a message as lists of texts, numbers, booleans and bytes, for MessagePack."""
    return [m.KINDS_BY_TYPE[type(message)], *map(_encode_value, message)]


def _encode_value(value: Any) -> Any:
    if type(value) in PLAIN_TYPES:
        return value
    if isinstance(value, Subscription):
        return value.encode()
    if isinstance(value, m.ScopeDigest):
        return [value.table, value.scope, digest_bytes(value.digest)]
    if isinstance(value, tuple):
        return [item if type(item) in PLAIN_TYPES else _encode_value(item) for item in value]
    return value


def decode(payload: Any) -> m.Message:
    """Returns the message that `encode` encoded.

    Raises:
        MalformedMessageError: the payload is not a valid message of a source or replica.
    """
    if not isinstance(payload, list | tuple) or not payload or not isinstance(payload[0], str):
        raise _malformed("no kind and fields")
    kind, *fields = payload
    readers = FIELD_READERS.get(kind)
    if readers is None:
        raise _malformed(f"unknown kind {kind!r:.40}")
    if len(fields) != len(readers):
        raise _malformed(f"{kind} has {len(readers)} fields, not {len(fields)}")
    try:
        message: m.Message = m.MESSAGE_TYPES[kind]._make(
            reader(field) for reader, field in zip(readers, fields, strict=True)
        )
    except MalformedMessageError:
        raise
    except DistributionError as error:
        raise _malformed(f"{kind}: {error.problem}") from None
    except (TypeError, ValueError) as error:
        raise _malformed(f"{kind}: {error}") from None
    return message


def _malformed(problem: str) -> MalformedMessageError:
    return MalformedMessageError(ERROR_PLACE, problem[:200], ERROR_REMEDY)


def _read_number(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise _malformed(f"{value!r:.40} is no whole number")
    return value


def _read_boolean(value: Any) -> bool:
    if not isinstance(value, bool):
        raise _malformed(f"{value!r:.40} is no boolean")
    return value


def _read_text(value: Any) -> str:
    if not isinstance(value, str) or len(value) > MAX_TEXT_LENGTH:
        raise _malformed(f"{value!r:.40} is no text of up to {MAX_TEXT_LENGTH} characters")
    return value


def _read_value(value: Any) -> str:
    if not isinstance(value, str) or len(value) > MAX_VALUE_BYTES:
        raise _malformed(f"a value is no text of up to {MAX_VALUE_BYTES} bytes")
    return value


def _read_digest(value: Any) -> int:
    if not isinstance(value, bytes) or len(value) != DIGEST_BYTES:
        raise _malformed(f"a digest is no {DIGEST_BYTES} bytes")
    return int.from_bytes(value, "big")


def _read_list(value: Any, max_length: int, reader: Reader) -> tuple[Any, ...]:
    if not isinstance(value, list | tuple) or len(value) > max_length:
        raise _malformed(f"a list of up to {max_length} is wanted")
    return tuple(map(reader, value))


def _read_row(value: Any, *readers: Reader) -> list[Any]:
    if not isinstance(value, list | tuple) or len(value) != len(readers):
        raise _malformed(f"{len(readers)} fields are wanted")
    return [reader(field) for reader, field in zip(readers, value, strict=True)]


def _read_cursor(value: Any) -> m.Cursor:
    return m.Cursor(*_read_row(value, _read_text, _read_text, _read_number))


def _read_scope_id(value: Any) -> ScopeId:
    return ScopeId(*_read_row(value, _read_text, _read_text))


def _read_scope_digest(value: Any) -> m.ScopeDigest:
    return m.ScopeDigest(*_read_row(value, _read_text, _read_text, _read_digest))


def _read_want(value: Any) -> m.Want:
    return m.Want(*_read_row(value, _read_text, _read_text, _read_text))


def _read_name_and_value(value: Any) -> tuple[str, str]:
    name, value = _read_row(value, _read_text, _read_value)
    return name, value


def _read_scope_page(value: Any) -> m.ScopePage:
    return m.ScopePage(*_read_row(value, _read_text, _read_text, _read_records, _read_boolean))


def _read_records(value: Any) -> tuple[tuple[str, str], ...]:
    return _read_list(value, m.MAX_PAGE_CHANGES, _read_name_and_value)


def _read_parts(value: Any) -> tuple[m.ScopePage, ...]:
    parts = _read_list(value, m.MAX_WANTS, _read_scope_page)
    if sum(len(part.records) for part in parts) > m.MAX_PAGE_CHANGES:
        raise _malformed(f"more than {m.MAX_PAGE_CHANGES} records")
    return parts


def _read_change(value: Any) -> Change:
    """Reads one change without `_read_row`, for speed, as a page has many changes."""
    if not isinstance(value, list | tuple) or len(value) != len(Change._fields):
        raise _malformed(f"{len(Change._fields)} fields are wanted")
    table, key, text = value
    return Change(_read_text(table), _read_text(key), None if text is None else _read_value(text))


def _read_problem(value: Any) -> CopyProblem:
    return CopyProblem(*_read_row(value, _read_text, _read_number, _read_text))


def _read_problems(value: Any) -> tuple[CopyProblem, ...]:
    return _read_list(value, MAX_NAMED_PROBLEMS, _read_problem)


def _read_report(value: Any) -> Report:
    return Report(
        *_read_row(
            value,
            _read_number,
            _read_number,
            _read_number,
            _read_number,
            _read_problems,
            _read_number,
        )
    )


def _read_changes(value: Any) -> tuple[Change, ...]:
    return _read_list(value, m.MAX_PAGE_CHANGES, _read_change)


def _read_digests(value: Any) -> tuple[m.ScopeDigest, ...]:
    return _read_list(value, m.MAX_PAGE_CHANGES, _read_scope_digest)


def _read_wants(value: Any) -> tuple[m.Want, ...]:
    return _read_list(value, m.MAX_WANTS, _read_want)


def _read_names(value: Any) -> tuple[str, ...]:
    return _read_list(value, m.MAX_ROSTER_NAMES, _read_text)


def _read_candidates(value: Any) -> tuple[str, ...]:
    return _read_list(value, m.MAX_CANDIDATES, _read_text)


FIELD_READERS: dict[str, tuple[Reader, ...]] = {
    "subscribe": (_read_number, _read_number, _read_number, _read_boolean, decode_subscription),
    "unsubscribe": (),
    "acknowledge": (_read_number, _read_boolean, _read_report),
    "pull": (_read_number, _read_number, _read_number, _read_cursor),
    "compare": (_read_number, _read_number, _read_number, _read_scope_id),
    "fetch": (_read_number, _read_number, _read_wants),
    "end-transfer": (_read_number,),
    "check": (_read_number, _read_scope_digest),
    "accepted": (_read_number, _read_number, _read_number),
    "refused": (_read_number, _read_text, _read_number, _read_candidates),
    "announce": (_read_number, _read_number),
    "delta": (
        _read_number,
        _read_number,
        _read_number,
        _read_number,
        _read_number,
        _read_cursor,
        _read_cursor,
        _read_boolean,
        _read_changes,
        _read_digests,
    ),
    "scopes": (
        _read_number,
        _read_number,
        _read_number,
        _read_number,
        _read_digests,
        _read_boolean,
    ),
    "records": (_read_number, _read_number, _read_parts),
    "mismatch": (_read_number, _read_text, _read_text),
    "progress": (_read_report,),
    "roster": (_read_text, _read_names),
}
