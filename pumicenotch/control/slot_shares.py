"""How the slots are split among tenants (HWCS): the compensator of the paper's input."""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterable
from itertools import accumulate, chain, repeat
from math import exp, isfinite, log
from operator import mul, sub


class SlotShares(dict[int, float]):
    """The slots of each tenant, by its index, computed when first asked for after a change.

    Each tenant has a floor; the rest is split by weight. A tenant weighs as much as the one before
    it, times the ratio that the table has for its control output. The ratio is exactly 1 where
    that rounds to 0, so only the other tenants, the uneven ones, need a multiplication.

    Attributes:
        tenant_count: the tenants of the settings, whether they send or not.
        total_slots: the slots that are split.
        floor: the slots that every tenant has.
    """

    MAX_CONTROL_OUTPUT = 6  # either way
    MAX_FLOOR = 1.0  # slots
    FLOOR_FRACTION = 0.5  # of an even split, where that comes to less
    DENSE_FRACTION = 0.25  # with more uneven tenants, weighing every tenant in turn is faster

    def __init__(self, tenant_count: int, total_slots: int) -> None:
        super().__init__()
        self.tenant_count = tenant_count
        self._uneven: list[int] = []
        self._table_rows = bytearray([self.MAX_CONTROL_OUTPUT]) * tenant_count
        self.rebuild(total_slots)

    def rebuild(self, total_slots: int) -> None:
        """Make the table from control output to weight ratio: even steps of its logarithm."""
        self.total_slots = total_slots
        self.floor = min(self.MAX_FLOOR, self.FLOOR_FRACTION * total_slots / self.tenant_count)
        widest = 0.0
        if self.tenant_count > 1:
            widest = log((total_slots - (self.tenant_count - 1) * self.floor) / self.floor)
        outputs = range(-self.MAX_CONTROL_OUTPUT, self.MAX_CONTROL_OUTPUT + 1)
        self._log_ratios = [widest * output / self.MAX_CONTROL_OUTPUT for output in outputs]
        self._ratios = list(map(exp, self._log_ratios))
        self.clear()

    def set_control_output(self, tenant_index: int, control_output: float) -> None:
        """Set a tenant's weight relative to the tenant before it."""
        row = round(control_output) + self.MAX_CONTROL_OUTPUT
        previous = self._table_rows[tenant_index]
        if row == previous:
            return
        self._table_rows[tenant_index] = row
        self.clear()
        if previous == self.MAX_CONTROL_OUTPUT:
            insort(self._uneven, tenant_index)
        elif row == self.MAX_CONTROL_OUTPUT:
            del self._uneven[bisect_left(self._uneven, tenant_index)]

    def _split(self) -> None:
        """Weigh the tenants, in their sequence: in any other the last bits of the sums differ."""
        is_dense = len(self._uneven) > self.DENSE_FRACTION * self.tenant_count
        self._first_of_weight = range(1, self.tenant_count) if is_dense else self._uneven
        rows = self._table_rows
        steps = rows[1:] if is_dense else bytes(map(rows.__getitem__, self._uneven))
        ratios = map(self._ratios.__getitem__, steps)
        self._weights = list(accumulate(ratios, mul, initial=1.0))
        total_weight = self._total_weight(is_dense)
        if not isfinite(total_weight):
            # The product of so many ratios leaves the floats: its logarithm does not.
            self._weights = _relative_weights(map(self._log_ratios.__getitem__, steps))
            total_weight = self._total_weight(is_dense)
        unreserved = self.total_slots - self.tenant_count * self.floor
        self._slots_per_weight = unreserved / total_weight

    def _total_weight(self, is_dense: bool) -> float:
        """Add up all tenants' weights: each weighs as much as the uneven one before it."""
        if is_dense:
            return sum(self._weights)
        group_ends = chain(self._uneven, (self.tenant_count,))
        group_sizes = map(sub, group_ends, chain((0,), self._uneven))
        return sum(chain.from_iterable(map(repeat, self._weights, group_sizes)))

    def __missing__(self, tenant_index: int) -> float:
        if not self:
            self._split()
        weight = self._weights[bisect_right(self._first_of_weight, tenant_index)]
        slots = self.floor + self._slots_per_weight * weight
        self[tenant_index] = slots
        return slots


def _relative_weights(log_ratios: Iterable[float]) -> list[float]:
    """Return the weights that these ratios lead to, relative to the largest of them."""
    logarithms = list(accumulate(log_ratios, initial=0.0))
    largest = max(logarithms)
    return [exp(logarithm - largest) for logarithm in logarithms]
