"""The state of a request in the controller."""

from pumicenotch.control.timers import Timer
from pumicenotch.interface import IncomingRequest, RequestClass, RequestState


class Request:
    """One attempt of a caller: the request as it was read, and its progress.

    Attributes:
        deadline: when the latency objective ends.
        expires_at: when the caller gives up.
        estimated_work: the caller's estimate, if there is one.
        original: the queued request that this retry waits for.
        waiting_retries: the retries that wait for this request, oldest first.
        sort_key: the position in the queue; the request with the lowest key starts first.
        off_cores_ms: the time that the run has spent in dependency calls. While a call is queued or
            open, this is the time of the earlier calls minus the start time of the current one.
        dependency_attempts: how often the current call was sent.
        reply_uncertain_at: since when it is not known whether the run has received the reply to its
            last dependency call; None if that is known.
        pool: the index of the pool in which the request waits or runs.
        wait_fraction: the fraction of the usual wait that the pool allows.
        timers: the timers that end with the request.
        is_replay_only: whether this retry may only be answered with the result of its original.
    """

    __slots__ = (
        "arrived_at",
        "caller_id",
        "class_index",
        "content_digest",
        "deadline",
        "dependency_attempts",
        "dependency_called_at",
        "estimated_work",
        "expires_at",
        "is_answered",
        "is_replay_only",
        "is_retry",
        "memory_kb",
        "off_cores_ms",
        "original",
        "pool",
        "reply_uncertain_at",
        "request_class",
        "request_id",
        "sort_key",
        "started_at",
        "state",
        "tenant_index",
        "timers",
        "wait_fraction",
        "waiting_retries",
    )

    def __init__(self, now: float, incoming: IncomingRequest, request_class: RequestClass) -> None:
        self.request_id = incoming.request_id
        self.class_index = incoming.class_index
        self.request_class = request_class
        self.tenant_index = incoming.tenant_index
        self.caller_id = incoming.caller_id
        self.content_digest = incoming.content_digest
        self.memory_kb = incoming.memory_kb
        self.estimated_work = incoming.estimated_work
        arrived_at = now - incoming.waited_ms
        self.arrived_at = arrived_at
        expires_at = incoming.expires_at
        if expires_at is None:
            expires_at = arrived_at + request_class.timeout_ms
        self.expires_at = expires_at if expires_at > now else now
        self.deadline = min(
            self.expires_at,
            arrived_at
            + request_class.latency_objective_ms
            + request_class.objective_per_work * (incoming.estimated_work or 0.0),
        )
        self.state = RequestState.QUEUED
        self.is_answered = False
        self.original: Request | None = None
        self.waiting_retries: list[Request] = []
        self.sort_key = 0.0
        self.started_at = 0.0
        self.off_cores_ms = 0.0
        self.dependency_called_at = 0.0
        self.dependency_attempts = 0
        self.reply_uncertain_at: float | None = None
        self.pool = 0
        self.timers: list[Timer] = []
        self.wait_fraction = 1.0
        self.is_retry = False
        self.is_replay_only = incoming.is_replay_only

    def promote_retry(self) -> "Request | None":
        """Makes the oldest retry that may run the original of the others, and returns it."""
        original = next((retry for retry in self.waiting_retries if not retry.is_replay_only), None)
        if original is None:
            return None
        others = [retry for retry in self.waiting_retries if retry is not original]
        original.state = RequestState.QUEUED
        original.original = None
        original.waiting_retries = others
        for retry in others:
            retry.original = original
        return original

    def __lt__(self, other: "Request") -> bool:
        """Orders requests by sort key; equal keys are ordered by request id, as they arrived."""
        if self.sort_key != other.sort_key:
            return self.sort_key < other.sort_key
        return self.request_id < other.request_id
