"""Retry budgets: token buckets that bound retries to a fraction of first attempts."""

from collections.abc import Hashable

# An unknown key may retry once.
INITIAL_TOKENS = 1.0
# The total budget of all callers, in bursts of one caller: a few may burst at once, but not all.
MAX_TOTAL_BURSTS = 4.0


class RetryBudget:
    """Tokens by key: a first attempt deposits a fraction of a token, a retry withdraws one.

    Keys are kept in two generations of bounded size. A used key moves to the recent generation;
    when that is full, the previous one is dropped. A dropped key starts again with the initial
    tokens, so a caller that uses a new key for each attempt gains one retry per key. The total
    budget of `RetryBudgets` bounds these retries.

    Attributes:
        recent: the tokens of the keys in the recent generation.
        previous: the tokens of the keys in the previous generation.
        dropped_keys: the number of keys dropped.
    """

    def __init__(self, ratio: float, burst: float, max_keys: int) -> None:
        """Creates a budget without keys.

        Args:
            ratio: the tokens that a first attempt deposits.
            burst: the maximum number of tokens of a key.
            max_keys: the maximum number of keys in a generation.
        """
        self.recent: dict[Hashable, float] = {}
        self.previous: dict[Hashable, float] = {}
        self.dropped_keys = 0
        self._ratio = ratio
        self._burst = burst
        self._max_keys = max_keys
        self._initial_tokens = min(INITIAL_TOKENS, burst)

    def tokens_of(self, key: Hashable) -> float:
        """Returns the number of tokens of a key."""
        tokens = self.recent.get(key)
        return self.previous.get(key, self._initial_tokens) if tokens is None else tokens

    def _set_tokens(self, key: Hashable, tokens: float) -> None:
        if key not in self.recent and len(self.recent) >= self._max_keys:
            self.dropped_keys += sum(other not in self.recent for other in self.previous)
            self.previous = self.recent
            self.recent = {}
        self.recent[key] = tokens

    def deposit(self, key: Hashable) -> None:
        """Counts a first attempt of a key."""
        tokens = self.recent.get(key)
        if tokens is None:
            self._set_tokens(key, min(self._burst, self.tokens_of(key) + self._ratio))
        elif tokens < self._burst:
            self.recent[key] = min(self._burst, tokens + self._ratio)

    def withdraw(self, key: Hashable) -> None:
        """Counts a retry of a key."""
        self._set_tokens(key, max(0.0, self.tokens_of(key) - 1.0))


class RetryBudgets:
    """Budgets by caller, by tenant and in total: a retry needs a token from each.

    Attributes:
        callers: the budget by caller.
        tenants: the budget by tenant.
        over_budget_retries: the number of retries that were over their budgets.
    """

    def __init__(self, ratio: float, burst: float, max_keys: int) -> None:
        """Creates the budgets, with the same arguments as `RetryBudget`."""
        self.callers = RetryBudget(ratio, burst, max_keys)
        self.tenants = RetryBudget(ratio, burst, max_keys)
        self.over_budget_retries = 0
        self._ratio = ratio
        self._burst = burst
        self._max_total_tokens = MAX_TOTAL_BURSTS * burst
        self._total_tokens = self._max_total_tokens

    def is_full(self, caller_id: int, tenant_index: int) -> bool:
        """Returns whether a deposit has no effect, as is usual when there are no retries."""
        return (
            self.callers.recent.get(caller_id) == self._burst
            and self.tenants.recent.get(tenant_index) == self._burst
            and self._total_tokens >= self._max_total_tokens
        )

    def deposit(self, caller_id: int, tenant_index: int) -> None:
        """Counts a first attempt."""
        self.callers.deposit(caller_id)
        self.tenants.deposit(tenant_index)
        self._total_tokens = min(self._max_total_tokens, self._total_tokens + self._ratio)

    def allows(self, caller_id: int, tenant_index: int) -> bool:
        """Returns whether one more retry is within the budgets.

        The check withdraws no token; `withdraw` does when the retry is admitted.
        """
        return (
            self._total_tokens >= 1.0
            and self.callers.tokens_of(caller_id) >= 1.0
            and self.tenants.tokens_of(tenant_index) >= 1.0
        )

    def withdraw(self, caller_id: int, tenant_index: int) -> None:
        """Counts a retry that was admitted."""
        self.callers.withdraw(caller_id)
        self.tenants.withdraw(tenant_index)
        self._total_tokens = max(0.0, self._total_tokens - 1.0)

    @property
    def dropped_keys(self) -> int:
        """The number of callers and tenants that were dropped to bound the memory."""
        return self.callers.dropped_keys + self.tenants.dropped_keys
