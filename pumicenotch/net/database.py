"""The database's protocol: lines that end in CR LF, bodies of a told length."""

import re

from pumicenotch.net.dial import Put
from pumicenotch.net.link import Frame

HEAD = re.compile(
    rb"(?P<name>[0-9a-f]{16}) (ROWS (?P<length>[0-9]{1,9})|(?P<how>FULL|FAIL|TIMEOUT|NONE))"
)
HEAD_MOST = 64  # an id, a word and a length, and some more
BODY_MOST = 64 * 1024  # far above any reply
FRAMES: dict[str, Frame] = {  # a call is given up with its link, so there is no X
    "call": lambda name, ms, body: b"Q %b %d %d\r\n%b\r\n" % (name.encode(), ms, len(body), body),
}


class Reader:
    def __init__(self, put: Put, link: str) -> None:
        self.put, self.link = put, link
        self.data = b""

    def feed(self, data: bytes) -> None:
        """What cannot be read, has no end or does not fit its length is known as soon as may be: the call on
        this link has nothing else to wait for.
        """
        self.data += data
        at = 0
        while (end := self.data.find(b"\r\n", at)) >= 0:
            if (head := HEAD.fullmatch(self.data, at, end)) is None:
                raise ValueError(f"no reply: {self.data[at:end][:80]!r}")
            name, how, length = head["name"].decode(), (head["how"] or b"ROWS").decode(), 0
            body, end = b"", end + 2
            if how == "ROWS":
                length = int(head["length"])
                if length > BODY_MOST:
                    raise ValueError(f"a reply of {length} bytes")
                if len(self.data) < end + length + 2:
                    break
                body, end = self.data[end : end + length], end + length + 2
                if self.data[end - 2 : end] != b"\r\n":
                    raise ValueError("no CR LF after a reply")
            self.put("replied", self.link, name, how, body)
            at = end
        self.data = self.data[at:]
        if len(self.data) > HEAD_MOST and b"\r\n" not in self.data[:HEAD_MOST]:
            raise ValueError("a line too long")
