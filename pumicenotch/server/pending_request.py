"""Requests that this process has read and not finished."""

from hashlib import blake2b

from pumicenotch.interface import RequestClass


class PendingRequest:
    """One request and the state of its answer, run and dependency call.

    The class attributes are the defaults of optional fields; the decoder sets those that the
    message contains. Scheduling state is the controller's.

    Args:
        request_id: Unique among the requests of this process.
        name: Identifies the request in the protocols of pool and database.
        connection_id: The gateway connection that the request arrived on.
        message_id: Identifies the request on its connection.
        class_name: The name of the request class.
        body: The payload that the run receives.
    """

    request_class: RequestClass
    class_index = 0
    tenant_index = 0
    tenant_name = ""
    caller_id = 0  # the gateway that sent the request
    is_retry = False
    # Set by a router: the epoch of the cell map since which the tenant's nodes are unchanged.
    map_epoch: int | None = None
    is_ownership_query = False  # a router asks this node as the tenant's previous owner
    idempotency_key = ""
    # Digest of class and body, which must be equal in all attempts with one idempotency key.
    body_digest = b""
    estimated_work: float | None = None
    stamped_at_ms = 0.0  # Unix time of sending, stamped by the gateway
    # Unix time of arrival: that of sending, but not later than when this process read the request.
    arrived_at_ms = 0.0
    memory_kb = 0.0
    # Time after which an answer misses the latency objective; set if requests are counted by class.
    objective_at = float("inf")
    dependency_called_at: float | None = None  # set while a call is counted by class
    answered = False
    started = False
    suspended = False
    last_notice_serial = 0  # serial of the pool's last notice about the run
    dependency_body = b""  # payload of the dependency call that the run waits for

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

    @property
    def clock_ahead_ms(self) -> float:
        """By how much the stamp was ahead of this process's clock."""
        return self.stamped_at_ms - self.arrived_at_ms

    def fingerprint(self) -> int:
        """Returns a positive hash of the content; requests with equal hashes are likely retries."""
        content = b"%d %d %r " % (self.class_index, self.tenant_index, self.estimated_work)
        return int.from_bytes(blake2b(content + self.body, digest_size=8).digest()) or 1


class PendingRequests:
    """All unfinished requests, by the controller's request id and by the pool's request name."""

    def __init__(self) -> None:
        self.by_id: dict[int, PendingRequest] = {}
        self.by_name: dict[str, PendingRequest] = {}

    def add(self, request: PendingRequest) -> None:
        """Adds a request."""
        self.by_id[request.request_id] = request
        self.by_name[request.name] = request

    def remove(self, request: PendingRequest) -> None:
        """Removes a request; no effect if it is not there."""
        self.by_id.pop(request.request_id, None)
        self.by_name.pop(request.name, None)

    def count_unanswered(self) -> int:
        """Returns the number of requests that are not answered yet."""
        return sum(not request.answered for request in self.by_id.values())
