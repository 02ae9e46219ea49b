"""Named counters of messages, answers and problems."""

from collections import Counter


class Counters:
    """Counters by name; a counter that was never incremented is 0."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str) -> None:
        """Increments a counter."""
        self.counts[name] += 1

    def text(self) -> str:
        """Returns all non-zero counters as `name=count`, sorted by name and separated by spaces."""
        return " ".join(
            f"{name}={self.counts[name]}" for name in sorted(self.counts) if self.counts[name]
        )
