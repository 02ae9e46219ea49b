"""Calls below on their links: one call a link, so that what spoils one reply takes no other call along."""

from collections import deque
from itertools import count

from pumicenotch.interface import Idempotency, Outcome
from pumicenotch.server.backoff import Backoff
from pumicenotch.server.effects import Close, Dial, Effect, Write
from pumicenotch.server.tasks import Held

PARTY = "db"
ENDS = {
    "ROWS": Outcome.OK,
    "FULL": Outcome.REJECTED,
    "FAIL": Outcome.ERROR,
    "TIMEOUT": Outcome.TIMEOUT,
    "NONE": Outcome.NOT_STARTED,
}


class Call:
    def __init__(self, held: Held, until: float) -> None:
        self.held, self.until = held, until
        self.link = ""  # none yet
        self.written = False


class Way:
    """One link and the call on it."""

    def __init__(self, call: Call) -> None:
        self.call: Call | None = call
        self.served = (
            ""  # whose call was the last: a late copy of its reply must not be taken for another
        )
        self.up = self.old = False
        self.used_at = 0.0


class Calls:
    IDLE_MS = (
        5000.0  # links are closed on us after 10 s: half, so that no call crosses such a close
    )
    # A link that idled longer may be dead without our knowing, and a call lost on it cannot be proven not to
    # have run. One that may not be made again goes by a link just used or a new one, which costs half a
    # millisecond; under load nearly all links were used within this.
    TRUST_MS = 50.0

    def __init__(self, effects: list[Effect], backoff: Backoff, most: int) -> None:
        self.effects, self.backoff, self.most = effects, backoff, most
        self.numbers = count(1)
        self.ways: dict[str, Way] = {}
        self.free: list[str] = []  # up and idle, the one used last at the end
        self.calls: dict[str, Call] = {}  # in hand, by the task's name
        self.waiting: deque[Call] = deque()  # for a link, beyond the most

    def start(self, now: float, held: Held, for_ms: float) -> Call:
        self.give_up(held)
        call = self.calls[held.name] = Call(held, now + for_ms)
        self.place(now, call)
        return call

    def place(self, now: float, call: Call) -> None:
        idle_most = (
            self.IDLE_MS if call.held.stage.idempotency is Idempotency.IDEMPOTENT else self.TRUST_MS
        )
        for at in range(len(self.free) - 1, -1, -1):
            way = self.ways[self.free[at]]
            if now - way.used_at > idle_most:
                break
            if way.served != call.held.name:
                self.write(now, self.free.pop(at), way, call)
                return
        if len(self.ways) >= self.most and self.free:
            self.close(self.free[0])
        if len(self.ways) >= self.most:
            self.waiting.append(call)
            return
        call.link = f"{PARTY}-{next(self.numbers)}"
        self.ways[call.link] = Way(call)
        self.effects.append(Dial(call.link, self.backoff.wait()))

    def write(self, now: float, link: str, way: Way, call: Call) -> None:
        way.call, call.link, call.written, way.served = call, link, True, call.held.name
        message = ("call", call.held.name, max(1, round(call.until - now)), call.held.asked)
        self.effects.append(Write(link, message))

    def next(self, now: float) -> None:
        """A link was freed or lost: the next call that waits for one takes its turn."""
        while self.waiting and (self.free or len(self.ways) < self.most):
            call = self.waiting.popleft()
            if self.in_hand(call):
                self.place(now, call)

    def give_up(self, held: Held) -> bool:
        """Gives up the task's call, if one is in hand, with its link; whether it may have arrived."""
        call = self.calls.pop(held.name, None)
        if call is None:
            return False
        way = self.ways.get(call.link)
        if way is not None:
            way.call = None
            if way.up:
                self.close(call.link)
        return call.written

    def in_hand(self, call: Call) -> bool:
        return self.calls.get(call.held.name) is call

    def replied(self, now: float, link: str, name: str) -> Held | None:
        """The task whose call this reply ends; none if it is no reply to the link's call."""
        way = self.ways.get(link)
        if way is None or way.call is None or way.call.held.name != name:
            return None
        held, way.call = way.call.held, None
        del self.calls[name]
        self.idle(now, link, way)
        return held

    def linked(self, now: float, link: str) -> None:
        way = self.ways.get(link)
        if way is None:
            self.effects.append(Close(link))
            return
        way.up = True
        self.backoff.reset()
        if way.call is not None:
            self.write(now, link, way, way.call)
        else:
            self.idle(now, link, way)

    def idle(self, now: float, link: str, way: Way) -> None:
        way.used_at = now
        if way.old:
            self.close(link)
        else:
            self.free.append(link)
        self.next(now)

    def unlinked(self, now: float, link: str) -> tuple[Held, Outcome] | None:
        """The call that ends with the link: one not written never ran, of any other that is not proven."""
        way = self.ways.get(link)
        if way is None:
            return None
        self.drop(link)
        if not way.up:
            self.backoff.failed()
        call = way.call
        if call is not None:
            del self.calls[call.held.name]
        self.next(now)
        return (
            (call.held, Outcome.RESET if call.written else Outcome.UNREACHABLE)
            if call is not None
            else None
        )

    def close_idle(self, now: float) -> None:
        while self.free and now - self.ways[self.free[0]].used_at > self.IDLE_MS:
            self.close(self.free[0])

    def close(self, link: str) -> None:
        self.drop(link)
        self.effects.append(Close(link))

    def drop(self, link: str) -> None:
        del self.ways[link]
        if link in self.free:
            self.free.remove(link)

    def moved(self, now: float) -> None:
        """The database has a new address: calls on the old links may end there, all others go to the new."""
        self.backoff.reset()
        for link, way in list(self.ways.items()):
            if way.up and way.call is not None:
                way.old = True
                continue
            self.close(link)
            if way.call is not None:
                self.place(now, way.call)
