"""Guards against a result cache whose memory grows without bound."""

from pumicenotch.interface import Outcome
from pumicenotch.server.pending_request import PendingRequest
from pumicenotch.server.result_cache import ResultCache


def test_results_above_the_maximum_size_are_dropped_oldest_first() -> None:
    cache = ResultCache(10)
    requests = [
        PendingRequest(request_id, f"aa{request_id}", 1, request_id, "put", b"")
        for request_id in (1, 2, 3)
    ]
    for request, size in zip(requests, (6, 4, 3), strict=True):
        request.idempotency_key = str(request.request_id)
        cache.add(request, 9000.0)
        cache.on_started(request)
        cache.on_finished(request, Outcome.OK, bytes(size))
    assert [entry.outcome for entry in cache.by_key.values()] == [
        Outcome.ERROR,
        Outcome.OK,
        Outcome.OK,
    ]
    assert (cache.total_bytes, cache.dropped_count, cache.find_original(requests[0], 0.0)) == (
        7,
        1,
        1,
    )
    assert all(cache.expire(request_id) for request_id in (1, 2, 3))
    assert (cache.total_bytes, cache.by_key, cache.by_original_id) == (0, {}, {})
