"""The queues of tenants, with what the control loop knows of each tenant."""

from pumicenotch.control.request import Request
from pumicenotch.interface import Tenant


class TenantQueue:
    """One tenant: its queued requests by pool, its runs, and its side of the control loop.

    Attributes:
        by_pool: the queued requests of each pool that has any, in the order of their sort keys.
        control_error: the last sample's error of the pair that ends with this tenant.
        control_output: the controller's output for that pair, v in the paper.
        running: how many of its requests run, calls included.
        demoted: whether it overloads the server, by the paper's overload detection.
        samples_long: for how many samples its queue has been long.
        samples_short: for how many samples it has not.
    """

    BURST_MS = 4000.0  # of its rate that may be saved: arrivals at one server come in clumps
    MIN_BURST = 4.0  # requests

    def __init__(self, rate_limit_per_s: float | None, servers: int) -> None:
        self.by_pool: dict[int, list[Request]] = {}
        self.control_error = 0.0
        self.control_output = 0.0
        self.running = 0
        self.demoted = False
        self.samples_long = 0
        self.samples_short = 0
        self._rate_per_ms = (
            rate_limit_per_s / 1000.0 / max(1, servers) if rate_limit_per_s else None
        )
        self._max_tokens = max(self.MIN_BURST, self.BURST_MS * (self._rate_per_ms or 0.0))
        self._tokens = self._max_tokens
        self._refilled_at = 0.0

    def __len__(self) -> int:
        """Return how many of its requests are queued."""
        return sum(map(len, self.by_pool.values()))

    def is_over_quota(self, now: float, takes_token: bool) -> bool:
        """Return whether it sends faster than its rate limit; else take a token if asked to."""
        if self._rate_per_ms is None:
            return False
        gained = (now - self._refilled_at) * self._rate_per_ms
        self._tokens = min(self._max_tokens, self._tokens + gained)
        self._refilled_at = now
        is_over = self._tokens < 1.0
        if takes_token and not is_over:
            self._tokens -= 1.0
        return is_over


class TenantQueues(dict[int, TenantQueue]):
    """The tenants that have sent, by index; each is made when it is first asked for."""

    def __init__(self, tenants: list[Tenant], servers: int) -> None:
        super().__init__()
        self._rate_limits = [tenant.rate_limit_per_s for tenant in tenants] or [None]
        self._servers = servers

    def __missing__(self, tenant_index: int) -> TenantQueue:
        queue = TenantQueue(self._rate_limits[tenant_index], self._servers)
        self[tenant_index] = queue
        return queue
