"""The connection to the worker pool: serials of notices, and unproven commands."""

from collections import deque
from typing import NamedTuple

from pumicenotch.server.backoff import Backoff
from pumicenotch.server.effects import Close, Dial, Effect, Write
from pumicenotch.server.messages import BindPool, PollPool, PoolCommand
from pumicenotch.server.pending_request import PendingRequest

CONNECTION = "pool"
# A `BindPool` or `PollPool` is answered in a millisecond: after a thousand times that, the
# connection is taken for dead though it is up. Where all processes are stalled together, one more
# connection is made.
ANSWER_TIMEOUT_MS = 1000.0


class UnprovenCommand(NamedTuple):
    """A command that may not have arrived: sent after which poll and which notice of its run."""

    poll_number: int
    notice_serial: int
    request: PendingRequest
    command: PoolCommand


class WorkerPoolClient:
    """Sends commands in order, each until it has surely arrived or a notice has overtaken it.

    An answered poll proves that all commands before it have arrived. On a new connection the missed
    notices come first, then the answer of a poll; then commands that are not proven and not
    overtaken by a notice of their run are sent again.

    Args:
        effects: Where dials, commands and closes go.
        backoff: Delays dials after failures.
    """

    def __init__(self, effects: list[Effect], backoff: Backoff) -> None:
        self.effects = effects
        self.backoff = backoff
        self.last_serial = 0  # of the notices read
        self.missing_after = -1  # the notice before the last one found missing
        self.poll_number = 0
        self.awaiting_since: float | None = None  # of a message that is not answered yet
        self.up = False  # the connection takes commands
        self.unproven: deque[UnprovenCommand] = deque()

    def send(self, request: PendingRequest, command: PoolCommand) -> None:
        """Sends a command about the request's run, now or once the connection is up."""
        unproven = UnprovenCommand(self.poll_number, request.last_notice_serial, request, command)
        self.unproven.append(unproven)
        if self.up:
            self.effects.append(Write(CONNECTION, command))

    def poll(self, now: float) -> None:
        """Asks for the gauges."""
        self.poll_number += 1
        self.awaiting_since = now
        self.effects.append(Write(CONNECTION, PollPool(str(self.poll_number))))

    def has_timed_out(self, now: float) -> bool:
        """Returns whether an answer is overdue on a connection that is up."""
        return self.awaiting_since is not None and now - self.awaiting_since > ANSWER_TIMEOUT_MS

    def reconnect(self) -> None:
        """Replaces the connection, or the dial that is under way."""
        self.effects.append(Close(CONNECTION))
        self._redial()

    def on_connection_up(self, now: float) -> None:
        """Binds, which has the pool send missed notices again."""
        self.awaiting_since = now
        self.effects.append(Write(CONNECTION, BindPool(self.last_serial)))

    def on_bound(self, now: float) -> None:
        """Polls: the answer opens the connection for commands."""
        self.backoff.reset()
        self.poll(now)

    def on_connection_down(self) -> None:
        """Dials again."""
        self.backoff.record_failure()
        self._redial()

    def on_polled(self, cookie: str) -> bool:
        """Returns whether this answers the last poll; the first on a connection opens it."""
        if cookie != str(self.poll_number):
            return False
        self.awaiting_since = None
        if self.up:
            while self.unproven and self.unproven[0].poll_number < self.poll_number:
                self.unproven.popleft()
            return True
        self.up = True
        resent = [
            unproven
            for unproven in self.unproven
            if unproven.notice_serial == unproven.request.last_notice_serial
        ]
        self.unproven.clear()
        for unproven in resent:
            self.send(unproven.request, unproven.command)
        return True

    def accept_notice(self, serial: int) -> bool:
        """Returns whether the notice is the next one; one that was read before is skipped.

        Where one is missing because it arrived spoilt, a new connection brings it again with all
        after it; once for each, since what is spoilt for good must not hold up the others.
        """
        if serial <= self.last_serial:
            return False
        if serial > self.last_serial + 1 and self.missing_after != self.last_serial:
            self.missing_after = self.last_serial
            self.reconnect()
            return False
        self.last_serial = serial
        return True

    def _redial(self) -> None:
        self.up = False
        self.awaiting_since = None
        self.effects.append(Dial(CONNECTION, self.backoff.next_delay_ms()))
