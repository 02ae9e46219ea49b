"""Explores orders of breaks, reloads, commands and notices on the worker pool's connection."""

import pytest

from pumicenotch.lab.pool_link_model import Bounds, PoolLink
from pumicenotch.server.worker_pool_client import UnacknowledgedCommand, WorkerPoolClient

REPLY_TO_ANOTHER_CALL = "call 2 is given 'reply to call 1'"


# Guards against a run that is given the reply to another of its calls, and one that waits for ever (review case 6).
@pytest.mark.parametrize(
    "bounds",
    [
        Bounds(breaks=0, reloads=0, polls=2),
        Bounds(breaks=1, reloads=0),
        Bounds(breaks=0, reloads=1),
        Bounds(breaks=2, reloads=0, polls=0),
        Bounds(breaks=1, reloads=0, skips_calls=True),
        Bounds(breaks=0, reloads=0, unreadable_notices=1, remarks=1, polls=2),
        Bounds(breaks=1, reloads=0, unreadable_notices=1, remarks=1, polls=0),
    ],
    ids=str,
)
def test_every_order_gives_each_call_its_own_reply(bounds: Bounds) -> None:
    result = PoolLink(bounds).explore(5_000)
    assert result.whole and not result.violation, result.text()


def test_the_first_orders_of_a_break_beside_a_reload_give_each_call_its_own_reply() -> None:
    result = PoolLink(Bounds(breaks=1, reloads=1, unreadable_notices=1, remarks=1)).explore(6_000)
    assert not result.violation, result.text()


# A check that cannot fail is worth nothing: the search must find the fault that the client once had.
@pytest.mark.parametrize("bounds", [Bounds(breaks=1, reloads=0), Bounds(breaks=0, reloads=1)])
def test_a_client_that_sends_replies_again_is_found(
    monkeypatch: pytest.MonkeyPatch, bounds: Bounds
) -> None:
    monkeypatch.setattr(UnacknowledgedCommand, "may_be_resent", property(lambda _: True))
    monkeypatch.setattr(
        WorkerPoolClient, "replace_connection", lambda self, _: WorkerPoolClient.reconnect(self)
    )
    result = PoolLink(bounds).explore(5_000)
    assert result.violation == REPLY_TO_ANOTHER_CALL, result.text()
