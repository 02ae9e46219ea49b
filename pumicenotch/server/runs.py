"""The link to the worker pool: its notices' numbers, and the commands that may not have arrived yet."""

from collections import deque
from typing import Any

from pumicenotch.server.backoff import Backoff
from pumicenotch.server.effects import Close, Dial, Effect, Write
from pumicenotch.server.tasks import Held

LINK = "pool"


class Runs:
    """Commands go out in order, and an answered poll proves that all before it arrived. After a new link the
    notices missed come first, then a poll's answer, then the commands that are not proven and not overtaken
    by a notice about their task go out again.
    """

    # An answer to `bind` or `poll` takes a millisecond: after a thousand times that the link is taken for
    # dead though it is up. Does little harm where all stand still together: the link is made once more.
    HANGS_MS = 1000.0

    def __init__(self, effects: list[Effect], backoff: Backoff) -> None:
        self.effects, self.backoff = effects, backoff
        self.serial = 0  # of the last notice read
        self.missing_after = -1  # the notice before the last one found missing
        self.polls = 0
        self.asked_at: float | None = None  # of a `bind` or `poll` that is not answered yet
        self.up = False  # the link takes commands
        self.unproven: deque[tuple[int, int, Held, tuple[Any, ...]]] = deque()

    def send(self, held: Held, *message: Any) -> None:
        self.unproven.append((self.polls, held.heard, held, message))
        if self.up:
            self.effects.append(Write(LINK, message))

    def linked(self, now: float) -> None:
        self.asked_at = now
        self.effects.append(Write(LINK, ("bind", self.serial)))

    def bound(self, now: float) -> None:
        self.backoff.reset()
        self.poll(now)

    def hangs(self, now: float) -> bool:
        return self.asked_at is not None and now - self.asked_at > self.HANGS_MS

    def renew(self) -> None:
        """Another link in the place of this one, or of the dial that is on its way."""
        self.effects.append(Close(LINK))
        self.lost()

    def poll(self, now: float) -> None:
        self.polls += 1
        self.asked_at = now
        self.effects.append(Write(LINK, ("poll", str(self.polls))))

    def answered(self, cookie: str) -> bool:
        """Whether it answers the last poll; the first on a new link opens it for commands."""
        if cookie != str(self.polls):
            return False
        self.asked_at = None
        if self.up:
            while self.unproven and self.unproven[0][0] < self.polls:
                self.unproven.popleft()
        else:
            self.up = True
            again = [
                (held, message) for _, heard, held, message in self.unproven if heard == held.heard
            ]
            self.unproven.clear()
            for held, message in again:
                self.send(held, *message)
        return True

    def unlinked(self) -> None:
        self.backoff.failed()
        self.lost()

    def lost(self) -> None:
        self.up, self.asked_at = False, None
        self.effects.append(Dial(LINK, self.backoff.wait()))

    def fresh(self, serial: int) -> bool:
        """Whether the notice is the next to be read; one read before is replayed and skipped. Where one is
        missing, as it came spoilt, a new link brings it again with all after it. It does so once for each:
        what is spoilt for good must not hold up the others.
        """
        if serial <= self.serial:
            return False
        if serial > self.serial + 1 and self.missing_after != self.serial:
            self.missing_after = self.serial
            self.renew()
            return False
        self.serial = serial
        return True
