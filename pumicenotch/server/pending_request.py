"""The requests that the program has read and not finished."""

from hashlib import blake2b

from pumicenotch.interface import RequestClass


class PendingRequest:
    """One request and what carrying it needs; decisions about it are the controller's.

    Its attributes are those of a request without any option; the decoder sets what the message
    names.
    """

    request_class: RequestClass
    class_index = 0
    tenant_index = 0
    tenant_name = ""
    caller_id = 0  # the gateway that sends it
    is_retry = False
    map_epoch: int | None = (
        None  # of a router's cell map, since when the tenant's nodes are the same
    )
    is_ownership_query = False  # a router asks this node as the previous owner of the tenant
    idempotency_key = ""
    body_digest = b""  # of class and body, the same in every attempt under one idempotency key
    estimated_work: float | None = None
    stamped_at_ms = 0.0  # by the gateway, Unix time
    memory_kb = 0.0
    objective_at = float("inf")  # when its latency objective is missed, where this is counted
    dependency_called_at: float | None = None
    answered = False
    started = False
    suspended = False
    last_notice_serial = 0  # of the pool's last notice about it
    dependency_body = b""  # of the call that its run waits for

    def __init__(
        self,
        request_id: int,
        name: str,
        connection_id: int,
        message_id: int,
        class_name: str,
        body: bytes,
    ) -> None:
        self.request_id = request_id
        self.name = name
        self.connection_id = connection_id
        self.message_id = message_id
        self.class_name = class_name
        self.body = body

    def fingerprint(self) -> int:
        """Returns a number above 0 for the content: requests that share it are likely retries."""
        content = b"%d %d %r " % (self.class_index, self.tenant_index, self.estimated_work)
        return int.from_bytes(blake2b(content + self.body, digest_size=8).digest()) or 1


class PendingRequests:
    """All requests that are not finished, by the controller's id and by the pool's name."""

    def __init__(self) -> None:
        self.by_id: dict[int, PendingRequest] = {}
        self.by_name: dict[str, PendingRequest] = {}

    def add(self, request: PendingRequest) -> None:
        """Takes a request in."""
        self.by_id[request.request_id] = request
        self.by_name[request.name] = request

    def remove(self, request: PendingRequest) -> None:
        """Forgets a request that has finished."""
        self.by_id.pop(request.request_id, None)
        self.by_name.pop(request.name, None)

    def count_unanswered(self) -> int:
        """Returns how many still need an answer."""
        return sum(not request.answered for request in self.by_id.values())
