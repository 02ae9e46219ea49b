"""Budgets of repeated attempts: for each first try a caller may send so many repeats while places are
short.
"""

from collections.abc import Hashable


class Budget:
    """Tokens by key: first tries add a part of one, repeats take one, the burst is the most that is saved.

    Kept in two generations of a bounded size: a key that is seen goes to the young one, and when that is full
    the old one is forgotten. A key not seen for so long starts anew with one token: who makes up a new name
    for every try gains one repeat a name, and the budget over all bounds even that.
    """

    START = 1.0

    def __init__(self, ratio: float, burst: float, most: int) -> None:
        self.ratio, self.burst, self.most = ratio, burst, most
        self.start = min(self.START, burst)
        self.young: dict[Hashable, float] = {}
        self.old: dict[Hashable, float] = {}
        self.forgotten = 0

    def get(self, key: Hashable) -> float:
        tokens = self.young.get(key)
        return self.old.get(key, self.start) if tokens is None else tokens

    def put(self, key: Hashable, tokens: float) -> None:
        if key not in self.young and len(self.young) >= self.most:
            self.forgotten += sum(other not in self.young for other in self.old)
            self.old, self.young = self.young, {}
        self.young[key] = tokens

    def first(self, key: Hashable) -> None:
        tokens = self.young.get(key)
        if tokens is None:
            self.put(key, min(self.burst, self.get(key) + self.ratio))
        elif tokens < self.burst:
            self.young[key] = min(self.burst, tokens + self.ratio)

    def spend(self, key: Hashable) -> None:
        self.put(key, max(0.0, self.get(key) - 1.0))


class Budgets:
    """By caller, by tenant, and over all: a repeat needs a token of each, and takes them only if all have
    one.
    """

    WHOLE = 4.0  # bursts that may be saved over all callers: some may burst at once, not all

    def __init__(self, ratio: float, burst: float, most: int) -> None:
        self.callers, self.tenants = Budget(ratio, burst, most), Budget(ratio, burst, most)
        self.burst = burst
        self.ratio, self.whole, self.whole_most = ratio, self.WHOLE * burst, self.WHOLE * burst
        self.refused = 0

    def full(self, caller: int, tenant: int) -> bool:
        """Whether a first try adds nothing anywhere: nearly always where nobody repeats."""
        burst = self.burst
        return (
            self.callers.young.get(caller) == burst
            and self.tenants.young.get(tenant) == burst
            and self.whole >= self.whole_most
        )

    def first(self, caller: int, tenant: int) -> None:
        self.callers.first(caller)
        self.tenants.first(tenant)
        self.whole = min(self.whole_most, self.whole + self.ratio)

    def holds(self, caller: int, tenant: int) -> bool:
        """Whether one more repeat is within them; it is spent only by `spend`, once it takes a place."""
        return (
            self.whole >= 1.0
            and self.callers.get(caller) >= 1.0
            and self.tenants.get(tenant) >= 1.0
        )

    def spend(self, caller: int, tenant: int) -> None:
        self.callers.spend(caller)
        self.tenants.spend(tenant)
        self.whole = max(0.0, self.whole - 1.0)

    @property
    def forgotten(self) -> int:
        return self.callers.forgotten + self.tenants.forgotten
