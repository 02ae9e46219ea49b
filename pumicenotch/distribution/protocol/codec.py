"""Messages as plain values and back. What comes is checked field by field and bounded before it is used."""

from collections.abc import Callable
from typing import Any

from pumicenotch.distribution.data.records import (
    DIGEST_BYTES,
    VALUE_BYTES_MOST,
    Change,
    ScopeId,
    digest_bytes,
)
from pumicenotch.distribution.data.subscription import Subscription, subscription_of
from pumicenotch.distribution.errors import DistributionError, MalformedMessageError
from pumicenotch.distribution.protocol import messages as m
from pumicenotch.distribution.protocol.reports import TROUBLES_MOST, Report, Trouble

TEXT_MOST = 128
PLACE = "configuration message"
REMEDY = "run programs that speak one version of this protocol, and see which instance sends it"
Reader = Callable[[Any], Any]


def plain(message: m.Message) -> list[Any]:
    """[kind, *fields], of what MessagePack carries: texts, whole numbers, truth values, bytes, lists."""
    return [m.NAMES[type(message)], *map(_plain_value, message)]


def _plain_value(value: Any) -> Any:
    if isinstance(value, Subscription):
        return value.plain()
    if isinstance(value, m.ScopeDigest):
        return [value.table, value.scope, digest_bytes(value.digest)]
    if isinstance(value, tuple):
        return [_plain_value(each) for each in value]
    return value


def message_of(params: Any) -> m.Message:
    """The message of [kind, *fields]. Raises MalformedMessageError."""
    if not isinstance(params, list | tuple) or not params or not isinstance(params[0], str):
        raise _malformed("no kind and fields")
    name, *fields = params
    readers = FIELDS.get(name)
    if readers is None:
        raise _malformed(f"unknown kind {name!r:.40}")
    if len(fields) != len(readers):
        raise _malformed(f"{name} has {len(readers)} fields, not {len(fields)}")
    try:
        message: m.Message = m.KINDS[name]._make(
            reader(field) for reader, field in zip(readers, fields, strict=True)
        )
    except MalformedMessageError:
        raise
    except DistributionError as error:
        raise _malformed(f"{name}: {error.problem}") from None
    except (TypeError, ValueError) as error:
        raise _malformed(f"{name}: {error}") from None
    return message


def _malformed(problem: str) -> MalformedMessageError:
    return MalformedMessageError(PLACE, problem[:200], REMEDY)


def _number(told: Any) -> int:
    if type(told) is not int or told < 0:
        raise _malformed(f"{told!r:.40} is no whole number")
    return told


def _truth(told: Any) -> bool:
    if not isinstance(told, bool):
        raise _malformed(f"{told!r:.40} is no truth value")
    return told


def _text(told: Any) -> str:
    if not isinstance(told, str) or len(told) > TEXT_MOST:
        raise _malformed(f"{told!r:.40} is no text of up to {TEXT_MOST} characters")
    return told


def _value(told: Any) -> str:
    if not isinstance(told, str) or len(told) > VALUE_BYTES_MOST:
        raise _malformed(f"a value is no text of up to {VALUE_BYTES_MOST} bytes")
    return told


def _digest(told: Any) -> int:
    if not isinstance(told, bytes) or len(told) != DIGEST_BYTES:
        raise _malformed(f"a digest is no {DIGEST_BYTES} bytes")
    return int.from_bytes(told, "big")


def _list(told: Any, most: int, reader: Reader) -> tuple[Any, ...]:
    if not isinstance(told, list | tuple) or len(told) > most:
        raise _malformed(f"a list of up to {most} is wanted")
    return tuple(map(reader, told))


def _row(told: Any, *readers: Reader) -> list[Any]:
    if not isinstance(told, list | tuple) or len(told) != len(readers):
        raise _malformed(f"{len(readers)} fields are wanted")
    return [reader(field) for reader, field in zip(readers, told, strict=True)]


def _cursor(told: Any) -> m.Cursor:
    return m.Cursor(*_row(told, _text, _text, _number))


def _scope_id(told: Any) -> ScopeId:
    return ScopeId(*_row(told, _text, _text))


def _scope_digest(told: Any) -> m.ScopeDigest:
    return m.ScopeDigest(*_row(told, _text, _text, _digest))


def _want(told: Any) -> m.Want:
    return m.Want(*_row(told, _text, _text, _text))


def _name_and_value(told: Any) -> tuple[str, str]:
    name, value = _row(told, _text, _value)
    return name, value


def _part(told: Any) -> m.ScopePart:
    return m.ScopePart(*_row(told, _text, _text, _records, _truth))


def _records(told: Any) -> tuple[tuple[str, str], ...]:
    return _list(told, m.PAGE_CHANGES_MOST, _name_and_value)


def _parts(told: Any) -> tuple[m.ScopePart, ...]:
    parts = _list(told, m.WANTS_MOST, _part)
    if sum(len(part.records) for part in parts) > m.PAGE_CHANGES_MOST:
        raise _malformed(f"more than {m.PAGE_CHANGES_MOST} records")
    return parts


def _change(told: Any) -> Change:
    return Change(*_row(told, _text, _text, lambda value: None if value is None else _value(value)))


def _trouble(told: Any) -> Trouble:
    return Trouble(*_row(told, _text, _number, _text))


def _troubles(told: Any) -> tuple[Trouble, ...]:
    return _list(told, TROUBLES_MOST, _trouble)


def _report(told: Any) -> Report:
    return Report(*_row(told, _number, _number, _number, _number, _troubles, _number))


def _changes(told: Any) -> tuple[Change, ...]:
    return _list(told, m.PAGE_CHANGES_MOST, _change)


def _digests(told: Any) -> tuple[m.ScopeDigest, ...]:
    return _list(told, m.PAGE_CHANGES_MOST, _scope_digest)


def _wants(told: Any) -> tuple[m.Want, ...]:
    return _list(told, m.WANTS_MOST, _want)


def _names(told: Any) -> tuple[str, ...]:
    return _list(told, m.ROSTER_MOST, _text)


def _candidates(told: Any) -> tuple[str, ...]:
    return _list(told, m.CANDIDATES_MOST, _text)


FIELDS: dict[str, tuple[Reader, ...]] = {
    "subscribe": (_number, _number, _number, _truth, subscription_of),
    "unsubscribe": (),
    "acknowledge": (_number, _truth, _report),
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
        _truth,
        _changes,
        _digests,
    ),
    "scopes": (_number, _number, _number, _number, _digests, _truth),
    "records": (_number, _number, _parts),
    "mismatch": (_number, _text, _text),
    "progress": (_report,),
    "roster": (_text, _names),
}
