"""The halt that members spread by gossip, in force before a majority has agreed on the halt."""

from typing import NamedTuple

from pumicenotch.membership.gossip import Broadcasts

HALT_KEY = "halt"  # of the halt among the membership's broadcasts


class HaltMarker(NamedTuple):
    """A halt in gossip. The marker with the highest rank replaces all others."""

    rank: int
    key: str  # "": there is no halt
    operator: str
    reason: str


class HaltGossip:
    """Reads and replaces the halt among a membership's broadcasts."""

    def __init__(self, broadcasts: Broadcasts) -> None:
        self.broadcasts = broadcasts

    def current(self) -> HaltMarker:
        """Returns the current marker, whose key is empty if there is no halt."""
        rank, key, operator, reason = self.broadcasts.values.get(HALT_KEY, (0, "", "", ""))
        return HaltMarker(rank, key, operator, reason)

    def replace(self, key: str, operator: str, reason: str) -> None:
        """Replaces the current marker by one of the next rank. An empty key ends the halt."""
        rank = self.current().rank + 1
        self.broadcasts.put(HALT_KEY, HaltMarker(rank, key, operator, reason))
