"""Curves through measured points, and how well each predicts a size that it has not seen."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import numpy as np

Curve = Callable[[np.ndarray], np.ndarray]
CURVES: dict[str, Curve] = {  # from the simplest: of two that fit alike the earlier is taken
    "constant": lambda n: np.zeros_like(n),
    "inverse": lambda n: 1.0 / n,
    "log n": lambda n: np.log2(np.maximum(n, 1.0)),
    "linear": lambda n: n,
    "n log n": lambda n: n * np.log2(np.maximum(n, 2.0)),
    "n squared": lambda n: n * n,
}
FITS_ALIKE = 1.15  # times the best residual: the simpler curve is taken
FITS_WELL = 0.02  # a residual up to this needs no better curve
IRREGULAR = 0.25  # a residual above this: no curve describes the points
POINTS_LEAST = 5  # of a slope


@dataclass(frozen=True)
class Fit:
    """value = base + slope * curve(n), and its relative residual."""

    shape: str
    base: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        curve = CURVES[self.shape](np.array([float(size)]))[0]
        return float(max(0.0, self.base + self.slope * curve))

    @property
    def name(self) -> str:
        return self.shape if self.residual <= IRREGULAR else f"irregular (nearest: {self.shape})"


@dataclass(frozen=True)
class Trial:
    """A fit of all sizes but the largest, and what it makes of the largest."""

    size: float
    measured: float
    predicted: float

    @property
    def error(self) -> float:
        """Relative to the measured value; positive: predicted too much."""
        if self.measured == 0.0:
            return 0.0 if self.predicted == 0.0 else float("inf")
        return self.predicted / self.measured - 1.0


def solved(shape: str, sizes: np.ndarray, values: np.ndarray) -> Fit:
    """Least squares of the relative errors, so that small sizes count as much as large ones."""
    scale = float(np.max(np.abs(values))) or 1.0
    weights = 1.0 / np.maximum(np.abs(values), 1e-6 * scale)
    ones, curve = np.ones_like(sizes), CURVES[shape](sizes)
    columns = [ones] if shape == "constant" else [ones, curve]
    answer = np.linalg.lstsq(
        np.stack(columns, axis=1) * weights[:, None], values * weights, rcond=None
    )[0]
    base, slope = float(answer[0]), float(answer[1]) if len(answer) > 1 else 0.0
    if base < 0.0 and shape != "constant":  # nothing costs less than nothing at size 0
        base = 0.0
        slope = float(np.sum(curve * values * weights**2) / np.sum((curve * weights) ** 2))
    residual = float(np.sqrt(np.mean(((base + slope * curve - values) * weights) ** 2)))
    return Fit(shape, base, slope, residual)


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """The simplest curve that fits about as well as the best; none may fall where it is to grow."""
    if len(sizes) != len(values) or not sizes:
        raise ValueError("as many values as sizes are wanted, and one at the least")
    n, v = np.array(sizes, dtype=float), np.array(values, dtype=float)
    found = [solved(shape, n, v) for shape in CURVES if shape == "constant" or len(sizes) > 2]
    found = [each for each in found if each.slope >= 0.0]
    best = min(each.residual for each in found)
    bound = max(FITS_WELL, FITS_ALIKE * best)
    return next(each for each in found if each.residual <= bound)


def tried(sizes: Sequence[float], values: Sequence[float]) -> Trial:
    """Predicts the largest size from the others."""
    order = sorted(range(len(sizes)), key=lambda at: sizes[at])
    *rest, largest = order
    made = fit([sizes[at] for at in rest], [values[at] for at in rest])
    return Trial(sizes[largest], values[largest], made.at(sizes[largest]))
