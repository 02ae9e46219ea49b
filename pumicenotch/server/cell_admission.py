"""Decides whether a request may run on this node, by the cell of the request's tenant."""

from typing import TYPE_CHECKING

from pumicenotch.server.pending_request import PendingRequest

if TYPE_CHECKING:  # a server without cells does not import the package
    from pumicenotch.cells.fence import Fence

# Rejection reason on the wire: the sender of the request has an outdated cell map.
OUTDATED_MAP = "old"


class CellAdmission:
    """Checks requests against this node's cell map and the epochs that it has seen.

    Protects against running a request twice while its tenant moves between cells.

    Args:
        fence: The node's record of the cell map and of tenants' newest epochs.
        node: The name of this node in the cell map.
    """

    def __init__(self, fence: "Fence", node: str) -> None:
        self.fence = fence
        self.node = node

    def rejection_reason(self, request: PendingRequest, is_known: bool) -> str:
        """Returns the reason why the request may not run on this node; "" if it may.

        A caller that is not a router sends no epoch, and this node's own map decides. A request
        that is read some time after its arrival is checked against the current epochs: a tenant
        that this node has given up in the meantime stays given up.

        Args:
            request: The request.
            is_known: Whether this node knows the request's idempotency key.
        """
        tenant = request.tenant_name
        epoch = request.map_epoch
        if not request.idempotency_key:
            return "" if self.fence.admits(self.node, tenant, epoch) else OUTDATED_MAP
        if epoch is None:
            if not is_known and not self.fence.admits(self.node, tenant, None):
                return OUTDATED_MAP
            epoch = self.fence.newest_epoch(tenant)
        return self.fence.rejection_reason(
            request.arrived_at_ms, tenant, epoch, request.is_ownership_query, is_known
        )
