"""Decodes and validates requests of gateways into pending requests."""

import re
from collections.abc import Mapping
from hashlib import blake2b
from itertools import count

from pumicenotch.errors import InputError
from pumicenotch.interface import MAX_CLOCK_AHEAD_MS, Idempotency, RequestClass
from pumicenotch.server.events import RequestReceived
from pumicenotch.server.pending_request import PendingRequest, PendingRequests

MAX_BODY_BYTES = 2048  # defined by the protocol
MAX_MEMORY_KB = 2000.0  # defined by the protocol
MAX_WORK = 1e9  # keeps the controller's sums finite; the controller itself uses a smaller bound
# The protocol's grammar of numbers. Python's float() also accepts "1_0", " 1", "1e3" and "nan".
NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,9})?", re.ASCII)
# Names of the fields in the gateways' protocol.
NAME = "rid"
STAMPED_AT = "t0"
CALLER = "peer"
TENANT = "acct"
MEMORY = "mem"
ESTIMATED_WORK = "est"
PRIORITY = "prio"
IDEMPOTENCY_KEY = "token"
RETRY_MARK = "again"
OBJECT = "obj"
MAP_EPOCH = "epoch"
OWNERSHIP_QUERY = "ask"
MARK = "1"  # the only valid value of a flag field
FIELD_PATTERNS = {
    name: re.compile(pattern, re.ASCII)
    for name, pattern in (
        (NAME, "[0-9a-f]{16}"),
        (STAMPED_AT, "[0-9]{1,15}"),
        (CALLER, "[0-9]{1,15}"),
        (RETRY_MARK, MARK),
        (MAP_EPOCH, "[0-9]{1,15}"),
        (OWNERSHIP_QUERY, MARK),
        (IDEMPOTENCY_KEY, "[0-9a-f]{32}"),
        (OBJECT, "[0-9a-f]{16}"),
        (TENANT, ".{1,64}"),
    )
}


class InvalidRequestError(InputError):
    """A request has a missing or invalid field; the error text names the field."""


def text_field(fields: Mapping[str, str], name: str, pattern: re.Pattern[str] | None = None) -> str:
    """Returns the value of a text field.

    Args:
        fields: The fields of the request.
        name: The name of the field.
        pattern: The pattern of valid values; None for that of FIELD_PATTERNS.

    Raises:
        InvalidRequestError: The field is missing or does not match the pattern.
    """
    value = fields.get(name)
    if not isinstance(value, str) or not (pattern or FIELD_PATTERNS[name]).fullmatch(value):
        raise InvalidRequestError(name)
    return value


def number_field(fields: Mapping[str, str], name: str, upper_bound: float) -> float:
    """Returns the value of a numeric field, which is at least 0 and below the bound.

    Raises:
        InvalidRequestError: The field is missing, not a number, or out of range.
    """
    value = float(text_field(fields, name, NUMBER))
    if value >= upper_bound:
        raise InvalidRequestError(name)
    return value


def flag_field(fields: Mapping[str, str], name: str) -> bool:
    """Returns whether a flag field is present.

    Raises:
        InvalidRequestError: The field has any value but MARK.
    """
    return name in fields and text_field(fields, name) == MARK


class RequestDecoder:
    """Decodes requests of gateways into pending requests.

    Args:
        classes: The request classes in the controller's order.
        class_indexes: The index of each class in `classes`, by class name.
        tenant_indexes: The controller's index of each tenant, by tenant name. If empty, requests
            need not name a tenant.
        pending: The unfinished requests, whose names a new request must not reuse.
    """

    def __init__(
        self,
        classes: list[RequestClass],
        class_indexes: dict[str, int],
        tenant_indexes: dict[str, int],
        pending: PendingRequests,
    ) -> None:
        self.classes = classes
        self.class_indexes = class_indexes
        self.tenant_indexes = tenant_indexes
        self.pending = pending
        self.reads_map_epoch = False  # set on nodes with cells, whose routers send an epoch
        self.next_ids = count(1)

    def decode(self, event: RequestReceived, unix_ms: float) -> PendingRequest:
        """Returns the pending request for an event.

        Fields that no decision uses are checked as well: a sender with an invalid field is not a
        gateway, and its other fields cannot be trusted.

        Args:
            event: The event.
            unix_ms: The Unix time at which the request was read.

        Raises:
            InvalidRequestError: A field is missing or invalid.
        """
        request = self._create(event)
        fields = event.fields
        self._decode_size(request, fields, unix_ms)
        request.caller_id = int(text_field(fields, CALLER))
        request.is_retry = flag_field(fields, RETRY_MARK)
        if OBJECT in fields:
            text_field(fields, OBJECT)
        if self.reads_map_epoch and MAP_EPOCH in fields:
            request.map_epoch = int(text_field(fields, MAP_EPOCH))
            request.is_ownership_query = flag_field(fields, OWNERSHIP_QUERY)
        request.tenant_name = fields.get(TENANT, "")
        if self.tenant_indexes:
            tenant = text_field(fields, TENANT)
            if tenant not in self.tenant_indexes:
                raise InvalidRequestError(TENANT)
            request.tenant_index = self.tenant_indexes[tenant]
        self._decode_idempotency_key(request, fields)
        return request

    def _create(self, event: RequestReceived) -> PendingRequest:
        if event.class_name not in self.class_indexes:
            raise InvalidRequestError("stage")
        if not isinstance(event.body, bytes) or len(event.body) > MAX_BODY_BYTES:
            raise InvalidRequestError("body")
        request = PendingRequest(
            next(self.next_ids),
            text_field(event.fields, NAME),
            event.connection_id,
            event.message_id,
            event.class_name,
            event.body,
        )
        if request.name in self.pending.by_name:
            raise InvalidRequestError(NAME)
        request.class_index = self.class_indexes[event.class_name]
        request.request_class = self.classes[request.class_index]
        return request

    def _decode_size(
        self, request: PendingRequest, fields: Mapping[str, str], unix_ms: float
    ) -> None:
        request.stamped_at_ms = float(text_field(fields, STAMPED_AT))
        if request.stamped_at_ms > unix_ms + MAX_CLOCK_AHEAD_MS:
            raise InvalidRequestError(STAMPED_AT)
        request.arrived_at_ms = min(request.stamped_at_ms, unix_ms)
        request.memory_kb = number_field(fields, MEMORY, MAX_MEMORY_KB)
        if request.memory_kb <= 0.0:
            raise InvalidRequestError(MEMORY)
        if ESTIMATED_WORK in fields:
            request.estimated_work = number_field(fields, ESTIMATED_WORK, MAX_WORK)
        number_field(fields, PRIORITY, 1.0)

    def _decode_idempotency_key(self, request: PendingRequest, fields: Mapping[str, str]) -> None:
        if request.request_class.idempotency is Idempotency.KEYED:
            request.idempotency_key = text_field(fields, IDEMPOTENCY_KEY)
            content = b"%d " % request.class_index + request.body
            request.body_digest = blake2b(content, digest_size=16).digest()
            if OBJECT in fields:
                raise InvalidRequestError(OBJECT)
        elif IDEMPOTENCY_KEY in fields:
            raise InvalidRequestError(IDEMPOTENCY_KEY)
