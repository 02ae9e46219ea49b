"""The router's side of one task: which nodes it goes to, one after the other, and what its caller is told.

A walk has exactly one end, whatever the nodes do. It never sends a fingerprinted task to be run before every
former home has sworn it off, and never sends a task again that may have run: a fingerprinted one only to its
home, which knows it.
"""

from enum import Enum, auto
from typing import NamedTuple

from pumicenotch.cells.fence import Role, Verdict
from pumicenotch.cells.map import CellMap, Homes
from pumicenotch.interface import Idempotency


class Said(Enum):
    """What came of sending it to a node."""

    SERVED = auto()
    REJECTED = auto()  # unrun
    FAILED = auto()
    CLEAR = auto()
    OLD_MAP = auto()
    NO_WORD = auto()
    REFUSED = auto()  # no connection: it never arrived
    BROKEN = auto()  # the connection ended without an answer: it may have run


SAYS = {
    Verdict.CLEAR: Said.CLEAR,
    Verdict.OLD_MAP: Said.OLD_MAP,
    Verdict.NO_WORD: Said.NO_WORD,
}


class Send(NamedTuple):
    node: str
    role: Role
    epoch: int


class End(NamedTuple):
    """The one answer: `served`, `rejected` (it never ran) or `failed`; why, for the counters; when to come
    back.
    """

    kind: str
    why: str
    after_ms: float = 0.0


Step = Send | End
# to come back after an answer that another map or a returned node may change: some reports of either
SOON_MS = 200.0


class Walk:
    """One task through the nodes that its map names. `homes` for a fingerprinted one; others take `choices`,
    the nodes of its tenant by preference, of which each is tried once at the most.
    """

    def __init__(
        self, effect: Idempotency, epoch: int, homes: Homes | None, choices: list[str]
    ) -> None:
        self.effect, self.epoch = effect, epoch
        self.asks = [node.name for node in homes.ask] if homes is not None else []
        self.home = homes.home.name if homes is not None else ""
        self.choices = choices
        self.asked = ""  # the former home that is asked now
        self.over = False

    def start(self) -> Step:
        return self.onward()

    def onward(self) -> Step:
        if self.asks:
            self.asked = self.asks.pop(0)
            return Send(self.asked, Role.ASK, self.epoch)
        self.asked = ""
        if self.home:
            return Send(self.home, Role.HOME, self.epoch)
        if self.choices:
            return Send(self.choices.pop(0), Role.HOME, self.epoch)
        return self.end("rejected", "no_node_left", SOON_MS)

    def end(self, kind: str, why: str, after_ms: float = 0.0) -> End:
        self.over = True
        return End(kind, why, after_ms)

    def said(self, said: Said, may_try_on: bool = True) -> Step:
        """What a node answered, or what became of the way to it; `may_try_on`: the budget holds another
        try.
        """
        if said is Said.SERVED:
            return self.end("served", "served")
        if said is Said.FAILED:
            return self.end("failed", "failed_by_node")
        if self.asked:
            if said is Said.CLEAR:
                return self.onward()
            if said is Said.OLD_MAP:
                return self.end("rejected", "map_is_old", SOON_MS)
            if said is Said.REJECTED:
                # It knows the fingerprint and its first try is waiting no more, or has no room for it: unrun.
                return self.end("rejected", "rejected_by_former", SOON_MS)
            # Nobody can say whether it has run there: to run it here would be blind, to say it never ran a
            # guess.
            return self.end("failed", "former_home_silent")
        if said is Said.OLD_MAP:
            return self.end("rejected", "map_is_old", SOON_MS)
        if said is Said.BROKEN and self.effect is not Idempotency.IDEMPOTENT:
            return self.end("failed", "connection_broken")
        if self.home:  # a fingerprint has one home: no other node may run it
            why = "home_refused" if said is Said.REFUSED else "rejected_by_node"
            return self.end("rejected", why, SOON_MS)
        if self.choices and may_try_on:
            return self.onward()
        return self.end("failed" if said is Said.BROKEN else "rejected", "no_try_left", SOON_MS)


def walk(
    cells: CellMap,
    confirmed: float,
    now: float,
    tenant: str,
    effect: Idempotency,
    token: str,
    choices: list[str],
) -> Walk | End:
    """The walk of a task by that map, which was last confirmed at that time (Unix ms); or its end at once."""
    if cells.lease_ms and now - confirmed > cells.lease_ms and effect is not Idempotency.IDEMPOTENT:
        # A newer map may give its tenant other nodes by now, and count on nobody going by this one.
        return End("rejected", "map_unconfirmed", SOON_MS)
    homes = cells.homes(tenant, token, now) if effect is Idempotency.KEYED else None
    if cells.tenant(tenant) is None:
        return End("rejected", "tenant_unknown", SOON_MS)
    return Walk(effect, cells.stamp(tenant), homes, [] if homes is not None else choices)
