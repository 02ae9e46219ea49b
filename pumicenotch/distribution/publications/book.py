"""The replicated state of published configuration at a voter.

`Publications` applies the entries of the voters' replicated log. The same entries lead to the same
state at every voter.
"""

from collections.abc import Mapping, Sequence
from typing import Any, ClassVar, NamedTuple

from pumicenotch.distribution.data.changelog import ChangeLog
from pumicenotch.distribution.data.records import Change
from pumicenotch.distribution.data.tables import TABLES, Table, check_change
from pumicenotch.distribution.data.view import View
from pumicenotch.distribution.errors import (
    ConflictError,
    DistributionError,
    InvalidPublicationError,
)
from pumicenotch.distribution.publications import snapshot
from pumicenotch.distribution.publications.entries import (
    FIELD_READERS,
    FieldReader,
    PublishEntry,
    StageEntry,
    entry_of,
)
from pumicenotch.distribution.publications.uploads import MAX_UPLOADS, Upload, changes_digest

# The lowest level of the fleet's log entries at which voters read the entries of this subject.
LEVEL = 3
# Number of requests whose outcomes are kept, so that a retry returns the first outcome.
MAX_REQUESTS = 1000
# Number of publications in the history.
MAX_HISTORY = 200


class Outcome(NamedTuple):
    """The result of an entry, which the fleet's replicated state returns to the proposer.

    Attributes:
        ok: whether the entry was applied.
        text: the answer to the proposer of the entry.
        value: the version or the number of the part; for a refused entry, the code of the error.
    """

    ok: bool
    text: str
    value: Any = None


class Publication(NamedTuple):
    """A publication in the history. Its changes are in the change log until they are compacted.

    The field names are also the keys in status answers.

    Attributes:
        version: the version that the publication created.
        by: the publisher.
        why: the reason.
        at_ms: Unix time in milliseconds.
        changes: the number of changes.
    """

    version: int
    by: str
    why: str
    at_ms: int
    changes: int


class Publications:
    """The configuration, its change log and the unfinished uploads.

    This is a subject of the fleet's replicated state, which uses `name`, `level`, `verbs`, `admit`,
    `apply`, `dump` and `load`.
    """

    name: ClassVar[str] = "configuration"
    level: ClassVar[int] = LEVEL
    verbs: ClassVar[Mapping[str, tuple[FieldReader, ...]]] = FIELD_READERS

    def __init__(
        self, *, tables: Mapping[str, Table] = TABLES, log: ChangeLog | None = None
    ) -> None:
        self.tables = tables
        self.view = View()
        self.log = log or ChangeLog()
        self.uploads: dict[str, Upload] = {}
        self.requests: dict[str, Outcome] = {}
        self.history: list[Publication] = []

    @property
    def version(self) -> int:
        """The current version of the configuration."""
        return self.view.version

    def admit(self, verb: str, args: tuple[Any, ...]) -> None:
        """Checks before an entry is proposed that its records are valid for their tables.

        `apply` does not check this, so that voters whose programs have different tables reach the
        same state.

        Raises:
            DistributionError: the entry cannot be published.
        """
        entry = entry_of(verb, args)
        if isinstance(entry, PublishEntry) and entry.request in self.requests:
            # A retry gets the outcome of the first request again.
            return
        for change in entry.changes:
            check_change(self.tables, change)
        self._check_previous(entry.previous)

    def apply(self, index: int, verb: str, args: tuple[Any, ...]) -> Outcome:
        """Applies a log entry, whose fields the readers of `verbs` have read."""
        entry = entry_of(verb, args)
        try:
            return self._stage(entry) if isinstance(entry, StageEntry) else self._publish(entry)
        except DistributionError as error:
            return Outcome(False, str(error), error.code)

    def _check_previous(self, previous: int) -> None:
        if previous != self.version:
            raise ConflictError(
                "publication",
                f"it was made against version {previous}, the current one is {self.version}",
                "look at what has changed since, and publish again",
            )

    def _stage(self, entry: StageEntry) -> Outcome:
        self._check_previous(entry.previous)
        upload = self.uploads.get(entry.upload)
        if upload is None:
            upload = self._start_upload(entry.upload)
        if entry.part < upload.parts:
            return Outcome(True, "staged already", entry.part)
        if entry.part > upload.parts:
            raise InvalidPublicationError(
                f"upload {entry.upload}",
                f"part {upload.parts} is missing",
                "stage its parts in order, from 0",
            )
        try:
            upload.add(entry.changes)
        except DistributionError:
            del self.uploads[entry.upload]
            raise
        return Outcome(True, "staged", entry.part)

    def _start_upload(self, name: str) -> Upload:
        while len(self.uploads) >= MAX_UPLOADS:
            del self.uploads[next(iter(self.uploads))]
        self.uploads[name] = Upload(self.view)
        return self.uploads[name]

    def _publish(self, entry: PublishEntry) -> Outcome:
        if entry.request in self.requests:
            return self.requests[entry.request]
        self._check_previous(entry.previous)
        if entry.parts:
            upload = self._complete_upload(entry)
        else:
            upload = self._small_upload(entry.digest, entry.changes)
        self.view, log_entry = upload.finish()
        self.log.append(log_entry)
        # Uploads against the previous version can no longer be published.
        self.uploads.clear()
        publication = Publication(
            self.version,
            entry.published_by,
            entry.reason,
            entry.published_at_ms,
            log_entry.count,
        )
        self.history.append(publication)
        del self.history[:-MAX_HISTORY]
        outcome = Outcome(True, f"version {self.version}", self.version)
        self._store_outcome(entry.request, outcome)
        return outcome

    def _complete_upload(self, entry: PublishEntry) -> Upload:
        upload = self.uploads.get(entry.upload)
        if upload is None or upload.parts != entry.parts or upload.digest != entry.digest:
            raise InvalidPublicationError(
                f"upload {entry.upload}",
                "its parts are not all here, or are others",
                "stage and publish it again",
            )
        return upload

    def _small_upload(self, digest: str, changes: Sequence[Change]) -> Upload:
        if not changes or changes_digest(changes) != digest:
            raise InvalidPublicationError(
                "publication", "it has no changes, or its digest is not theirs", "publish it again"
            )
        upload = Upload(self.view)
        upload.add(changes)
        return upload

    def _store_outcome(self, request: str, outcome: Outcome) -> None:
        self.requests[request] = outcome
        while len(self.requests) > MAX_REQUESTS:
            del self.requests[next(iter(self.requests))]

    def dump(self) -> bytes:
        """Returns a snapshot. Parts unchanged since the last one are not encoded again."""
        head = snapshot.Head(self.version, self.log.base, self.requests, self.history)
        return snapshot.encode(head, self.view, self.log, self.uploads)

    def load(self, data: bytes) -> None:
        """Replaces the whole state by that of a snapshot.

        Raises:
            DistributionError: the data is not a valid snapshot. The state is then unchanged.
        """
        loaded = snapshot.decode(data)
        self.view = loaded.view
        self.log.reset(loaded.head.base)
        for entry in loaded.entries:
            self.log.append(entry)
        self.uploads = loaded.uploads
        self.requests = {name: Outcome(*outcome) for name, outcome in loaded.head.requests.items()}
        self.history = [Publication(*row) for row in loaded.head.history]
