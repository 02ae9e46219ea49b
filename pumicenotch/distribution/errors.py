"""What can go wrong with published configuration. Every text ends with what an operator can do."""

from typing import ClassVar

from pumicenotch.errors import PumicenotchError


class DistributionError(PumicenotchError, ValueError):
    """The root of the errors of this package. A ValueError, as readers of log entries raise."""

    code: ClassVar[str] = "distribution"


class UnknownTable(DistributionError):
    """A change, a lookup or a subscription names no table of this program."""

    code = "unknown-table"


class InvalidRecord(DistributionError):
    """A record's key or value is not of its table's form."""

    code = "invalid-record"


class InvalidSubscription(DistributionError):
    """A subscription is malformed or too large."""

    code = "invalid-subscription"


class InvalidPublication(DistributionError):
    """A publication is incomplete, empty or names one record twice."""

    code = "invalid-publication"


class OversizedPublication(DistributionError):
    """A publication, or one part of it, has more changes or bytes than are allowed."""

    code = "oversized-publication"


class OversizedRecord(DistributionError):
    """A record's value is longer than allowed."""

    code = "oversized-record"


class OversizedScope(DistributionError):
    """A scope would hold more records, or a table more scopes, than allowed."""

    code = "oversized-scope"


class Conflict(DistributionError):
    """The publication was made against a version that is no longer the current one."""

    code = "conflict"


class UnreadableForm(DistributionError):
    """A record has a newer form than this program reads."""

    code = "unreadable-form"


class DigestMismatch(DistributionError):
    """A scope's records do not have the digest that was told for them."""

    code = "digest-mismatch"


class SourceRefused(DistributionError):
    """No source serves this instance at the moment."""

    code = "source-refused"


class SourceBehind(DistributionError):
    """All sources of this instance have lower versions than its own copy."""

    code = "source-behind"


class MalformedMessage(DistributionError):
    """A message is not of the form that sources and replicas send."""

    code = "malformed-message"
