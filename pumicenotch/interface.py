"""The types shared by the admission controller and its carriers.

No decision, default or state lives here. Times and spans are milliseconds.
"""

from collections.abc import Collection
from enum import Enum, auto
from typing import NamedTuple, Protocol


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = auto()  # as often as wanted
    KEYED = auto()  # once for each idempotency key
    NONE = auto()  # once


class CancelMode(Enum):
    """What the worker pool can do with a run that nobody waits for."""

    NONE = auto()
    KILL = auto()
    SUSPEND = auto()


class LoadFeedback(Enum):
    """The value by which a server tells its callers how much it can take."""

    NONE = auto()
    MIN_PRIORITY = auto()  # 0 to 1: the least priority that it admits
    TOKENS = auto()  # how many requests each caller may have here
    WEIGHT = auto()  # 0 to 1: this server's weight in load balancing


class DependencyKind(Enum):
    """Who stands behind the dependency that runs call."""

    NONE = auto()
    SHARED = auto()  # all servers call it, and each has a quota of it
    NEXT_TIER = auto()  # it has admission control of its own


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


class RequestState(Enum):
    """How far a request is."""

    QUEUED = auto()
    AWAITING_ORIGINAL = auto()  # a retry of a request that is still queued
    REPLAYING = auto()  # a retry that is answered with the original's result
    RUNNING = auto()
    AWAITING_DEPENDENCY = auto()  # off the cores, while its call is open
    FINISHED = auto()


class RequestClass(NamedTuple):
    """What the settings say about one class of requests.

    Attributes:
        latency_objective_ms: the time from arrival within which an answer has its full value.
        objective_per_work: added to the objective for each unit of a request's estimated work.
        timeout_ms: the time from arrival after which no answer is accepted.
        idempotency: whether requests may be executed more than once.
        idempotency_window_ms: the time from arrival in which retries by key may come.
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
    """What the settings say about one tenant; without a rate limit no request is over quota."""

    quota: float
    rate_limit_per_s: float | None


class IncomingRequest(NamedTuple):
    """A request as its carrier has read it.

    Attributes:
        request_id: unique among all requests of one controller.
        class_index: the index of its class in the settings.
        tenant_index: the index of its tenant in the settings; 0 stands for an unknown one.
        waited_ms: how long it had arrived before it was read.
        expires_at: when its caller gives up, if that is known.
        estimated_work: the caller's estimate of its work, if there is one.
        memory_kb: what it occupies before it runs.
        original_id: the request that it retries by the same idempotency key, if there is one.
        caller_id: the caller that sent it; 0 if unknown.
        is_marked_retry: whether its caller marked it as a retry.
        content_digest: equal for requests with the same content; 0 if unknown.
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


class Actions(Protocol):
    """What a controller asks of its carrier, all at the time of the event that it handles."""

    def start(self, request_id: int) -> None:
        """Run the request, or resume it after `cancel_run` suspended it."""

    def reject(self, request_id: int, do_not_retry: bool, retry_after_ms: float) -> None:
        """Answer a request that has not run; `do_not_retry` asks not to try other servers."""

    def fail(self, request_id: int) -> None:
        """Answer the request as failed."""

    def cancel_run(self, request_id: int) -> None:
        """Stop a run that nobody waits for, as the settings' `CancelMode` says."""

    def call_dependency(self, request_id: int, timeout_ms: float) -> None:
        """Make the call that the run waits for."""

    def skip_dependency(self, request_id: int) -> None:
        """Let the run go on without its call."""

    def retain_key(self, request_id: int, ttl_ms: float) -> None:
        """Keep the request's idempotency key, and its result once it has one."""

    def drop_key(self, request_id: int) -> None:
        """Forget the idempotency key of a request that has not run."""

    def replay_result(self, request_id: int) -> None:
        """Answer a retry with the result of its original, as soon as that has one."""

    def set_health(self, healthy: bool, cached: bool) -> None:
        """Set the answer to health checks; `cached` answers them without touching a core."""

    def report_load(self, value: float) -> None:
        """Tell callers the value of the settings' `LoadFeedback`."""

    def set_idle_timeout(self, timeout_ms: float) -> None:
        """Close connections that idle for longer."""

    def schedule_tick(self, after_ms: float) -> None:
        """Call the controller's `on_tick` after that time."""

    def log(self, text: str) -> None:
        """Write a line to the log."""


class WaitAllowance(NamedTuple):
    """How long a request may wait, by its pool's rules.

    Attributes:
        fraction: of the usual wait; at 0 the request is admitted only where a slot is free.
        is_retry: whether the request is taken for a retry, marked or by its content.
    """

    fraction: float
    is_retry: bool


class SlotQuery(NamedTuple):
    """A request that wants a slot.

    Attributes:
        pool: the pool of the request's class.
        is_retry: whether the request is taken for a retry.
        over_quota: whether it is beyond its tenant's rate limit.
        waiting_pools: the pools that have requests queued.
        mean_slot_ms: how long a slot is held on the mean over all pools.
        has_capacity: whether the server may start one more run.
    """

    pool: int
    is_retry: bool
    over_quota: bool
    waiting_pools: Collection[int]
    mean_slot_ms: float
    has_capacity: bool


class SlotOffer(NamedTuple):
    """Where a request would wait for a slot.

    Attributes:
        pool: the pool in which it waits.
        slots: how many slots that pool has.
        slot_ms: how long each of them is held.
        is_free: whether one of them is free now.
    """

    pool: int
    slots: float
    slot_ms: float
    is_free: bool


class Pools(Protocol):
    """What a controller asks of class pools, and what it notifies them of. Pools count from 0."""

    count: int

    def pool_of(self, class_index: int) -> int:
        """Return the pool of a class of requests."""

    def request_received(self, now: float, pool: int, request: IncomingRequest) -> WaitAllowance:
        """Notify of a request that is no replay, and return how long it may wait."""

    def reserve_slot(self, now: float, query: SlotQuery) -> SlotOffer:
        """Return where such a request would wait."""

    def retry_admitted(self, tenant_index: int, caller_id: int) -> None:
        """Notify of a retry that was queued though no slot was free."""

    def request_rejected(self, now: float, pool: int, content_digest: int) -> None:
        """Notify of a request that was rejected for want of a slot."""

    def slot_taken(self, now: float, pool: int, is_start: bool) -> None:
        """Notify of a run that came onto the cores: at its start, or back from a call."""

    def slot_released(self, now: float, pool: int) -> None:
        """Notify of a run that left the cores: at its end, or for a call."""

    def request_finished(self, now: float, pool: int, slot_ms: float) -> None:
        """Notify of a run that ended, and of its time on the cores without calls."""

    def tick(self, now: float, total_slots: int) -> None:
        """Notify of the time and of the slots that there are to divide."""

    def next_pool(self, now: float, waiting_pools: Collection[int]) -> int | None:
        """Return the pool whose request starts next, of those that have one queued."""
