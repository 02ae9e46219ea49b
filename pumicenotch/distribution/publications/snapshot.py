"""The book as bytes, for the voters' snapshots: JSON, a line a scope, an entry or an upload, each line kept
with what it tells until that changes.
"""

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from pumicenotch.distribution.data.changelog import ChangeLog, ChangeSet, LogEntry
from pumicenotch.distribution.data.records import Change, ScopeId
from pumicenotch.distribution.data.view import Builder, Scope, View
from pumicenotch.distribution.errors import DistributionError, InvalidPublicationError
from pumicenotch.distribution.publications.uploads import Upload

FORM = 1  # of a dump


class Head(NamedTuple):
    version: int
    base: int  # of the log of changes
    requests: Mapping[str, Sequence[Any]]
    history: Sequence[Sequence[Any]]


class Loaded(NamedTuple):
    head: Head
    view: View
    entries: list[LogEntry]
    uploads: dict[str, Upload]


def dumped(head: Head, view: View, log: ChangeLog, uploads: Mapping[str, Upload]) -> bytes:
    lines = [_line("head", FORM, *head)]
    lines += [_scope_line(scope_id, view) for scope_id in view.scope_ids()]
    lines += [_entry_line(entry) for entry in log.entries]
    lines += [
        _line("upload", name, upload.parts, upload.changes()) for name, upload in uploads.items()
    ]
    return b"\n".join(lines)


def _line(*fields: Any) -> bytes:
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


def loaded(told: bytes) -> Loaded:
    """Raises DistributionError for what is no dump."""
    try:
        return _loaded([json.loads(line) for line in told.split(b"\n")])
    except DistributionError:
        raise
    except (ValueError, TypeError, KeyError, IndexError) as error:
        raise InvalidPublicationError(
            "dump of the configuration",
            f"it is not readable: {error}"[:200],
            "start this voter without its state: it takes that of the others",
        ) from None


def _loaded(lines: list[Any]) -> Loaded:
    (kind, form, version, base, requests, history), *rest = lines
    if kind != "head" or form != FORM:
        raise ValueError(f"form {form}, not {FORM}")
    scopes = [line[1:] for line in rest if line[0] == "scope"]
    view = _view(version, scopes)
    entries = [_entry(*line[1:]) for line in rest if line[0] == "entry"]
    uploads = {
        name: _upload(view, parts, rows) for _, name, parts, rows in _of_kind(rest, "upload")
    }
    return Loaded(Head(version, base, requests, history), view, entries, uploads)


def _of_kind(lines: list[Any], kind: str) -> Iterable[Any]:
    return (line for line in lines if line[0] == kind)


def _view(version: int, scopes: Iterable[Any]) -> View:
    builder = Builder(View())
    for table, name, records in scopes:
        scope = Scope(records, 0)
        scope_id = ScopeId(table, name)
        scope.digest = scope.recomputed(scope_id)
        builder.replace(scope_id, scope)
    return builder.finish(version)


def _entry(previous: int, version: int, rows: list[Any], digests: list[Any]) -> LogEntry:
    changes = ChangeSet(Change(*row) for row in rows)
    told = {ScopeId(table, scope): int(digest, 16) for table, scope, digest in digests}
    return LogEntry(previous, version, changes, told)


def _upload(view: View, parts: int, rows: list[Any]) -> Upload:
    upload = Upload(view)
    upload.add([Change(*row) for row in rows])
    upload.parts = parts
    return upload
