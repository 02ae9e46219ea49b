"""Encodes and decodes the database's protocol: lines ending in CR LF, and bodies with a length."""

import re

from pumicenotch.interface import Outcome
from pumicenotch.net.dialer import Deliver, DialedProtocol
from pumicenotch.net.outbox import Encoders
from pumicenotch.server.events import DependencyReplied
from pumicenotch.server.messages import DependencyCall

HEAD = re.compile(
    rb"(?P<name>[0-9a-f]{16}) (ROWS (?P<length>[0-9]{1,9})|(?P<kind>FULL|FAIL|TIMEOUT|NONE))"
)
MAX_HEAD_BYTES = 64  # An id, a keyword and a length, with a margin.
MAX_BODY_BYTES = 64 * 1024  # Well above any valid reply.
MAX_UNREAD_BYTES = 64 * 1024  # A connection carries one call of a few KB.
MAX_LOGGED_BYTES = 80
# Outcome of a reply without a body, by its keyword.
OUTCOMES = {
    b"FULL": Outcome.REJECTED,
    b"FAIL": Outcome.ERROR,
    b"TIMEOUT": Outcome.TIMEOUT,
    b"NONE": Outcome.NOT_STARTED,
}


def encode_call(message: DependencyCall) -> bytes:
    """Encodes a call: a head line with name, timeout in ms and length, then the body."""
    name = message.name.encode()
    head = b"Q %b %d %d\r\n" % (name, message.timeout_ms, len(message.body))
    return head + message.body + b"\r\n"


# Closing the connection abandons its call, so the protocol's cancel command X is not used.
ENCODERS: Encoders = {DependencyCall: encode_call}


class DatabaseReader:
    """Decodes the replies on one connection into events.

    Args:
        deliver: Receives the events.
        connection: The connection's name.
    """

    def __init__(self, deliver: Deliver, connection: str) -> None:
        self.deliver = deliver
        self.connection = connection
        self.data = b""

    def feed(self, data: bytes) -> bool:
        """Decodes received bytes.

        Raises:
            ValueError: A reply is malformed, a line is too long, or a body does not match its
                length. Raised as early as possible, because the call on this connection cannot
                receive another reply.
        """
        self.data += data
        replies_end = 0
        while (line_end := self.data.find(b"\r\n", replies_end)) >= 0:
            reply_end = self._read_reply(replies_end, line_end)
            if reply_end is None:
                break
            replies_end = reply_end
        self.data = self.data[replies_end:]
        if len(self.data) > MAX_HEAD_BYTES and b"\r\n" not in self.data[:MAX_HEAD_BYTES]:
            raise ValueError("reply line is too long")
        return False

    def _read_reply(self, start: int, line_end: int) -> int | None:
        """Delivers a reply; returns its end, or None if its body is incomplete."""
        head = HEAD.fullmatch(self.data, start, line_end)
        if head is None:
            raise ValueError(f"malformed reply: {self.data[start:line_end][:MAX_LOGGED_BYTES]!r}")
        name = head["name"].decode()
        body_start = line_end + 2
        if head["kind"] is not None:
            self.deliver(DependencyReplied(self.connection, name, OUTCOMES[head["kind"]], b""))
            return body_start
        length = int(head["length"])
        if length > MAX_BODY_BYTES:
            raise ValueError(f"reply body is too long: {length} bytes")
        body_end = body_start + length
        if len(self.data) < body_end + 2:
            return None
        if self.data[body_end : body_end + 2] != b"\r\n":
            raise ValueError("reply body does not end with CR LF")
        body = self.data[body_start:body_end]
        self.deliver(DependencyReplied(self.connection, name, Outcome.OK, body))
        return body_end + 2


PROTOCOL = DialedProtocol(ENCODERS, DatabaseReader, MAX_UNREAD_BYTES)
