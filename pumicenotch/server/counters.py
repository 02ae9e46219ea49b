"""Named counters of what the program has received, sent and met."""

from collections import Counter


class Counters:
    """Counts by name; a name that was never counted is 0."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str) -> None:
        """Counts one more of that name."""
        self.counts[name] += 1

    def text(self) -> str:
        """Returns all counters that are not 0 as `name=count`, sorted by name."""
        return " ".join(
            f"{name}={self.counts[name]}" for name in sorted(self.counts) if self.counts[name]
        )
