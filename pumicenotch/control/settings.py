"""The settings of an admission controller."""

from typing import NamedTuple

from pumicenotch.interface import CancelMode, DependencyKind, LoadFeedback, RequestClass, Tenant


class ControllerSettings(NamedTuple):
    """What a deployment's settings say of the decisions.

    Attributes:
        request_classes: the classes of requests, by index.
        tenants: the tenants, by index; with none all requests are of one.
        gauges: what the values are that come with each tick, in their order.
        cores: of this server.
        memory_kb: for requests, runs and kept idempotency keys.
        run_memory_factor: the memory of a run, as a multiple of its request's.
        key_memory_kb: what one idempotency key occupies, its result included.
        starts_cold: whether the server has yet to warm up.
        initial_speed: the fraction of its speed that a cold server starts with.
        warm_up_ms: the time from there to full speed.
        crash_load_factor: the runs on each core, at full speed, that crash the server.
        drain_grace_ms: the time from the notice to drain in which callers still send.
        servers: how many of them share the tenants' traffic.
        callers: how many of them send to this server.
        retry_after_supported: whether callers heed the wait that a rejection names.
        max_retry_after_ms: the longest such wait.
        cancel_mode: what the worker pool can do with a run that nobody waits for.
        load_feedback: the value by which callers are told how much this server can take.
        dependency_kind: who stands behind the dependency.
        dependency_quota: how many calls to a shared dependency this server may have open.
        dependency_window_ms: the time over which that quota holds on the mean.
        dependency_linger_ms: how long a call that timed out still occupies the dependency.
        idle_timeout_ms: after which idle connections are closed.
        listed_by_health: whether a server that is unhealthy leaves the list of endpoints.
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
