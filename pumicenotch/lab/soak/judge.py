"""Judges a soak by what crossed the wire and how the process ended, without I/O or clock.

The rules are those of the gateways' protocol: a request is lost if its connection ends without its
answer, unless it was written within `CROSSING_MS` before that end, which its gateway sends again.
"""

from collections import Counter
from hashlib import blake2b
from typing import NamedTuple

CROSSING_MS = 50.0  # a request written so long before the end of its connection crosses it
SLACK_MS = 50.0  # that a time limit is longer on sockets
RULES = ("lost", "doubled", "drain", "fallen")
MAX_STALL_MS = 20.0  # between two turns of the runner; a longer one is not counted against a server

# Kinds of answers.
SERVED = "served"
REJECTED = "rejected"
FAILED = "failed"


class Violation(NamedTuple):
    """A broken rule."""

    rule: str
    at_ms: float
    text: str


class SentRequest:
    """A request whose last byte was written."""

    def __init__(self, request_id: str, key: str, body: bytes, sent_at_ms: float) -> None:
        self.request_id = request_id
        self.key = key  # "" for one that is idempotent without a key
        self.body = body
        self.sent_at_ms = sent_at_ms
        self.answer = ""


def run_result(body: bytes) -> bytes:
    """Returns what a run makes of a body."""
    return blake2b(body, digest_size=16).digest()


class RunnerStalls:
    """When the runner itself stood still: in such time it neither wrote nor read."""

    def __init__(self) -> None:
        self.last_turn_ms: float | None = None
        self.stalls: list[tuple[float, float]] = []

    def on_turn(self, now_ms: float) -> None:
        """Notes a turn of the runner's loop."""
        if self.last_turn_ms is not None and now_ms - self.last_turn_ms > MAX_STALL_MS:
            self.stalls.append((self.last_turn_ms, now_ms))
        self.last_turn_ms = now_ms

    def between(self, start_ms: float, end_ms: float) -> float:
        """Returns how much of that span the runner stood still."""
        overlaps = (min(end, end_ms) - max(start, start_ms) for start, end in self.stalls)
        return sum(overlap for overlap in overlaps if overlap > 0.0)


class SoakJudge:
    """Collects what happened to each request, and which rules it broke.

    Args:
        grace_ms: After the notice, for which requests may still be run.
    """

    def __init__(self, grace_ms: float) -> None:
        self.grace_ms = grace_ms
        self.notice_at_ms = float("inf")
        self.requests: dict[str, SentRequest] = {}
        self.run_ids: set[str] = set()
        self.run_keys: set[str] = set()
        self.violations: list[Violation] = []
        self.counts: Counter[str] = Counter()
        self.stalls = RunnerStalls()

    def sent(self, request: SentRequest) -> None:
        """Takes a request that was written whole."""
        self.requests[request.request_id] = request
        self.counts["requests"] += 1

    def answered(self, now_ms: float, request: SentRequest, answer: str, result: bytes) -> None:
        """Takes an answer: one only, of this request's run, and no rejection of one that ran."""
        name = request.request_id
        self.counts[answer] += 1
        if request.answer:
            self._violate("doubled", now_ms, f"{name} was answered twice")
        request.answer = answer
        if answer == SERVED and result != run_result(request.body):
            self._violate("lost", now_ms, f"{name} was served with what no run of it made")
        if answer == REJECTED and name in self.run_ids:
            self._violate("doubled", now_ms, f"{name} ran and was rejected")

    def answered_unknown(self, now_ms: float, message_id: int) -> None:
        """Takes an answer to a message that is not open."""
        self._violate("doubled", now_ms, f"an answer to message {message_id}, which is not open")

    def connection_ended(self, now_ms: float, open_requests: list[SentRequest], end: str) -> None:
        """Takes the end of a connection that the client did not end itself."""
        for request in open_requests:
            waited_ms = now_ms - request.sent_at_ms
            waited_ms -= self.stalls.between(request.sent_at_ms, now_ms)
            if waited_ms <= CROSSING_MS:
                self.counts["crossed"] += 1
                continue
            after_notice_ms = now_ms - self.notice_at_ms
            self._violate(
                "lost",
                now_ms,
                f"{request.request_id} had no answer {waited_ms:.0f} ms after it was written,"
                f" when its connection ended ({end}) {after_notice_ms:.0f} ms after the notice",
            )

    def run_started(self, now_ms: float, request_id: str) -> SentRequest | None:
        """Takes a run that the server has asked for; None if it is to do nothing."""
        request = self.requests.get(request_id)
        if request is None:
            self._violate("doubled", now_ms, f"{request_id}: a run of what was never sent")
            return None
        if request_id in self.run_ids:
            return None  # the same command again, as on a new connection: nothing happens
        self.run_ids.add(request_id)
        self.counts["runs"] += 1
        if request.key and request.key in self.run_keys:
            self._violate("doubled", now_ms, f"{request_id}: a second run of key {request.key}")
        self.run_keys.add(request.key)
        after_notice_ms = request.sent_at_ms - self.notice_at_ms
        if after_notice_ms > self.grace_ms + SLACK_MS:
            self._violate(
                "drain",
                now_ms,
                f"{request_id} was written {after_notice_ms:.0f} ms after the notice and ran",
            )
        return request

    def process_ended(self, now_ms: float, status: int) -> None:
        """Takes the end of the server: by itself, with status 0, after its notice."""
        after_notice_ms = now_ms - self.notice_at_ms
        if status:
            text = f"it ended with status {status} {after_notice_ms:.0f} ms after the notice"
            self._violate("fallen", now_ms, text)

    def resources_left(self, now_ms: float, what: str, used: float, bound: float) -> None:
        """Takes what the server holds before its notice, and what it may hold."""
        if used > bound:
            self._violate("fallen", now_ms, f"{used:g} {what}, {bound:g} allowed")

    def rules(self) -> dict[str, int]:
        """Returns how often each rule was broken."""
        found = Counter(violation.rule for violation in self.violations)
        return {rule: found[rule] for rule in RULES}

    def _violate(self, rule: str, at_ms: float, text: str) -> None:
        self.violations.append(Violation(rule, at_ms, text))
