"""The connection to the worker pool, with resending of lost commands and notices.

Commands that may have been lost are resent on a new connection. Notices have serials, by which the
pool resends those that were lost.
"""

from collections import deque
from typing import NamedTuple

from pumicenotch.server.backoff import Backoff
from pumicenotch.server.effects import Close, Dial, Effect, Write
from pumicenotch.server.messages import BindPool, PollPool, PoolCommand
from pumicenotch.server.pending_request import PendingRequest

CONNECTION = "pool"
# Time without an answer to `BindPool` or `PollPool` after which an open connection is considered
# dead. The pool normally answers in a millisecond; this is a thousand times as long. If all
# processes of the machine stall together, one needless connection is made.
ANSWER_TIMEOUT_MS = 1000.0


class UnacknowledgedCommand(NamedTuple):
    """A command that may not have arrived.

    Attributes:
        poll_number: The last poll sent before the command. The answer to a later poll proves that
            the command has arrived.
        notice_serial: The serial of the last notice about the run when the command was sent. A
            later notice makes the command obsolete.
        request: The request of the run.
        command: The command.
    """

    poll_number: int
    notice_serial: int
    request: PendingRequest
    command: PoolCommand


class WorkerPoolClient:
    """Sends commands in order, and keeps each until it is acknowledged or obsolete.

    The answer to a poll acknowledges all commands sent before the poll. On a new connection, the
    pool first sends the missed notices and then answers a poll. Then unacknowledged commands are
    resent, except those that a notice about their run has made obsolete.

    Args:
        effects: Receives dials, commands and closes.
        backoff: Delays dials after failures.
    """

    def __init__(self, effects: list[Effect], backoff: Backoff) -> None:
        self.effects = effects
        self.backoff = backoff
        self.last_serial = 0  # serial of the last notice read
        # Serial before the last gap for which a new connection was made.
        self.gap_after_serial = -1
        self.poll_number = 0
        self.awaiting_reply_since: float | None = None  # time of an unanswered bind or poll
        self.accepts_commands = False  # set by the first answered poll
        self.unacknowledged: deque[UnacknowledgedCommand] = deque()

    def send(self, request: PendingRequest, command: PoolCommand) -> None:
        """Sends a command about the request's run, at once or when the connection is usable."""
        unacknowledged = UnacknowledgedCommand(
            self.poll_number, request.last_notice_serial, request, command
        )
        self.unacknowledged.append(unacknowledged)
        if self.accepts_commands:
            self.effects.append(Write(CONNECTION, command))

    def poll(self, now: float) -> None:
        """Requests the gauges."""
        self.poll_number += 1
        self.awaiting_reply_since = now
        self.effects.append(Write(CONNECTION, PollPool(str(self.poll_number))))

    def has_timed_out(self, now: float) -> bool:
        """Returns whether an open connection has not answered for ANSWER_TIMEOUT_MS."""
        return (
            self.awaiting_reply_since is not None
            and now - self.awaiting_reply_since > ANSWER_TIMEOUT_MS
        )

    def reconnect(self) -> None:
        """Replaces the connection, or the current dial."""
        self.effects.append(Close(CONNECTION))
        self._redial()

    def on_connection_up(self, now: float) -> None:
        """Binds, which makes the pool resend missed notices."""
        self.awaiting_reply_since = now
        self.effects.append(Write(CONNECTION, BindPool(self.last_serial)))

    def on_bound(self, now: float) -> None:
        """Polls: after the answer, commands are sent on the connection."""
        self.backoff.reset()
        self.poll(now)

    def on_connection_down(self) -> None:
        """Redials with backoff."""
        self.backoff.record_failure()
        self._redial()

    def on_poll_reply(self, cookie: str) -> bool:
        """Returns whether this answers the last poll.

        Drops the acknowledged commands. The first answer on a connection resends the commands that
        are still needed.
        """
        if cookie != str(self.poll_number):
            return False
        self.awaiting_reply_since = None
        if self.accepts_commands:
            while self.unacknowledged and self.unacknowledged[0].poll_number < self.poll_number:
                self.unacknowledged.popleft()
            return True
        self.accepts_commands = True
        resent = [
            unacknowledged
            for unacknowledged in self.unacknowledged
            if unacknowledged.notice_serial == unacknowledged.request.last_notice_serial
        ]
        self.unacknowledged.clear()
        for unacknowledged in resent:
            self.send(unacknowledged.request, unacknowledged.command)
        return True

    def accept_notice(self, serial: int) -> bool:
        """Returns whether the notice is to be handled: false for duplicates and after a gap.

        A gap means that a notice arrived malformed. A new connection makes the pool resend it with
        all later ones. This is done once for each gap, because a notice that is always malformed
        must not block the others.
        """
        if serial <= self.last_serial:
            return False
        if serial > self.last_serial + 1 and self.gap_after_serial != self.last_serial:
            self.gap_after_serial = self.last_serial
            self.reconnect()
            return False
        self.last_serial = serial
        return True

    def _redial(self) -> None:
        self.accepts_commands = False
        self.awaiting_reply_since = None
        self.effects.append(Dial(CONNECTION, self.backoff.next_delay_ms()))
