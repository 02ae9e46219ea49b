"""The errors of published configuration. Every text ends with a remedy for the operator."""

from typing import ClassVar

from pumicenotch.errors import InputError


class DistributionError(InputError):
    """The base class of the errors of this package.

    It is a ValueError, which readers of log entries are expected to raise.
    """

    code: ClassVar[str] = "distribution"

    def __init__(self, place: str, problem: str, remedy: str) -> None:
        super().__init__(problem, place=place, remedy=remedy)
        self.args = (place, problem, remedy)


class UnknownTableError(DistributionError):
    """A change, a lookup or a subscription names a table that this program does not have."""

    code = "unknown-table"


class InvalidRecordError(DistributionError):
    """A record's key or value is not valid for its table."""

    code = "invalid-record"


class InvalidSubscriptionError(DistributionError):
    """A subscription is malformed or too large."""

    code = "invalid-subscription"


class InvalidPublicationError(DistributionError):
    """A publication is incomplete, empty or names one record twice."""

    code = "invalid-publication"


class OversizedPublicationError(DistributionError):
    """A publication, or one part of it, has more changes or bytes than are allowed."""

    code = "oversized-publication"


class OversizedRecordError(DistributionError):
    """A record's value is longer than allowed."""

    code = "oversized-record"


class OversizedScopeError(DistributionError):
    """A scope would have more records, or a table more scopes, than allowed."""

    code = "oversized-scope"


class ConflictError(DistributionError):
    """The publication was made against a version that is no longer the current one."""

    code = "conflict"


class UnreadableFormError(DistributionError):
    """A record has a newer form than this program reads."""

    code = "unreadable-form"


class DigestMismatchError(DistributionError):
    """The records of a scope do not have the expected digest."""

    code = "digest-mismatch"


class SourceRefusedError(DistributionError):
    """No source serves this instance at the moment."""

    code = "source-refused"


class SourceBehindError(DistributionError):
    """All sources of this instance have lower versions than its own copy."""

    code = "source-behind"


class MalformedMessageError(DistributionError):
    """A message is not a valid message of a source or replica."""

    code = "malformed-message"
