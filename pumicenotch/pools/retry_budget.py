"""Retry budgets: each first attempt allows a fraction of a retry while slots are short."""

from collections.abc import Hashable

# A key that is not known may retry once.
INITIAL_TOKENS = 1.0
# All callers together may save up so many bursts: some of them may burst at once, not all.
TOTAL_BURSTS = 4.0


class RetryBudget:
    """Tokens by key: a first attempt deposits a fraction of one, a retry withdraws one.

    Keys are kept in two generations of bounded size. A key that is used moves to the recent one;
    when that is full, the previous one is dropped. A key that was dropped starts anew, so whoever
    invents a new key for each attempt gains one retry a key; the budget over all keys bounds that.
    """

    def __init__(self, ratio: float, burst: float, max_keys: int) -> None:
        """Create a budget without keys.

        Args:
            ratio: tokens that a first attempt deposits.
            burst: the most tokens that a key can save up.
            max_keys: how many keys a generation holds.
        """
        self.recent: dict[Hashable, float] = {}
        self.previous: dict[Hashable, float] = {}
        self.dropped_keys = 0
        self._ratio = ratio
        self._burst = burst
        self._max_keys = max_keys
        self._initial_tokens = min(INITIAL_TOKENS, burst)

    def tokens_of(self, key: Hashable) -> float:
        """Return how many tokens a key has."""
        tokens = self.recent.get(key)
        return self.previous.get(key, self._initial_tokens) if tokens is None else tokens

    def _set_tokens(self, key: Hashable, tokens: float) -> None:
        if key not in self.recent and len(self.recent) >= self._max_keys:
            self.dropped_keys += sum(other not in self.recent for other in self.previous)
            self.previous = self.recent
            self.recent = {}
        self.recent[key] = tokens

    def deposit(self, key: Hashable) -> None:
        """Count a first attempt."""
        tokens = self.recent.get(key)
        if tokens is None:
            self._set_tokens(key, min(self._burst, self.tokens_of(key) + self._ratio))
        elif tokens < self._burst:
            self.recent[key] = min(self._burst, tokens + self._ratio)

    def withdraw(self, key: Hashable) -> None:
        """Count a retry."""
        self._set_tokens(key, max(0.0, self.tokens_of(key) - 1.0))


class RetryBudgets:
    """Budgets by caller, by tenant and over all: a retry needs a token of each."""

    def __init__(self, ratio: float, burst: float, max_keys: int) -> None:
        """Create budgets, all of them with the same arguments as `RetryBudget`."""
        self.callers = RetryBudget(ratio, burst, max_keys)
        self.tenants = RetryBudget(ratio, burst, max_keys)
        self.exceeded = 0  # retries beyond their budgets
        self._ratio = ratio
        self._burst = burst
        self._max_total_tokens = TOTAL_BURSTS * burst
        self._total_tokens = self._max_total_tokens

    def is_full(self, caller_id: int, tenant_index: int) -> bool:
        """Whether a first attempt adds nothing: nearly always so where nobody retries."""
        return (
            self.callers.recent.get(caller_id) == self._burst
            and self.tenants.recent.get(tenant_index) == self._burst
            and self._total_tokens >= self._max_total_tokens
        )

    def deposit(self, caller_id: int, tenant_index: int) -> None:
        """Count a first attempt."""
        self.callers.deposit(caller_id)
        self.tenants.deposit(tenant_index)
        self._total_tokens = min(self._max_total_tokens, self._total_tokens + self._ratio)

    def allows(self, caller_id: int, tenant_index: int) -> bool:
        """Whether one more retry is within the budgets. It is withdrawn once it takes a slot."""
        return (
            self._total_tokens >= 1.0
            and self.callers.tokens_of(caller_id) >= 1.0
            and self.tenants.tokens_of(tenant_index) >= 1.0
        )

    def withdraw(self, caller_id: int, tenant_index: int) -> None:
        """Count a retry that was admitted."""
        self.callers.withdraw(caller_id)
        self.tenants.withdraw(tenant_index)
        self._total_tokens = max(0.0, self._total_tokens - 1.0)

    @property
    def dropped_keys(self) -> int:
        """Callers and tenants for which there was no memory."""
        return self.callers.dropped_keys + self.tenants.dropped_keys
