"""The encoding of published configuration in the voters' snapshots.

A snapshot is a sequence of JSON lines: a head, then one line for each scope, log entry and upload.
The line of a scope or log entry is cached in that object.
"""

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from pumicenotch.distribution.data.changelog import ChangeLog, ChangeSet, LogEntry
from pumicenotch.distribution.data.records import Change, ScopeId
from pumicenotch.distribution.data.view import Builder, Scope, View
from pumicenotch.distribution.errors import DistributionError, InvalidPublicationError
from pumicenotch.distribution.publications.uploads import Upload

FORMAT_VERSION = 1
# In characters.
MAX_ERROR_LENGTH = 200


class Head(NamedTuple):
    """The first line of a snapshot.

    Attributes:
        version: the version of the configuration.
        base: the oldest version from which the change log continues.
        requests: the outcomes of requests by identifier.
        history: the fields of past publications, oldest first.
    """

    version: int
    base: int
    requests: Mapping[str, Sequence[Any]]
    history: Sequence[Sequence[Any]]


class Snapshot(NamedTuple):
    """The decoded content of a snapshot."""

    head: Head
    view: View
    entries: list[LogEntry]
    uploads: dict[str, Upload]


def encode(head: Head, view: View, log: ChangeLog, uploads: Mapping[str, Upload]) -> bytes:
    """Returns a snapshot. The same content always gives the same bytes."""
    lines = [_line("head", FORMAT_VERSION, *head)]
    lines += [_scope_line(scope_id, view) for scope_id in view.scope_ids()]
    lines += [_entry_line(entry) for entry in log.entries]
    lines += [
        _line("upload", name, upload.parts, upload.changes()) for name, upload in uploads.items()
    ]
    return b"\n".join(lines)


def _line(*fields: object) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode()


def _scope_line(scope_id: ScopeId, view: View) -> bytes:
    scope = view.find(scope_id)
    assert scope is not None, scope_id
    if scope.encoded is None:
        scope.encoded = _line("scope", *scope_id, dict(sorted(scope.records.items())))
    return scope.encoded


def _entry_line(entry: LogEntry) -> bytes:
    if entry.encoded is None:
        changes = [change for changes in entry.scopes.values() for change in changes]
        digests = [[*scope_id, f"{digest:x}"] for scope_id, digest in sorted(entry.digests.items())]
        entry.encoded = _line("entry", entry.previous, entry.version, changes, digests)
    return entry.encoded


def decode(data: bytes) -> Snapshot:
    """Returns the content that `encode` was given.

    Raises:
        DistributionError: the data is not a valid snapshot.
    """
    try:
        return _decode_lines([json.loads(line) for line in data.split(b"\n")])
    except DistributionError:
        raise
    except (ValueError, TypeError, KeyError, IndexError) as error:
        raise InvalidPublicationError(
            "snapshot of the configuration",
            f"it is not readable: {error}"[:MAX_ERROR_LENGTH],
            "start this voter without its state: it takes that of the others",
        ) from None


def _decode_lines(rows: Sequence[Any]) -> Snapshot:
    (kind, format_version, version, base, requests, history), *rest = rows
    if kind != "head" or format_version != FORMAT_VERSION:
        raise ValueError(f"form {format_version}, not {FORMAT_VERSION}")
    view = _decode_view(version, _lines_of(rest, "scope"))
    entries = [_decode_entry(*fields) for fields in _lines_of(rest, "entry")]
    uploads = {
        name: _decode_upload(view, parts, rows) for name, parts, rows in _lines_of(rest, "upload")
    }
    return Snapshot(Head(version, base, requests, history), view, entries, uploads)


def _lines_of(rows: Iterable[Any], kind: str) -> Iterable[Any]:
    return (row[1:] for row in rows if row[0] == kind)


def _decode_view(version: int, scopes: Iterable[Any]) -> View:
    builder = Builder(View())
    for table, name, records in scopes:
        scope = Scope(records, 0)
        scope_id = ScopeId(table, name)
        scope.digest = scope.compute_digest(scope_id)
        builder.replace(scope_id, scope)
    return builder.finish(version)


def _decode_entry(
    previous: int, version: int, rows: Iterable[Any], digest_rows: Iterable[Any]
) -> LogEntry:
    changes = ChangeSet(Change(*row) for row in rows)
    digests = {ScopeId(table, scope): int(digest, 16) for table, scope, digest in digest_rows}
    return LogEntry(previous, version, changes, digests)


def _decode_upload(view: View, parts: int, rows: Iterable[Any]) -> Upload:
    upload = Upload(view)
    upload.add([Change(*row) for row in rows])
    upload.parts = parts
    return upload
