"""What keeps the memory of cached results bounded."""

from pumicenotch.interface import Outcome
from pumicenotch.server.pending_request import PendingRequest
from pumicenotch.server.result_cache import ResultCache


def test_results_beyond_the_maximum_are_dropped_from_the_oldest() -> None:
    kept = ResultCache(10)
    tasks = [PendingRequest(ident, f"aa{ident}", 1, ident, "put", b"") for ident in (1, 2, 3)]
    for held, size in zip(tasks, (6, 4, 3), strict=True):
        held.idempotency_key = str(held.request_id)
        kept.add(held, 9000.0)
        kept.on_started(held)
        kept.on_finished(held, Outcome.OK, bytes(size))
    assert [entry.outcome for entry in kept.by_key.values()] == [
        Outcome.ERROR,
        Outcome.OK,
        Outcome.OK,
    ]
    assert (kept.total_bytes, kept.dropped_count, kept.find_original(tasks[0], 0.0)) == (7, 1, 1)
    assert all(kept.expire(ident) for ident in (1, 2, 3))
    assert (kept.total_bytes, kept.by_key, kept.by_owner) == (0, {}, {})
