"""Splits the slots among tenants: the input compensator of the paper's scheduler (HWCS)."""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterable
from itertools import accumulate, chain, repeat
from math import exp, isfinite, log
from operator import mul, sub


class SlotShares(dict[int, float]):
    """The slots of each tenant, by its index, computed on the first access after a change.

    Each tenant has a floor; the remaining slots are split by weight. A tenant's weight is that of
    the tenant before it, times the ratio that a table gives for its control output. The ratio is
    exactly 1 if the output rounds to 0, so only the other tenants, called uneven, need a
    multiplication.

    Attributes:
        tenant_count: the number of configured tenants, whether they send or not.
        total_slots: the number of slots to split.
        floor: the number of slots reserved for every tenant.
    """

    # The bound of the control output's absolute value.
    MAX_CONTROL_OUTPUT = 6
    # The largest floor, in slots.
    MAX_FLOOR = 1.0
    # The floor as a fraction of an even split, if that is lower than `MAX_FLOOR`.
    FLOOR_FRACTION = 0.5
    # With a larger fraction of uneven tenants, computing all tenants' weights in turn is faster.
    DENSE_FRACTION = 0.25

    def __init__(self, tenant_count: int, total_slots: int) -> None:
        super().__init__()
        self.tenant_count = tenant_count
        self._uneven_tenants: list[int] = []
        self._table_rows = bytearray([self.MAX_CONTROL_OUTPUT]) * tenant_count
        self.rebuild(total_slots)

    def rebuild(self, total_slots: int) -> None:
        """Builds the table from control output to weight ratio, in even steps of its logarithm."""
        self.total_slots = total_slots
        self.floor = min(self.MAX_FLOOR, self.FLOOR_FRACTION * total_slots / self.tenant_count)
        max_log_ratio = 0.0
        if self.tenant_count > 1:
            max_log_ratio = log((total_slots - (self.tenant_count - 1) * self.floor) / self.floor)
        outputs = range(-self.MAX_CONTROL_OUTPUT, self.MAX_CONTROL_OUTPUT + 1)
        self._log_ratios = [max_log_ratio * output / self.MAX_CONTROL_OUTPUT for output in outputs]
        self._ratios = list(map(exp, self._log_ratios))
        self.clear()

    def set_control_output(self, tenant_index: int, control_output: float) -> None:
        """Sets the control output of a tenant: its weight relative to the tenant before it."""
        row = round(control_output) + self.MAX_CONTROL_OUTPUT
        previous_row = self._table_rows[tenant_index]
        if row == previous_row:
            return
        self._table_rows[tenant_index] = row
        self.clear()
        if previous_row == self.MAX_CONTROL_OUTPUT:
            insort(self._uneven_tenants, tenant_index)
        elif row == self.MAX_CONTROL_OUTPUT:
            del self._uneven_tenants[bisect_left(self._uneven_tenants, tenant_index)]

    def _split(self) -> None:
        """Computes the weights in the order of tenants; another order changes sums' last bits."""
        is_dense = len(self._uneven_tenants) > self.DENSE_FRACTION * self.tenant_count
        self._weight_starts = range(1, self.tenant_count) if is_dense else self._uneven_tenants
        rows = self._table_rows
        ratio_rows = rows[1:] if is_dense else bytes(map(rows.__getitem__, self._uneven_tenants))
        ratios = map(self._ratios.__getitem__, ratio_rows)
        self._weights = list(accumulate(ratios, mul, initial=1.0))
        total_weight = self._total_weight(is_dense)
        if not isfinite(total_weight):
            # With many tenants, the product of ratios overflows a float; its logarithm does not.
            self._weights = _relative_weights(map(self._log_ratios.__getitem__, ratio_rows))
            total_weight = self._total_weight(is_dense)
        unreserved = self.total_slots - self.tenant_count * self.floor
        self._slots_per_weight = unreserved / total_weight

    def _total_weight(self, is_dense: bool) -> float:
        """Returns the sum of all weights; other tenants have the weight of the last uneven one."""
        if is_dense:
            return sum(self._weights)
        group_ends = chain(self._uneven_tenants, (self.tenant_count,))
        group_sizes = map(sub, group_ends, chain((0,), self._uneven_tenants))
        return sum(chain.from_iterable(map(repeat, self._weights, group_sizes)))

    def __missing__(self, tenant_index: int) -> float:
        if not self:
            self._split()
        weight = self._weights[bisect_right(self._weight_starts, tenant_index)]
        slots = self.floor + self._slots_per_weight * weight
        self[tenant_index] = slots
        return slots


def _relative_weights(log_ratios: Iterable[float]) -> list[float]:
    """Returns the cumulative products of the ratios, divided by the largest product."""
    logarithms = list(accumulate(log_ratios, initial=0.0))
    largest = max(logarithms)
    return [exp(logarithm - largest) for logarithm in logarithms]
