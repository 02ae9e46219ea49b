"""Results under idempotency keys, from which retries of a request are answered."""

from pumicenotch.interface import Outcome
from pumicenotch.server.pending_request import PendingRequest
from pumicenotch.server.request_decoder import InvalidRequestError


class CachedResult:
    """What is known of the first attempt under one key, and the retries that wait for it."""

    def __init__(self, request: PendingRequest, expires_at: float) -> None:
        self.idempotency_key = request.idempotency_key
        self.body_digest = request.body_digest
        self.owner_id = request.request_id
        self.expires_at = expires_at
        self.started = False
        self.result = b""
        self.outcome: Outcome | None = (
            None  # None until the run is over; OK while the result is kept
        )
        self.waiting: list[PendingRequest] = []

    @property
    def is_running(self) -> bool:
        """Whether the first attempt has started and not finished."""
        return self.started and self.outcome is None


class ResultCache:
    """Keeps results up to a size; beyond it the oldest are dropped, and their retries fail.

    Args:
        max_bytes: Of all results together.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.by_key: dict[str, CachedResult] = {}
        self.by_owner: dict[int, CachedResult] = {}
        self.total_bytes = 0
        self.dropped_count = 0

    def find_original(self, request: PendingRequest, arrived_at: float) -> int | None:
        """Returns the id of the first attempt that a request which arrived then repeats, if any.

        Entries outlive their time by a request's timeout, since a retry may be read long after it
        reached the machine, as after a freeze.

        Raises:
            InvalidRequestError: The key was used with another body, whose result is not for this
            sender.
        """
        entry = self.by_key.get(request.idempotency_key)
        if entry is None or not (entry.is_running or arrived_at <= entry.expires_at):
            return None
        if entry.body_digest != request.body_digest:
            raise InvalidRequestError("another body under that token")
        return entry.owner_id

    def add(self, request: PendingRequest, expires_at: float) -> None:
        """Makes the request the first attempt under its key."""
        if request.idempotency_key in self.by_key:
            self._remove(self.by_key[request.idempotency_key])
        entry = CachedResult(request, expires_at)
        self.by_key[request.idempotency_key] = entry
        self.by_owner[request.request_id] = entry

    def drop(self, owner_id: int, never_ran: bool = False) -> list[PendingRequest]:
        """Forgets an attempt that has not run, and returns the retries that waited for it.

        Args:
            owner_id: The id of the first attempt.
            never_ran: It was started, but the pool says that it never ran.
        """
        entry = self.by_owner.get(owner_id)
        if entry is None or (entry.started and not never_ran):
            return []
        self._remove(entry)
        return entry.waiting

    def expire(self, owner_id: int) -> bool:
        """Forgets an attempt whose time is over; returns False while it still runs."""
        entry = self.by_owner.get(owner_id)
        if entry is None:
            return True
        if entry.is_running:
            return False
        self._remove(entry)
        return True

    def on_started(self, request: PendingRequest) -> None:
        """Notes that the request runs."""
        if request.request_id in self.by_owner:
            self.by_owner[request.request_id].started = True

    def replay(self, request: PendingRequest) -> CachedResult | None:
        """Returns what the request is answered from; until the result is known it waits there."""
        key = request.idempotency_key
        entry = self.by_key.get(key) if key else None
        if entry is not None and entry.outcome is None:
            entry.waiting.append(request)
        return entry

    def on_finished(
        self, request: PendingRequest, outcome: Outcome, result: bytes
    ) -> list[PendingRequest]:
        """Keeps the result of a run, and returns the retries that waited for it."""
        entry = self.by_owner.get(request.request_id)
        if entry is None:
            return []
        entry.outcome = outcome
        if outcome is Outcome.OK:
            entry.result = result
            self.total_bytes += len(result)
            self._shrink()
        waiting = entry.waiting
        entry.waiting = []
        return waiting

    def _remove(self, entry: CachedResult) -> None:
        del self.by_key[entry.idempotency_key], self.by_owner[entry.owner_id]
        self.total_bytes -= len(entry.result)

    def _shrink(self) -> None:
        for entry in self.by_key.values():
            if self.total_bytes <= self.max_bytes:
                return
            if entry.outcome is Outcome.OK:
                self.total_bytes -= len(entry.result)
                entry.result = b""
                entry.outcome = Outcome.ERROR
                self.dropped_count += 1
