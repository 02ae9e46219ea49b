"""Clients and their gateways: who sends a task, again, where and when. One reducer for both carriers."""

import random
from collections.abc import Callable
from typing import Protocol

from pumicenotch.lab.attempt import Attempt
from pumicenotch.lab.ledger import Ledger
from pumicenotch.lab.world import Arrival, World, habits


def fields(world: World, sent: Attempt, t0_ms: float) -> dict[str, str]:
    """What a gateway tells of a try that reaches the machine at that time (Unix ms)."""
    task = sent.task
    told = {
        "rid": sent.rid,
        "t0": str(int(t0_ms)),
        "peer": str(task.gateway),
        "acct": world.tenant[task.tenant].name,
        "mem": "25.0",
        "prio": "0.5",
    }
    if task.hint is not None:
        told["est"] = f"{task.hint:.2f}"
    if sent.again:
        told["again"] = "1"
    if task.token:
        told["token"] = task.token
    return told


class Wire(Protocol):
    """What a carrier does for the clients. Times in ms from the run's begin."""

    def send(self, now: float, attempt: Attempt) -> None: ...

    def cancel(self, now: float, attempt: Attempt) -> None: ...

    def at(self, when: float, do: Callable[[float], None]) -> None: ...


class Gateway:
    def __init__(self, heeds: bool, servers: int) -> None:
        self.heeds, self.turn = heeds, 0
        self.away = [0.0] * servers  # until when it stays away from each


class Clients:
    MOST_DOUBLINGS = 4

    def __init__(self, world: World, seed: int, wire: Wire, ledger: Ledger) -> None:
        self.world, self.wire, self.ledger = world, wire, ledger
        self.habits = habits(world)
        chance = random.Random(seed ^ 0x5EED)
        self.spread = chance.uniform
        self.servers = world.routers or world.servers  # what the gateways see of the world
        self.gateways = [
            Gateway(chance.random() < each.heeds, self.servers) for each in self.habits
        ]
        self.rids = chance.getrandbits
        self.open = 0

    def wanted(self, now: float, task: Arrival) -> None:
        """A client wants a task served; answers don't hold back the next."""
        self.open += 1
        self.ledger.wanted(task)
        self.attempt(now, task, 1, None)

    def attempt(self, now: float, task: Arrival, number: int, before: int | None) -> None:
        gateway = self.gateways[task.gateway]
        server = (
            before if before is not None and self.habits[task.gateway].server == "same" else None
        )
        if server is None:
            server = self.choose(now, gateway, before)
        marked = number > 1 and self.habits[task.gateway].marks
        sent = Attempt(f"{self.rids(64):016x}", task, server, number, marked, now)
        self.ledger.written(now, sent)
        limit = task.at + self.world.stage[task.stage].limit_ms
        self.wire.at(limit, lambda late: self.give_up(late, sent))
        self.wire.send(now, sent)

    def choose(self, now: float, gateway: Gateway, before: int | None) -> int:
        """Round its list, past those it was asked to stay away from while there are others."""
        for _ in range(self.servers):
            gateway.turn = (gateway.turn + 1) % self.servers
            if gateway.turn != before and not (gateway.heeds and now < gateway.away[gateway.turn]):
                break
        return gateway.turn

    def give_up(self, now: float, sent: Attempt) -> None:
        if not sent.settled:
            sent.settled = True
            self.ledger.cancelled(now, sent)
            self.wire.cancel(now, sent)
            self.over(now, sent, "late")

    def answered(
        self,
        now: float,
        sent: Attempt,
        kind: str,
        body: bytes = b"",
        stay_away_ms: float = 0.0,
        last: bool = False,
    ) -> None:
        """The wire brought an answer: `served`, `rejected`, `failed`; or `lost` with the connection, or
        `refused` before one was made.
        """
        self.ledger.answered(now, sent, kind, body)
        if sent.settled:
            return
        sent.settled = True
        stage, habit = self.world.stage[sent.task.stage], self.habits[sent.task.gateway]
        gateway = self.gateways[sent.task.gateway]
        pause = (
            habit.pause_ms
            * 2.0 ** min(sent.number - 1, self.MOST_DOUBLINGS)
            * self.spread(0.5, 1.0)
        )
        if gateway.heeds:
            gateway.away[sent.server] = max(gateway.away[sent.server], now + stay_away_ms)
            if last and self.servers > 1 and habit.server == "next":
                pause = float("inf")
            elif habit.server == "same" or self.servers == 1:
                pause = max(pause, stay_away_ms)
        again = kind in ("rejected", "refused") or (
            kind == "lost" and stage.effect != "side-effecting"
        )
        if again and sent.number < habit.tries and now + pause < sent.task.at + stage.limit_ms:
            self.wire.at(
                now + pause,
                lambda then: self.attempt(then, sent.task, sent.number + 1, sent.server),
            )
        else:
            self.over(now, sent, kind)

    def over(self, now: float, sent: Attempt, kind: str) -> None:
        self.open -= 1
        self.ledger.ended(now, sent.task, kind, sent.number)
