"""The voters' book of publications: what the entries of their log make of the configuration. The same entries
give the same book at every voter.
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
from pumicenotch.distribution.publications import snapshot as dumping
from pumicenotch.distribution.publications.entries import VERBS, Reader
from pumicenotch.distribution.publications.uploads import UPLOADS_MOST, Upload, changes_digest

LEVEL = 3  # of the fleet's entries, from which on voters read these
REQUESTS_MOST = 1000  # answered requests remembered, so that a repeat changes nothing
HISTORY_MOST = 200  # publications whose who and why are kept


class Outcome(NamedTuple):
    """What an entry came to, in the form of `fleet.entries.Said`. The value is a version, or an error's
    code.
    """

    ok: bool
    text: str
    value: Any = None


class Publication(NamedTuple):
    """What is told of a publication; its changes are in the log while that reaches back to it."""

    version: int
    by: str
    why: str
    at_ms: int
    changes: int


class Publications:
    """Entries: `stage` (upload, part, previous, changes) and `publish` (request, upload, parts, digest,
    previous, by, why, at_ms, changes). A small publication carries its changes itself, with 0 parts.
    """

    name: ClassVar[str] = "configuration"
    level: ClassVar[int] = LEVEL
    verbs: ClassVar[Mapping[str, tuple[Reader, ...]]] = VERBS

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
        return self.view.version

    def admit(self, verb: str, args: tuple[Any, ...]) -> None:
        """Called before an entry is proposed: whether its records are of the tables' form. Not where it is
        applied, so that voters with programs of different tables agree. Raises the error that fits.
        """
        if verb == "publish" and args[0] in self.requests:
            return  # asked again, as its answer was lost: it hears the same
        for change in args[-1]:
            check_change(self.tables, change)
        self._check_previous(args[2] if verb == "stage" else args[4])

    def apply(self, index: int, verb: str, args: tuple[Any, ...]) -> Outcome:
        """An entry of the log, its fields read by the readers of `verbs`."""
        try:
            return self._stage(*args) if verb == "stage" else self._publish(*args)
        except DistributionError as error:
            return Outcome(False, str(error), error.code)

    def _check_previous(self, previous: int) -> None:
        if previous != self.version:
            raise ConflictError(
                "publication",
                f"it was made against version {previous}, the current one is {self.version}",
                "look at what has changed since, and publish again",
            )

    def _stage(self, name: str, part: int, previous: int, changes: Sequence[Change]) -> Outcome:
        self._check_previous(previous)
        upload = self.uploads.get(name)
        if upload is None:
            upload = self._begin_upload(name)
        if part < upload.parts:
            return Outcome(True, "staged already", part)
        if part > upload.parts:
            raise InvalidPublicationError(
                f"upload {name}",
                f"part {upload.parts} is missing",
                "stage its parts in order, from 0",
            )
        try:
            upload.add(changes)
        except DistributionError:
            del self.uploads[name]
            raise
        return Outcome(True, "staged", part)

    def _begin_upload(self, name: str) -> Upload:
        while len(self.uploads) >= UPLOADS_MOST:
            del self.uploads[next(iter(self.uploads))]
        self.uploads[name] = Upload(self.view)
        return self.uploads[name]

    def _publish(
        self,
        request: str,
        name: str,
        parts: int,
        digest: str,
        previous: int,
        by: str,
        why: str,
        at_ms: int,
        changes: Sequence[Change],
    ) -> Outcome:
        if request in self.requests:
            return self.requests[request]
        self._check_previous(previous)
        upload = (
            self._complete_upload(name, parts, digest) if parts else self._small(digest, changes)
        )
        self.view, entry = upload.finish()
        self.log.append(entry)
        self.uploads.clear()  # they were made against the former version
        self.history.append(Publication(self.version, by, why, at_ms, entry.count))
        del self.history[:-HISTORY_MOST]
        outcome = Outcome(True, f"version {self.version}", self.version)
        self._remember(request, outcome)
        return outcome

    def _complete_upload(self, name: str, parts: int, digest: str) -> Upload:
        upload = self.uploads.get(name)
        if upload is None or upload.parts != parts or upload.digest != digest:
            raise InvalidPublicationError(
                f"upload {name}",
                "its parts are not all here, or are others",
                "stage and publish it again",
            )
        return upload

    def _small(self, digest: str, changes: Sequence[Change]) -> Upload:
        if not changes or changes_digest(changes) != digest:
            raise InvalidPublicationError(
                "publication", "it has no changes, or its digest is not theirs", "publish it again"
            )
        upload = Upload(self.view)
        upload.add(changes)
        return upload

    def _remember(self, request: str, outcome: Outcome) -> None:
        self.requests[request] = outcome
        while len(self.requests) > REQUESTS_MOST:
            del self.requests[next(iter(self.requests))]

    def dump(self) -> bytes:
        """All of it; what has not changed since the last time is not written anew."""
        head = dumping.Head(self.version, self.log.base, self.requests, self.history)
        return dumping.dumped(head, self.view, self.log, self.uploads)

    def load(self, told: bytes) -> None:
        """In place of all that is here. Raises DistributionError, and then changes nothing."""
        loaded = dumping.loaded(told)
        self.view = loaded.view
        self.log.reset(loaded.head.base)
        for entry in loaded.entries:
            self.log.append(entry)
        self.uploads = loaded.uploads
        self.requests = {name: Outcome(*outcome) for name, outcome in loaded.head.requests.items()}
        self.history = [Publication(*row) for row in loaded.head.history]
