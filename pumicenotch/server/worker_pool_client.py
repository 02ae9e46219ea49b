"""The connection to the worker pool, with resending of lost commands and notices.

Commands that may have been lost are resent on a new connection, except replies to dependency calls.
They name no call: a run that has received its reply and waits for its next call would take a second
copy for that call's reply. Notices have serials, by which the pool resends those that were lost.
"""

from collections import deque
from typing import NamedTuple

from pumicenotch.server.backoff import Backoff
from pumicenotch.server.effects import Close, Dial, Effect, Write
from pumicenotch.server.messages import BindPool, PollPool, PoolCommand, SupplyReply
from pumicenotch.server.pending_request import PendingRequest

CONNECTION = "pool"
# Time without an answer to `BindPool` or `PollPool` after which an open connection is considered
# dead. The pool normally answers in a millisecond; this is a thousand times as long. If all
# processes of the machine stall together, one needless connection is made.
ANSWER_TIMEOUT_MS = 1000.0
# Time without an answer to the last poll on a connection that is replaced. Its address has changed,
# so its silence tells nothing about the pool.
REPLACEMENT_TIMEOUT_MS = 200.0


class UnacknowledgedCommand(NamedTuple):
    """A command that may not have arrived.

    Attributes:
        poll_number: The last poll sent before the command. The answer to a later poll proves that
            the command has arrived.
        notice_serial: The serial of the last notice about the run when the command was sent. A
            later notice makes the command obsolete.
        request: The request of the run.
        command: The command.
        was_written: Whether the command was written to a connection.
    """

    poll_number: int
    notice_serial: int
    request: PendingRequest
    command: PoolCommand
    was_written: bool

    @property
    def is_obsolete(self) -> bool:
        """Whether a notice about the run has been read since the command was sent."""
        return self.notice_serial != self.request.last_notice_serial

    @property
    def may_be_resent(self) -> bool:
        """Whether a second copy has no effect if the pool has read the first one.

        A copy of `SupplyReply` is taken for the reply to the next call of the run. `SkipDependency`
        names its call, and the other commands change nothing in a run that has carried them out.
        """
        return not (self.was_written and isinstance(self.command, SupplyReply))


class WorkerPoolClient:
    """Sends commands in order, and keeps each until it is acknowledged or obsolete.

    The answer to a poll acknowledges all commands sent before the poll. On a new connection, the
    pool first sends the missed notices and then answers a poll. Then unacknowledged commands are
    resent, except those that a notice about their run has made obsolete. Replies whose arrival is
    uncertain are not resent; `take_uncertain_replies` returns their requests.

    A connection that still works is replaced only once its commands are acknowledged.

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
        # Whether the connection is replaced when the current poll is answered.
        self.replacing = False
        self.unacknowledged: deque[UnacknowledgedCommand] = deque()
        self._uncertain_replies: list[PendingRequest] = []

    def send(self, request: PendingRequest, command: PoolCommand) -> None:
        """Sends a command about the request's run, at once or when the connection is usable."""
        unacknowledged = UnacknowledgedCommand(
            self.poll_number, request.last_notice_serial, request, command, self.accepts_commands
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
        """Returns whether an open connection has not answered for too long."""
        timeout_ms = REPLACEMENT_TIMEOUT_MS if self.replacing else ANSWER_TIMEOUT_MS
        return (
            self.awaiting_reply_since is not None and now - self.awaiting_reply_since > timeout_ms
        )

    def replace_connection(self, now: float) -> None:
        """Replaces the connection once the pool has acknowledged the commands sent on it.

        Until then commands are queued for the next connection. Without such commands, or without a
        usable connection, the replacement starts at once.
        """
        if self.replacing:
            return
        if not self.accepts_commands or not self.unacknowledged:
            self.reconnect()
            return
        self.accepts_commands = False
        self.replacing = True
        self.poll(now)

    def reconnect(self) -> None:
        """Replaces the connection, or the current dial, at once."""
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
        if self.accepts_commands or self.replacing:
            while self.unacknowledged and self.unacknowledged[0].poll_number < self.poll_number:
                self.unacknowledged.popleft()
            if self.replacing:
                self.reconnect()
            return True
        self.accepts_commands = True
        self._resend()
        return True

    def _resend(self) -> None:
        needed = [command for command in self.unacknowledged if not command.is_obsolete]
        self.unacknowledged.clear()
        for unacknowledged in needed:
            if unacknowledged.may_be_resent:
                self.send(unacknowledged.request, unacknowledged.command)
            else:
                self._uncertain_replies.append(unacknowledged.request)

    def take_uncertain_replies(self) -> list[PendingRequest]:
        """Returns, once, the requests whose runs may or may not have received their last reply."""
        requests = self._uncertain_replies
        self._uncertain_replies = []
        return requests

    def accept_notice(self, now: float, serial: int) -> bool:
        """Returns whether the notice is to be handled: false for duplicates and after a gap.

        A gap means that a notice arrived malformed. A new connection makes the pool resend it with
        all later ones. This is done once for each gap, because a notice that is always malformed
        must not block the others.
        """
        if serial <= self.last_serial:
            return False
        if serial > self.last_serial + 1:
            if self.replacing:
                return False
            if self.gap_after_serial != self.last_serial:
                self.gap_after_serial = self.last_serial
                self.replace_connection(now)
                return False
        self.last_serial = serial
        return True

    def _redial(self) -> None:
        self.accepts_commands = False
        self.replacing = False
        self.awaiting_reply_since = None
        self.effects.append(Dial(CONNECTION, self.backoff.next_delay_ms()))
