"""Budgets of repeated attempts: for each first try a caller may send so many repeats while places are
short."""

from collections import OrderedDict
from collections.abc import Hashable


class Bucket:
    """Filled by first tries, emptied by repeats; it never holds more than the burst."""

    def __init__(self, tokens: float) -> None:
        self.tokens = tokens


class Budget:
    """One bucket for each key, the keys seen last kept, and one over all keys.

    A key not seen for long is forgotten and starts anew with one token: who makes up a new name for every try
    gains one repeat a name, and the bucket over all bounds even that."""

    START = 1.0

    def __init__(self, ratio: float, burst: float, most: int) -> None:
        self.ratio, self.burst, self.most = ratio, burst, most
        self.buckets: OrderedDict[Hashable, Bucket] = OrderedDict()
        self.forgotten = 0

    def bucket(self, key: Hashable) -> Bucket:
        found = self.buckets.get(key)
        if found is not None:
            self.buckets.move_to_end(key)
            return found
        if len(self.buckets) >= self.most:
            self.buckets.popitem(last=False)
            self.forgotten += 1
        found = self.buckets[key] = Bucket(min(self.START, self.burst))
        return found

    def first(self, key: Hashable) -> None:
        bucket = self.bucket(key)
        bucket.tokens = min(self.burst, bucket.tokens + self.ratio)

    def has(self, key: Hashable) -> bool:
        return self.bucket(key).tokens >= 1.0

    def spend(self, key: Hashable) -> None:
        self.bucket(key).tokens -= 1.0


class Budgets:
    """By caller, by tenant, and over all: a repeat needs a token of each, and takes them only if all have
    one."""

    ALL = "all"

    def __init__(self, ratio: float, burst: float, most: int) -> None:
        self.callers = Budget(ratio, burst, most)
        self.tenants = Budget(ratio, burst, most)
        self.whole = Budget(ratio, 4.0 * burst, 1)
        self.firsts = self.repeats = self.refused = 0

    def first(self, caller: int, tenant: int) -> None:
        self.firsts += 1
        self.callers.first(caller)
        self.tenants.first(tenant)
        self.whole.first(self.ALL)

    def repeat(self, caller: int, tenant: int) -> bool:
        """Whether the budgets still hold this repeat; it is spent only by `spend`, once it takes a place."""
        self.repeats += 1
        return self.callers.has(caller) and self.tenants.has(tenant) and self.whole.has(self.ALL)

    def spend(self, caller: int, tenant: int) -> None:
        self.callers.spend(caller)
        self.tenants.spend(tenant)
        self.whole.spend(self.ALL)

    @property
    def forgotten(self) -> int:
        return self.callers.forgotten + self.tenants.forgotten
