"""The halt that members gossip, so that it is in force before a majority has agreed on it."""

from typing import NamedTuple

from pumicenotch.membership.gossip import Broadcasts

HALT_KEY = "halt"  # among the membership's broadcasts


class HaltMarker(NamedTuple):
    """A halt as members gossip it; the highest rank is in force."""

    rank: int
    key: str  # "": there is no halt
    operator: str
    reason: str


class HaltGossip:
    """Reads and replaces the halt among a membership's broadcasts."""

    def __init__(self, broadcasts: Broadcasts) -> None:
        self.broadcasts = broadcasts

    def current(self) -> HaltMarker:
        """Returns the halt that members gossip."""
        rank, key, operator, reason = self.broadcasts.values.get(HALT_KEY, (0, "", "", ""))
        return HaltMarker(rank, key, operator, reason)

    def replace(self, key: str, operator: str, reason: str) -> None:
        """Has members gossip this halt in place of the last one; an empty key: there is none."""
        rank = self.current().rank + 1
        self.broadcasts.put(HALT_KEY, HaltMarker(rank, key, operator, reason))
