"""Cache of results by idempotency key, from which retries of a request are answered."""

from pumicenotch.control import Timer
from pumicenotch.interface import Outcome
from pumicenotch.server.pending_request import PendingRequest
from pumicenotch.server.request_decoder import InvalidRequestError


class CachedResult:
    """The state of the first attempt with one idempotency key, and the retries that wait for it."""

    def __init__(self, request: PendingRequest, expires_at: float) -> None:
        self.idempotency_key = request.idempotency_key
        self.body_digest = request.body_digest
        self.original_id = request.request_id
        self.expires_at = expires_at
        self.started = False
        self.result = b""
        # None until the run has ended; OK while the result is kept, ERROR after it was dropped.
        self.outcome: Outcome | None = None
        self.expiry_timer: Timer | None = None  # cancelled when the entry is removed
        self.waiting_retries: list[PendingRequest] = []  # retries to answer when the run has ended

    @property
    def is_running(self) -> bool:
        """Whether the first attempt has started and not finished."""
        return self.started and self.outcome is None


class ResultCache:
    """Keeps results up to a total size; above it the oldest are dropped, and their retries fail.

    Args:
        max_bytes: The maximum total size of all results.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.by_key: dict[str, CachedResult] = {}
        self.by_original_id: dict[int, CachedResult] = {}
        self.total_bytes = 0
        self.dropped_count = 0

    def find_original(self, request: PendingRequest, arrived_at: float) -> int | None:
        """Returns the id of the first attempt that the request is a retry of, if any.

        Entries are kept for a request's timeout after they expire, because a retry that arrived in
        time may be read late, for example after the process was frozen.

        Args:
            request: The request.
            arrived_at: The time at which the request arrived, in ms.

        Raises:
            InvalidRequestError: The key was used before with another body; its result is not for
                this sender.
        """
        entry = self.by_key.get(request.idempotency_key)
        if entry is None or not (entry.is_running or arrived_at <= entry.expires_at):
            return None
        if entry.body_digest != request.body_digest:
            raise InvalidRequestError("token (used before with another body)")
        return entry.original_id

    def add(self, request: PendingRequest, expires_at: float) -> None:
        """Adds a request as the first attempt with its key, in place of an earlier one."""
        if request.idempotency_key in self.by_key:
            self._remove(self.by_key[request.idempotency_key])
        entry = CachedResult(request, expires_at)
        self.by_key[request.idempotency_key] = entry
        self.by_original_id[request.request_id] = entry

    def drop(self, original_id: int, never_ran: bool = False) -> list[PendingRequest]:
        """Removes an attempt that has not run, and returns the retries that waited for it.

        Args:
            original_id: The id of the first attempt.
            never_ran: Whether the attempt was started but the pool reported that it never ran.
        """
        entry = self.by_original_id.get(original_id)
        if entry is None or (entry.started and not never_ran):
            return []
        self._remove(entry)
        return entry.waiting_retries

    def expire(self, original_id: int) -> bool:
        """Removes an attempt that has expired; returns False if it is still running."""
        entry = self.by_original_id.get(original_id)
        if entry is None:
            return True
        if entry.is_running:
            return False
        self._remove(entry)
        return True

    def on_started(self, request: PendingRequest) -> None:
        """Records that the request's run was started."""
        if request.request_id in self.by_original_id:
            self.by_original_id[request.request_id].started = True

    def replay(self, request: PendingRequest) -> CachedResult | None:
        """Returns the entry that answers the request, which waits there until the run has ended."""
        key = request.idempotency_key
        entry = self.by_key.get(key) if key else None
        if entry is not None and entry.outcome is None:
            entry.waiting_retries.append(request)
        return entry

    def on_finished(
        self, request: PendingRequest, outcome: Outcome, result: bytes
    ) -> list[PendingRequest]:
        """Keeps the result of a run, and returns the retries that waited for it."""
        entry = self.by_original_id.get(request.request_id)
        if entry is None:
            return []
        entry.outcome = outcome
        if outcome is Outcome.OK:
            entry.result = result
            self.total_bytes += len(result)
            self._evict_oldest()
        waiting_retries = entry.waiting_retries
        entry.waiting_retries = []
        return waiting_retries

    def _remove(self, entry: CachedResult) -> None:
        if entry.expiry_timer is not None:
            entry.expiry_timer.cancel()
        del self.by_key[entry.idempotency_key], self.by_original_id[entry.original_id]
        self.total_bytes -= len(entry.result)

    def _evict_oldest(self) -> None:
        for entry in self.by_key.values():
            if self.total_bytes <= self.max_bytes:
                return
            if entry.outcome is Outcome.OK:
                self.total_bytes -= len(entry.result)
                entry.result = b""
                entry.outcome = Outcome.ERROR
                self.dropped_count += 1
