"""The queues of tenants, and the state that the fair scheduler keeps for each tenant."""

from pumicenotch.control.request import Request
from pumicenotch.interface import Tenant


class TenantQueue:
    """The state of one tenant: queued requests, running requests, control loop and rate limit.

    Attributes:
        by_pool: the queued requests of each pool that has any, in the order of their sort keys.
        control_error: the last sample's error of the pair of this tenant and the one before it.
        control_output: the PI controller's output for that pair, v in the paper.
        running: the number of running requests, those in dependency calls included.
        demoted: whether the tenant overloads the server, by the paper's overload detection.
        samples_long: the number of consecutive samples with a long queue.
        samples_short: the number of consecutive samples without one.
    """

    # Token bucket depth, as time at the rate limit. Arrivals at a single server are bursty.
    BURST_MS = 4000.0
    # The minimum token bucket depth, in requests.
    MIN_BURST = 4.0

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
        """Returns the number of queued requests in all pools."""
        return sum(map(len, self.by_pool.values()))

    def is_over_quota(self, now: float, takes_token: bool) -> bool:
        """Returns whether the tenant exceeds its rate limit.

        Args:
            now: the current time, ms.
            takes_token: whether to take a token if one is available.
        """
        if self._rate_per_ms is None:
            return False
        new_tokens = (now - self._refilled_at) * self._rate_per_ms
        self._tokens = min(self._max_tokens, self._tokens + new_tokens)
        self._refilled_at = now
        is_over = self._tokens < 1.0
        if takes_token and not is_over:
            self._tokens -= 1.0
        return is_over


class TenantQueues(dict[int, TenantQueue]):
    """The queues of tenants, by index; a queue is created on first access.

    Tenants that never send cost no memory.
    """

    def __init__(self, tenants: list[Tenant], servers: int) -> None:
        super().__init__()
        self._rate_limits = [tenant.rate_limit_per_s for tenant in tenants] or [None]
        self._servers = servers

    def __missing__(self, tenant_index: int) -> TenantQueue:
        queue = TenantQueue(self._rate_limits[tenant_index], self._servers)
        self[tenant_index] = queue
        return queue
