"""The types shared by the admission controller, the class pools and their carriers.

A carrier is the program part that calls a controller and carries out its actions. This module
contains no decisions, settings or state. Times and durations are in milliseconds.
"""

from collections.abc import Collection
from enum import Enum, auto
from typing import NamedTuple, Protocol


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    # Any number of times.
    IDEMPOTENT = auto()
    # Once per idempotency key.
    KEYED = auto()
    # Once.
    NONE = auto()


class CancelMode(Enum):
    """How the worker pool can stop a run whose result is no longer needed."""

    NONE = auto()
    KILL = auto()
    SUSPEND = auto()


class LoadFeedback(Enum):
    """The kind of load value that a server reports to its callers."""

    NONE = auto()
    # The lowest priority that the server admits, 0 to 1.
    MIN_PRIORITY = auto()
    # How many requests each caller may have at this server.
    TOKENS = auto()
    # The server's weight in load balancing, 0 to 1.
    WEIGHT = auto()


class DependencyKind(Enum):
    """What serves the dependency calls of runs."""

    NONE = auto()
    # One service that all servers call; each server has a quota of open calls.
    SHARED = auto()
    # A next tier of servers with admission control of its own.
    NEXT_TIER = auto()


class Outcome(Enum):
    """How a run or a call to the dependency ended."""

    OK = auto()
    ERROR = auto()
    REJECTED = auto()
    TIMEOUT = auto()
    UNREACHABLE = auto()
    RESET = auto()
    CANCELLED = auto()
    NOT_STARTED = auto()


# How far ahead of the reader's clock the stamp of a request's arrival may be.
MAX_CLOCK_AHEAD_MS = 1000.0


class RequestState(Enum):
    """The progress of a request in the controller."""

    QUEUED = auto()
    # A retry whose original is still queued.
    AWAITING_ORIGINAL = auto()
    # A retry that is being answered with the result of its original.
    REPLAYING = auto()
    RUNNING = auto()
    # A run that is off the cores while its dependency call is queued or open.
    AWAITING_DEPENDENCY = auto()
    FINISHED = auto()


class RequestClass(NamedTuple):
    """The settings of one class of requests.

    Attributes:
        latency_objective_ms: the time from arrival within which an answer has its full value.
        objective_per_work: the time added to the objective per unit of estimated work.
        timeout_ms: the time from arrival after which no answer is accepted.
        idempotency: whether requests may be executed more than once.
        idempotency_window_ms: the time from arrival within which retries by key may arrive.
        priority_weight: the value of an answer within the objective; above 0.
        late_weight: the value of an answer after the objective, relative to one within it.
        degraded_weight: the value of an answer without the dependency, relative to one with it.
    """

    latency_objective_ms: float
    objective_per_work: float
    timeout_ms: float
    idempotency: Idempotency
    idempotency_window_ms: float
    priority_weight: float
    late_weight: float
    degraded_weight: float


class Tenant(NamedTuple):
    """The settings of one tenant.

    Attributes:
        quota: the tenant's configured share; the controller does not use it.
        rate_limit_per_s: requests per second over all servers; None means no limit.
    """

    quota: float
    rate_limit_per_s: float | None


class IncomingRequest(NamedTuple):
    """A request as its carrier has read it.

    Attributes:
        request_id: unique among all requests of one controller.
        class_index: the index of the request's class in the settings.
        tenant_index: the index of its tenant in the settings; 0 if the tenant is unknown.
        waited_ms: the time between its arrival and the moment it was read.
        expires_at: when the caller gives up; None if unknown.
        estimated_work: the caller's estimate of the work; None if there is none.
        memory_kb: the memory that the request occupies before it runs.
        original_id: the earlier request with the same idempotency key, if this is a retry.
        caller_id: the caller that sent the request; 0 if unknown.
        is_marked_retry: whether the caller marked the request as a retry.
        content_digest: equal for requests with equal content; 0 if unknown.
        is_replay_only: whether a retry may only be answered with the result of its original, and
            never run in its place.
    """

    request_id: int
    class_index: int
    tenant_index: int
    waited_ms: float
    expires_at: float | None
    estimated_work: float | None
    memory_kb: float
    original_id: int | None
    caller_id: int = 0
    is_marked_retry: bool = False
    content_digest: int = 0
    is_replay_only: bool = False


class Actions(Protocol):
    """What a controller asks its carrier to do, within the call that delivers an event."""

    def start(self, request_id: int) -> None:
        """Runs the request, or resumes it after `cancel_run` suspended it."""

    def reject(self, request_id: int, do_not_retry: bool, retry_after_ms: float) -> None:
        """Rejects a request that has not run.

        Args:
            request_id: the request.
            do_not_retry: whether the caller is asked not to try other servers.
            retry_after_ms: how long the caller should wait before it retries; 0 for no hint.
        """

    def fail(self, request_id: int) -> None:
        """Answers the request as failed."""

    def cancel_run(self, request_id: int) -> None:
        """Stops a run whose result is no longer needed, by the settings' `CancelMode`."""

    def call_dependency(self, request_id: int, timeout_ms: float) -> None:
        """Sends the dependency call of a run, which is cut off after `timeout_ms`."""

    def skip_dependency(self, request_id: int) -> None:
        """Continues a run without its dependency call."""

    def retain_key(self, request_id: int, ttl_ms: float) -> None:
        """Retains the idempotency key of a request, and its result when there is one."""

    def drop_key(self, request_id: int) -> None:
        """Drops the idempotency key of a request that has not run."""

    def replay_result(self, request_id: int) -> None:
        """Answers a retry with the result of its original, as soon as there is one."""

    def set_health(self, healthy: bool, cached: bool) -> None:
        """Sets the answer to health checks.

        Args:
            healthy: the answer.
            cached: whether checks are answered without using a core.
        """

    def report_load(self, value: float) -> None:
        """Reports a load value to callers, of the kind that the settings' `LoadFeedback` names."""

    def set_idle_timeout(self, timeout_ms: float) -> None:
        """Sets the idle time after which connections are closed."""

    def schedule_tick(self, after_ms: float) -> None:
        """Schedules a call of the controller's `on_tick`."""

    def log(self, text: str) -> None:
        """Writes a line to the log."""


class WaitAllowance(NamedTuple):
    """How long a request may wait in its pool.

    Attributes:
        fraction: the fraction of the usual wait; at 0 the request is admitted only to a free slot.
        is_retry: whether the request counts as a retry, because it is marked or by its content.
    """

    fraction: float
    is_retry: bool


class SlotQuery(NamedTuple):
    """A request for a slot.

    Attributes:
        pool: the pool of the request's class.
        is_retry: whether the request counts as a retry.
        over_quota: whether the request exceeds its tenant's rate limit.
        waiting_pools: the pools that have requests queued.
        mean_slot_ms: how long a run holds a slot on average, over all pools.
        has_capacity: whether the server may start one more run.
    """

    pool: int
    is_retry: bool
    over_quota: bool
    waiting_pools: Collection[int]
    mean_slot_ms: float
    has_capacity: bool


class SlotOffer(NamedTuple):
    """The pool in which a request would wait for a slot.

    Attributes:
        pool: the pool in which the request waits.
        slots: the number of slots of the pool.
        slot_ms: how long a run of the pool holds a slot on average.
        is_free: whether a slot is free now.
    """

    pool: int
    slots: float
    slot_ms: float
    is_free: bool


class Pools(Protocol):
    """The class pools as seen by a controller, which queries and notifies them.

    Attributes:
        count: the number of pools; they are numbered from 0.
    """

    count: int

    def pool_of(self, class_index: int) -> int:
        """Returns the pool of a class of requests."""

    def request_received(self, now: float, pool: int, request: IncomingRequest) -> WaitAllowance:
        """Records a request that is not a replay, and returns how long it may wait."""

    def reserve_slot(self, now: float, query: SlotQuery) -> SlotOffer:
        """Returns the pool in which a request would wait, and the pool's slots."""

    def retry_admitted(self, tenant_index: int, caller_id: int) -> None:
        """Records a retry that was queued although no slot was free."""

    def request_rejected(self, now: float, pool: int, content_digest: int) -> None:
        """Records a request that was rejected for lack of a slot."""

    def slot_taken(self, now: float, pool: int, is_start: bool) -> None:
        """Records that a run occupies a slot, at its start or after a dependency call."""

    def slot_released(self, now: float, pool: int) -> None:
        """Records that a run left its slot, at its end or for a dependency call."""

    def request_finished(self, now: float, pool: int, slot_ms: float) -> None:
        """Records how long a run that ended held a slot, without its dependency calls."""

    def tick(self, now: float, total_slots: int) -> None:
        """Updates the pools with the current time and the number of slots to allocate."""

    def next_pool(self, now: float, waiting_pools: Collection[int]) -> int | None:
        """Returns the waiting pool whose request starts next, or None if none may start one."""
