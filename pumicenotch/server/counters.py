"""What the program has taken in, sent and met, counted by name."""

from collections import Counter


class Counters:
    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str) -> None:
        self.counts[name] += 1

    def text(self) -> str:
        return " ".join(
            f"{name}={self.counts[name]}" for name in sorted(self.counts) if self.counts[name]
        )
