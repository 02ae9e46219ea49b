"""The form of messages on the wire: `[kind, *fields]`.

What is received is checked field by field, and bounded, before it is used.
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

MAX_TEXT_LENGTH = 128
ERROR_PLACE = "configuration message"
ERROR_REMEDY = (
    "run programs that speak one version of this protocol, and see which instance sends it"
)
Reader = Callable[[Any], Any]


def encode(message: m.Message) -> list[object]:
    """Return the message as MessagePack carries it: lists of texts, numbers, booleans, bytes."""
    return [m.KINDS_BY_TYPE[type(message)], *map(_encode_value, message)]


def _encode_value(value: Any) -> Any:
    if isinstance(value, Subscription):
        return value.encode()
    if isinstance(value, m.ScopeDigest):
        return [value.table, value.scope, digest_bytes(value.digest)]
    if isinstance(value, tuple):
        return [_encode_value(each) for each in value]
    return value


def decode(payload: Any) -> m.Message:
    """Return the message that `encode` gave.

    Raises:
        MalformedMessageError: the payload is no message that a source or a replica sends.
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


def _number(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise _malformed(f"{value!r:.40} is no whole number")
    return value


def _boolean(value: Any) -> bool:
    if not isinstance(value, bool):
        raise _malformed(f"{value!r:.40} is no boolean")
    return value


def _text(value: Any) -> str:
    if not isinstance(value, str) or len(value) > MAX_TEXT_LENGTH:
        raise _malformed(f"{value!r:.40} is no text of up to {MAX_TEXT_LENGTH} characters")
    return value


def _value(value: Any) -> str:
    if not isinstance(value, str) or len(value) > MAX_VALUE_BYTES:
        raise _malformed(f"a value is no text of up to {MAX_VALUE_BYTES} bytes")
    return value


def _digest(value: Any) -> int:
    if not isinstance(value, bytes) or len(value) != DIGEST_BYTES:
        raise _malformed(f"a digest is no {DIGEST_BYTES} bytes")
    return int.from_bytes(value, "big")


def _list(value: Any, max_length: int, reader: Reader) -> tuple[Any, ...]:
    if not isinstance(value, list | tuple) or len(value) > max_length:
        raise _malformed(f"a list of up to {max_length} is wanted")
    return tuple(map(reader, value))


def _row(value: Any, *readers: Reader) -> list[Any]:
    if not isinstance(value, list | tuple) or len(value) != len(readers):
        raise _malformed(f"{len(readers)} fields are wanted")
    return [reader(field) for reader, field in zip(readers, value, strict=True)]


def _cursor(value: Any) -> m.Cursor:
    return m.Cursor(*_row(value, _text, _text, _number))


def _scope_id(value: Any) -> ScopeId:
    return ScopeId(*_row(value, _text, _text))


def _scope_digest(value: Any) -> m.ScopeDigest:
    return m.ScopeDigest(*_row(value, _text, _text, _digest))


def _want(value: Any) -> m.Want:
    return m.Want(*_row(value, _text, _text, _text))


def _name_and_value(value: Any) -> tuple[str, str]:
    name, value = _row(value, _text, _value)
    return name, value


def _scope_page(value: Any) -> m.ScopePage:
    return m.ScopePage(*_row(value, _text, _text, _records, _boolean))


def _records(value: Any) -> tuple[tuple[str, str], ...]:
    return _list(value, m.MAX_PAGE_CHANGES, _name_and_value)


def _parts(value: Any) -> tuple[m.ScopePage, ...]:
    parts = _list(value, m.MAX_WANTS, _scope_page)
    if sum(len(part.records) for part in parts) > m.MAX_PAGE_CHANGES:
        raise _malformed(f"more than {m.MAX_PAGE_CHANGES} records")
    return parts


def _change(value: Any) -> Change:
    """Reads one change, field by field: a page has many, and each step is to be short."""
    if not isinstance(value, list | tuple) or len(value) != len(Change._fields):
        raise _malformed(f"{len(Change._fields)} fields are wanted")
    table, key, text = value
    return Change(_text(table), _text(key), None if text is None else _value(text))


def _problem(value: Any) -> CopyProblem:
    return CopyProblem(*_row(value, _text, _number, _text))


def _problems(value: Any) -> tuple[CopyProblem, ...]:
    return _list(value, MAX_NAMED_PROBLEMS, _problem)


def _report(value: Any) -> Report:
    return Report(*_row(value, _number, _number, _number, _number, _problems, _number))


def _changes(value: Any) -> tuple[Change, ...]:
    return _list(value, m.MAX_PAGE_CHANGES, _change)


def _digests(value: Any) -> tuple[m.ScopeDigest, ...]:
    return _list(value, m.MAX_PAGE_CHANGES, _scope_digest)


def _wants(value: Any) -> tuple[m.Want, ...]:
    return _list(value, m.MAX_WANTS, _want)


def _names(value: Any) -> tuple[str, ...]:
    return _list(value, m.MAX_ROSTER_NAMES, _text)


def _candidates(value: Any) -> tuple[str, ...]:
    return _list(value, m.MAX_CANDIDATES, _text)


FIELD_READERS: dict[str, tuple[Reader, ...]] = {
    "subscribe": (_number, _number, _number, _boolean, decode_subscription),
    "unsubscribe": (),
    "acknowledge": (_number, _boolean, _report),
    "pull": (_number, _number, _number, _cursor),
    "compare": (_number, _number, _number, _scope_id),
    "fetch": (_number, _number, _wants),
    "end-transfer": (_number,),
    "check": (_number, _scope_digest),
    "accepted": (_number, _number, _number),
    "refused": (_number, _text, _number, _candidates),
    "announce": (_number, _number),
    "delta": (
        _number,
        _number,
        _number,
        _number,
        _number,
        _cursor,
        _cursor,
        _boolean,
        _changes,
        _digests,
    ),
    "scopes": (_number, _number, _number, _number, _digests, _boolean),
    "records": (_number, _number, _parts),
    "mismatch": (_number, _text, _text),
    "progress": (_report,),
    "roster": (_text, _names),
}
