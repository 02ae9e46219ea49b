"""The settings of an admission controller."""

from typing import NamedTuple

from pumicenotch.interface import CancelMode, DependencyKind, LoadFeedback, RequestClass, Tenant


class ControllerSettings(NamedTuple):
    """The settings of a deployment that affect the controller's decisions.

    Attributes:
        request_classes: the request classes, by index.
        tenants: the tenants, by index; if empty, all requests belong to one tenant.
        gauges: the names of the values that come with each tick, in their order.
        cores: the number of cores of this server.
        memory_kb: the memory for requests, runs and retained idempotency keys.
        run_memory_factor: the memory of a run, as a multiple of the memory of its request.
        key_memory_kb: the memory of one idempotency key, its result included.
        starts_cold: whether the server still has to warm up.
        initial_speed: the speed of a cold server, as a fraction of its full speed.
        warm_up_ms: the time in which a cold server reaches full speed.
        crash_load_factor: the number of runs per core, at full speed, that crash the server.
        drain_grace_ms: how long callers may keep sending after the notice to drain.
        servers: the number of servers that share the tenants' traffic.
        callers: the number of callers that send to this server.
        retry_after_supported: whether callers obey the retry delay of a rejection.
        max_retry_after_ms: the longest retry delay.
        cancel_mode: how the worker pool can stop a run whose result is no longer needed.
        load_feedback: the kind of load value that is reported to callers.
        dependency_kind: what serves the dependency calls.
        dependency_quota: how many calls to a shared dependency this server may have open.
        dependency_window_ms: the window over which the mean of open calls must meet the quota.
        dependency_linger_ms: how long a call that timed out still occupies the dependency.
        idle_timeout_ms: the idle time after which connections are closed.
        listed_by_health: whether an unhealthy server leaves the list of endpoints.
    """

    request_classes: list[RequestClass]
    tenants: list[Tenant]
    gauges: list[str]
    cores: int = 1
    memory_kb: float = float("inf")
    run_memory_factor: float = 1.0
    key_memory_kb: float = 0.0
    starts_cold: bool = False
    initial_speed: float = 1.0
    warm_up_ms: float = 0.0
    crash_load_factor: float = 1.0
    drain_grace_ms: float = 0.0
    servers: int = 1
    callers: int = 1
    retry_after_supported: bool = False
    max_retry_after_ms: float = 0.0
    cancel_mode: CancelMode = CancelMode.NONE
    load_feedback: LoadFeedback = LoadFeedback.NONE
    dependency_kind: DependencyKind = DependencyKind.NONE
    dependency_quota: float = 1.0
    dependency_window_ms: float = 0.0
    dependency_linger_ms: float = 0.0
    idle_timeout_ms: float = 0.0
    listed_by_health: bool = False
