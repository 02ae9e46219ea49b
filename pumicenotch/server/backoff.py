"""The pause before an attempt is made again."""

from collections.abc import Callable


class Backoff:
    """Time before the next dial: doubling from the first to the longest, half of it by chance."""

    FIRST_MS, LONGEST_MS = (
        20.0,
        1000.0,
    )  # a restart shows at once, and a link long gone costs a dial a second

    def __init__(self, chance: Callable[[float, float], float]) -> None:
        self.chance, self.failures = chance, 0

    def failed(self) -> None:
        self.failures += 1

    def wait(self) -> float:
        if not self.failures:
            return 0.0
        longest = min(self.LONGEST_MS, self.FIRST_MS * 2.0 ** min(self.failures - 1, 16))
        return longest * self.chance(0.5, 1.0)

    def reset(self) -> None:
        self.failures = 0
