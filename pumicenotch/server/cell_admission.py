"""Whether a request may run on this node, by the cells that its tenant lives in."""

from typing import TYPE_CHECKING

from pumicenotch.server.pending_request import PendingRequest

if TYPE_CHECKING:  # nothing of cells is loaded where there are none
    from pumicenotch.cells.fence import Fence

OUTDATED_MAP = "old"  # the reason on the wire: who sent it here has an outdated cell map


class CellAdmission:
    """This node's side of cells.

    Args:
        fence: What this node knows of the cells.
        node: The name of this node there.
    """

    def __init__(self, fence: "Fence", node: str) -> None:
        self.fence = fence
        self.node = node

    def rejection_reason(self, request: PendingRequest, unix_ms: float, is_known: bool) -> str:
        """Returns why the request may not run on this node; "" if it may.

        A caller that is no router stamps no epoch: it is judged by this node's own map. A request
        that is read later than it arrived is judged as of now: what was given up in between stays
        given up.

        Args:
            request: The request.
            unix_ms: The Unix time.
            is_known: The request repeats one that this node has under its idempotency key.
        """
        tenant = request.tenant_name
        epoch = request.map_epoch
        if not request.idempotency_key:
            return "" if self.fence.admits(self.node, tenant, epoch) else OUTDATED_MAP
        if epoch is None:
            if not is_known and not self.fence.admits(self.node, tenant, None):
                return OUTDATED_MAP
            epoch = self.fence.newest(tenant)
        return self.fence.word(unix_ms, tenant, epoch, request.is_ownership_query, is_known)
