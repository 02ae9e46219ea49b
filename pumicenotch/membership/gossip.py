"""The data piggybacked on probes: member updates and small broadcasts of other components."""

import math

# SWIM's lambda: each update is sent at most this many times the logarithm of the group's size.
RETRANSMIT_FACTOR = 3
# Limits on the broadcasts of a group; a received pair that exceeds them is rejected.
MAX_BROADCASTS = 8
MAX_BROADCAST_KEY_LENGTH = 32

BroadcastValue = tuple[int, str, str, str]


class GossipBuffer:
    """Selects the updates to send: those sent least often first, each a limited number of times."""

    def __init__(self) -> None:
        self._transmissions: dict[str, int] = {}

    def enqueue(self, name: str) -> None:
        """Schedules a member's update for sending and resets its transmission count."""
        self._transmissions[name] = 0

    def discard(self, name: str) -> None:
        """Stops sending a member's update."""
        self._transmissions.pop(name, None)

    def clear(self) -> None:
        """Stops sending all updates, as if every member had received them."""
        self._transmissions.clear()

    def take(self, count: int, group_size: int, receiver: str) -> list[str]:
        """Returns the names whose updates are sent to `receiver` now, and counts them as sent.

        Args:
            count: The maximum number of names.
            group_size: The number of known members, this one included.
            receiver: The name of the receiving member, whose own update is left out.
        """
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(group_size + 1))
        pending = sorted(
            (sent, name)
            for name, sent in self._transmissions.items()
            if sent < limit and name != receiver
        )
        selected = [name for _, name in pending[:count]]
        for name in selected:
            self._transmissions[name] += 1
        return selected


class Broadcasts:
    """Values that are sent with every probe, by key.

    A value is a rank and three strings. Of two values with the same key, the greater one prevails.

    Attributes:
        values: The values by key, at most `MAX_BROADCASTS`.
        rejected: The number of received pairs that were malformed or exceeded a limit.
    """

    def __init__(self) -> None:
        self.values: dict[str, BroadcastValue] = {}
        self.rejected = 0

    def put(self, key: str, value: BroadcastValue) -> None:
        """Broadcasts a value of this process."""
        self.receive((key, value))

    def receive(self, item: object) -> None:
        """Validates a received (key, value) pair and stores it if its value is greater."""
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
        """Returns all (key, value) pairs, sorted by key, for a message."""
        return tuple(sorted(self.values.items()))
