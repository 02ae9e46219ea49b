"""What is piggybacked on probes: updates of members, and small broadcasts of other parts."""

import math

# Each update is sent so many times the logarithm of the group's size: SWIM's lambda.
RETRANSMIT_FACTOR = 3
MAX_BROADCASTS = 8
MAX_BROADCAST_KEY_LENGTH = 32

BroadcastValue = tuple[int, str, str, str]


class GossipBuffer:
    """Counts how often each member's update was sent: the least sent go first."""

    def __init__(self) -> None:
        self._transmissions: dict[str, int] = {}

    def enqueue(self, name: str) -> None:
        """Send that member's update from now on as a new one."""
        self._transmissions[name] = 0

    def discard(self, name: str) -> None:
        """Send that member's update no more."""
        self._transmissions.pop(name, None)

    def clear(self) -> None:
        """Treat every update as known to all."""
        self._transmissions.clear()

    def take(self, count: int, group_size: int, receiver: str) -> list[str]:
        """Return the names whose updates go to `receiver` now, and count them as sent.

        Args:
            count: how many at most.
            group_size: the number of known members, this one included.
            receiver: it is not sent what is known of itself.
        """
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(group_size + 1))
        pending = sorted(
            (sent, name)
            for name, sent in self._transmissions.items()
            if sent < limit and name != receiver
        )
        chosen = [name for _, name in pending[:count]]
        for name in chosen:
            self._transmissions[name] += 1
        return chosen


class Broadcasts:
    """Values that travel with every probe, by key.

    A value is a rank and three texts. Of two values under one key the greater replaces the other.
    """

    def __init__(self) -> None:
        self.values: dict[str, BroadcastValue] = {}
        self.rejected = 0  # received values that were malformed or too many

    def put(self, key: str, value: BroadcastValue) -> None:
        """Spread a value of this process."""
        self.receive((key, value))

    def receive(self, item: object) -> None:
        """Take in a (key, value) pair as it came."""
        match item:
            case [str(key), [int(rank), str(first), str(second), str(third)]] if self._accepts_key(
                key
            ):
                value = (rank, first, second, third)
                if key not in self.values or value > self.values[key]:
                    self.values[key] = value
            case _:
                self.rejected += 1

    def _accepts_key(self, key: str) -> bool:
        if len(key) > MAX_BROADCAST_KEY_LENGTH:
            return False
        return key in self.values or len(self.values) < MAX_BROADCASTS

    def payload(self) -> tuple[object, ...]:
        """Return all pairs as a message carries them."""
        return tuple(sorted(self.values.items()))
