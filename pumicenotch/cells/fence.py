"""The node's side of cells: decides whether a request with an idempotency key may run on this node.

A router stamps each request with the epoch since which its tenant has had its current nodes, and
with the role that the router assigns to this node: the key's home, or a former home that is asked
first. A node runs nothing new under an epoch older than the newest that it has seen for the tenant.

A node that is asked about an unknown key therefore gives the key up for good. The asking router's
epoch becomes the newest, so requests sent under older maps are refused however late they arrive;
and under the asking router's own epoch the key has another home.

A node learns the newest epoch from stamps and, after a restart, from its own map file. The file
holds each epoch before any router uses it.
"""

from enum import Enum, auto

from pumicenotch.cells.map import CellMap
from pumicenotch.interface import MAX_CLOCK_AHEAD_MS


class Role(Enum):
    """The role that a router assigns to the node for one request."""

    HOME = auto()
    ASK = auto()


class Verdict(Enum):
    """Whether a request may run on the node."""

    # The key is known: answered from memory, or together with the first attempt.
    SERVE = auto()
    RUN = auto()
    # The key has never run here, and never will under this epoch or an older one.
    CLEAR = auto()
    # Not run: the node has seen a newer epoch of the tenant.
    OLD_MAP = auto()
    # Unknown: the request came when the node had been up for less than the idempotency window.
    NO_WORD = auto()


# Rejection reasons on the wire.
REASONS = {
    Verdict.CLEAR: "clear",
    Verdict.OLD_MAP: "old",
    Verdict.NO_WORD: "no-word",
}


class Fence:
    """A node's record of the newest epoch of each tenant.

    Args:
        started_at: When the node started, in Unix ms like all times here.
        window_ms: How long a node remembers an idempotency key.
        cells: The cell map of the node's file; None without one.
    """

    # Tenants remembered from stamps. Beyond this number the oldest entry raises the minimum epoch
    # of all tenants: the fence then refuses more requests, never fewer.
    MAX_TENANTS = 65536

    def __init__(self, started_at: float, window_ms: float, cells: CellMap | None = None) -> None:
        self.started_at, self.window_ms, self.cells = started_at, window_ms, cells
        self.min_epoch = 0
        self.epochs: dict[str, int] = {}

    def replace_map(self, cells: CellMap) -> None:
        """Adopts a newer map of the node's file."""
        self.cells = cells

    def newest_epoch(self, tenant: str) -> int:
        """Returns the newest epoch of the tenant that the node has seen; 0 for none."""
        map_epoch = self.cells.tenant_epoch(tenant) if self.cells is not None else 0
        return max(self.min_epoch, map_epoch, self.epochs.get(tenant, 0))

    def check(self, arrived_at: float, tenant: str, epoch: int, role: Role, known: bool) -> Verdict:
        """Decides on a request with an idempotency key, and records its epoch.

        Args:
            arrived_at: When the request came, in Unix ms, not when it was read.
            tenant: The tenant's name.
            epoch: The epoch that the request was stamped with.
            role: The role that the router assigns to this node.
            known: Whether the key is in this node's memory. Such a request is always served.
        """
        if known:
            return Verdict.SERVE
        newest = self.newest_epoch(tenant)
        if epoch < newest:
            return Verdict.OLD_MAP
        if epoch > newest:
            self.record_epoch(tenant, epoch)
        if role is Role.HOME:
            return Verdict.RUN
        # Runs before the last start are not in memory: the node cannot tell whether the key has run
        # if the request came within the window of such a run, whose stamp may be ahead of the clock.
        vouches_from = self.started_at + self.window_ms + MAX_CLOCK_AHEAD_MS
        return Verdict.CLEAR if arrived_at >= vouches_from else Verdict.NO_WORD

    def rejection_reason(
        self, arrived_at: float, tenant: str, epoch: int, asks: bool, known: bool
    ) -> str:
        """Returns the reason of `check` as sent on the wire; "" if the node accepts the request."""
        role = Role.ASK if asks else Role.HOME
        return REASONS.get(self.check(arrived_at, tenant, epoch, role, known), "")

    def admits(self, node: str, tenant: str, epoch: int | None) -> bool:
        """Returns whether a request without an idempotency key may run on this node.

        A stamp newer than this node's map is trusted, because the router knows a newer map. With an
        older or equal stamp, or without one, this node's own map decides.

        Args:
            node: This node's name in the map.
            tenant: The tenant's name.
            epoch: The epoch that the request was stamped with; None without a stamp.
        """
        if self.cells is None or self.cells.serves(node, tenant):
            return True
        return epoch is not None and epoch > self.newest_epoch(tenant)

    def record_epoch(self, tenant: str, epoch: int) -> None:
        """Records the newest epoch of a tenant, and evicts the oldest entry when full."""
        if tenant not in self.epochs and len(self.epochs) >= self.MAX_TENANTS:
            self.min_epoch = max(self.min_epoch, self.epochs.pop(next(iter(self.epochs))))
        self.epochs[tenant] = epoch
