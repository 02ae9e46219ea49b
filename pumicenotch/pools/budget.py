"""Budgets of repeated attempts: for each first try a caller may send so many repeats while places are
short."""


class Budget:
    """Tokens by key: first tries add a part of one, repeats take one, the burst is the most that is saved.

    The keys seen last are kept. One not seen for long is forgotten and starts anew with one token: who makes
    up a new name for every try gains one repeat a name, and the budget over all bounds even that."""

    START = 1.0

    def __init__(self, ratio: float, burst: float, most: int) -> None:
        self.ratio, self.burst, self.most = ratio, burst, most
        self.start = min(self.START, burst)
        self.tokens: dict[int, float] = {}  # the key seen last at the end
        self.forgotten = 0

    def first(self, key: int) -> None:
        tokens = self.tokens.pop(key, -1.0)
        if tokens < 0.0:
            tokens = self.start
            self.make_room()
        self.tokens[key] = min(self.burst, tokens + self.ratio)

    def has(self, key: int) -> bool:
        return self.tokens.get(key, self.start) >= 1.0

    def spend(self, key: int) -> None:
        tokens = self.tokens.pop(key, -1.0)
        if tokens < 0.0:
            tokens = self.start
            self.make_room()
        self.tokens[key] = max(0.0, tokens - 1.0)

    def make_room(self) -> None:
        if len(self.tokens) >= self.most:
            del self.tokens[next(iter(self.tokens))]
            self.forgotten += 1


class Budgets:
    """By caller, by tenant, and over all: a repeat needs a token of each, and takes them only if all have
    one."""

    WHOLE = 4.0  # bursts that may be saved over all callers: some may burst at once, not all

    def __init__(self, ratio: float, burst: float, most: int) -> None:
        self.callers, self.tenants = Budget(ratio, burst, most), Budget(ratio, burst, most)
        self.ratio, self.whole, self.whole_most = ratio, self.WHOLE * burst, self.WHOLE * burst
        self.refused = 0

    def first(self, caller: int, tenant: int) -> None:
        self.callers.first(caller)
        self.tenants.first(tenant)
        self.whole = min(self.whole_most, self.whole + self.ratio)

    def repeat(self, caller: int, tenant: int) -> bool:
        """Whether the budgets hold this repeat still; it is spent only by `spend`, once it takes a place."""
        return self.whole >= 1.0 and self.callers.has(caller) and self.tenants.has(tenant)

    def spend(self, caller: int, tenant: int) -> None:
        self.callers.spend(caller)
        self.tenants.spend(tenant)
        self.whole = max(0.0, self.whole - 1.0)

    @property
    def forgotten(self) -> int:
        return self.callers.forgotten + self.tenants.forgotten
