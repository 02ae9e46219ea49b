"""The router's side of one request: which nodes it is sent to in turn, and how its caller is answered.

A route has exactly one result, whatever the nodes do. A request with an idempotency key is never
sent to its home before every former home has given the key up. A request that may have run is never
sent again, except to the key's home, which recognizes the key.
"""

from enum import Enum, auto
from typing import NamedTuple

from pumicenotch.cells.fence import Role, Verdict
from pumicenotch.cells.map import MAX_READ_DELAY_MS, CellMap, Homes
from pumicenotch.interface import Idempotency


class SendResult(Enum):
    """The result of sending a request to a node."""

    SERVED = auto()
    # The request has not run.
    REJECTED = auto()
    FAILED = auto()
    CLEAR = auto()
    OLD_MAP = auto()
    NO_WORD = auto()
    # No connection: the request never arrived.
    REFUSED = auto()
    # The connection ended without an answer: the request may have run.
    BROKEN = auto()


RESULT_BY_VERDICT = {
    Verdict.CLEAR: SendResult.CLEAR,
    Verdict.OLD_MAP: SendResult.OLD_MAP,
    Verdict.NO_WORD: SendResult.NO_WORD,
}


class Send(NamedTuple):
    """The next step of a route: the request is sent to a node."""

    node: str
    role: Role
    epoch: int


class RouteResult(NamedTuple):
    """The last step of a route: the one answer to the caller.

    Attributes:
        kind: `served`, `rejected` (the request never ran) or `failed`.
        reason: The reason, as counted.
        retry_after_ms: After which time the caller may retry.
    """

    kind: str
    reason: str
    retry_after_ms: float = 0.0


Step = Send | RouteResult
# Retry delay after an answer that a newer map or a recovered node may change: several reporting
# periods of either.
RETRY_AFTER_MS = 200.0


class Route:
    """The way of one request through the nodes that the map names.

    Args:
        idempotency: The idempotency of the request's class.
        epoch: The tenant's epoch, with which the request is stamped.
        homes: The homes of the idempotency key; None for a request without one.
        candidates: For a request without a key, the tenant's nodes by preference. Each is tried at
            most once.
    """

    def __init__(
        self, idempotency: Idempotency, epoch: int, homes: Homes | None, candidates: list[str]
    ) -> None:
        self.idempotency, self.epoch = idempotency, epoch
        self.former_homes = [node.name for node in homes.former_homes] if homes is not None else []
        self.home = homes.home.name if homes is not None else ""
        self.candidates = candidates
        self.asked_home = ""  # the former home whose answer is outstanding
        self.may_have_run = False  # on a node whose connection broke
        self.is_finished = False

    def start(self) -> Step:
        """Returns the first step."""
        return self.next_step()

    def next_step(self) -> Step:
        """Asks the remaining former homes, then sends to the home or the next candidate."""
        if self.former_homes:
            self.asked_home = self.former_homes.pop(0)
            return Send(self.asked_home, Role.ASK, self.epoch)
        self.asked_home = ""
        if self.home:
            return Send(self.home, Role.HOME, self.epoch)
        if self.candidates:
            return Send(self.candidates.pop(0), Role.HOME, self.epoch)
        return self.finish("rejected", "no_node_left", RETRY_AFTER_MS)

    def finish(self, kind: str, reason: str, retry_after_ms: float = 0.0) -> RouteResult:
        """Ends the route and returns its result.

        A rejection tells the caller that the request never ran. Once it may have run on some node,
        the request fails instead, whatever the later nodes answered.
        """
        self.is_finished = True
        if kind == "rejected" and self.may_have_run:
            kind = "failed"
        return RouteResult(kind, reason, retry_after_ms)

    def on_result(self, result: SendResult, may_retry: bool = True) -> Step:
        """Handles the result of the last `Send` and returns the next step.

        Args:
            result: The node's answer, or the failure to get one.
            may_retry: Whether the tenant's retry budget permits another attempt.
        """
        if result is SendResult.BROKEN:
            self.may_have_run = True
        if result is SendResult.SERVED:
            return self.finish("served", "served")
        if result is SendResult.FAILED:
            return self.finish("failed", "failed_by_node")
        if self.asked_home:
            if result is SendResult.CLEAR:
                return self.next_step()
            if result is SendResult.OLD_MAP:
                return self.finish("rejected", "map_is_old", RETRY_AFTER_MS)
            if result is SendResult.REJECTED:
                # The former home knows the key, but its first attempt no longer waits, or it has no
                # capacity for the request: the request has not run.
                return self.finish("rejected", "rejected_by_former", RETRY_AFTER_MS)
            # Nobody knows whether the request has run on the former home. Running it on the new one
            # could run it twice, and a rejection would claim that it never ran.
            return self.finish("failed", "former_home_silent")
        if result is SendResult.OLD_MAP:
            return self.finish("rejected", "map_is_old", RETRY_AFTER_MS)
        if result is SendResult.BROKEN and self.idempotency is not Idempotency.IDEMPOTENT:
            return self.finish("failed", "connection_broken")
        if self.home:  # a key has one home: no other node may run the request
            reason = "home_refused" if result is SendResult.REFUSED else "rejected_by_node"
            return self.finish("rejected", reason, RETRY_AFTER_MS)
        if self.candidates and may_retry:
            return self.next_step()
        return self.finish("rejected", "no_try_left", RETRY_AFTER_MS)


def plan_route(
    cells: CellMap,
    confirmed_at: float,
    now: float,
    arrived_at: float,
    tenant: str,
    idempotency: Idempotency,
    key: str,
    candidates: list[str],
) -> Route | RouteResult:
    """Returns the route of a request by the map, or its result if no node may be tried.

    Args:
        cells: The router's cell map.
        confirmed_at: When the map was last confirmed as the newest, in Unix ms.
        now: When the request is read, in Unix ms.
        arrived_at: When the request came, in Unix ms. It decides which former homes are asked.
        tenant: The tenant's name.
        idempotency: The idempotency of the request's class.
        key: The idempotency key; "" without one.
        candidates: The tenant's nodes by preference, for a request without a key.
    """
    if (
        cells.lease_ms
        and now - confirmed_at > cells.lease_ms
        and idempotency is not Idempotency.IDEMPOTENT
    ):
        # A newer map may have given the tenant other nodes, on the assumption that no router still
        # uses this one.
        return RouteResult("rejected", "map_unconfirmed", RETRY_AFTER_MS)
    if cells.tenant(tenant) is None:
        return RouteResult("rejected", "tenant_unknown", RETRY_AFTER_MS)
    homes = None
    if idempotency is Idempotency.KEYED:
        if now - arrived_at >= MAX_READ_DELAY_MS:
            # The map may no longer name all former homes of that time. An earlier attempt may have run.
            return RouteResult("failed", "read_too_late")
        homes = cells.homes(tenant, key, arrived_at)
    return Route(
        idempotency, cells.tenant_epoch(tenant), homes, [] if homes is not None else candidates
    )
