"""What a cold server gets from thirty gateways that go by the free value it tells them.

    python -m benchmarks.cold_start [SIGNAL] [LOAD] [SAID_FOR_S] [CORES] [SEEDS] [LIST]

One process of the program a case, started cold, its pool's cores as fast as the settings say. Gateways come
across it as often as across a warm server at that load, and keep a value in mind for as long as the settings
say. LIST is `late`: a third of them still have a predecessor at the address and send at once, the others are
told of the start one to three seconds later; or `whole`: all are told at one moment.

Counted in the time that the settings name, against N + 2 x root of N + 2: the work that arrived, in requests
of mean work, with the share of it that came from callers told of the start; and the mean of those wanting a
core. N is cores x (1 + (multiple - 1) x speed), the crowd that the settings allow then. Exit status 1 where
one is above, over two thirds of it (of the arrivals) from callers that were told. Last in a line: the tasks
by what their callers had in mind as they sent them: no value yet, one that they forgot, or a value.
"""

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time
from collections import Counter, deque
from functools import partial
from math import log, sqrt
from pathlib import Path
from typing import Any, NamedTuple

from pumicenotch.lab.cores import Cores, Work
from pumicenotch.lab.peers import GatewayPeer, PoolPeer
from pumicenotch.lab.world import Arrival, Stage
from tests.request_ids import rid

GATEWAYS, PLAY_S, AT_ONCE, SHARES = 30, 7.0, 4, (0.1, 0.21, 0.48)
WARM_S, FALL_S, MULTIPLE = 12.0, 2.0, 8.0
MEAN_WORK_MS, VARIATION = 250.0, 0.8
STEP_S = 0.01
START_S = 20.0  # for a process to listen: a second on a quiet machine
TOLD_AFTER_S = (1.0, 3.0)
UNTOLD_PART = 3  # one gateway in so many has not heard that the predecessor is gone
MOSTLY = 2.0 / 3.0
HERE = "127.0.0.1"
CLASS = {"name": "work", "target": 2_500_000, "deadline": 6_300_000, "effect": "repeatable"}


class Case(NamedTuple):
    kind: str = "bias"
    load: float = 0.95
    said_for_s: float = 1.0
    cores: int = 6
    share: float = 0.21
    seed: int = 1
    list: str = "late"

    def speed(self, at_s: float) -> float:
        return min(1.0, self.share + (1.0 - self.share) * at_s / WARM_S)

    def allowed(self, at_s: float) -> float:
        crowd = self.cores * (1.0 + (MULTIPLE - 1.0) * self.speed(at_s))
        return crowd + 2.0 * sqrt(crowd) + 2.0

    def settings(self) -> dict[str, Any]:
        family = {
            "cores": self.cores,
            "memory-kb": 9e4,
            "meters": ["core_use", "on_cores"],
            "below": "off",
        }
        family |= {"signal": self.kind, "callers": GATEWAYS, "cold": True}
        family["said-for"] = int(1e6 * self.said_for_s)
        rules = {
            "cold-share": self.share,
            "warm-after": int(1e6 * WARM_S),
            "fall": int(1e6 * FALL_S),
        }
        rules["fall-multiple"] = MULTIPLE
        return {"classes": [CLASS], "family-info": family, "rules": rules, "servers": 30}


class Most:
    """The highest of a measure against what is allowed at its moment."""

    def __init__(self) -> None:
        self.value, self.allowed, self.told = 0.0, 1.0, 0.0
        self.first_fall_told: float | None = None

    def look(self, value: float, allowed: float, told: float) -> None:
        if value / allowed > self.value / self.allowed:
            self.value, self.allowed, self.told = value, allowed, told
        if value > allowed and self.first_fall_told is None:
            self.first_fall_told = told

    @property
    def falls(self) -> bool:
        return self.first_fall_told is not None and self.first_fall_told > MOSTLY

    def __str__(self) -> str:
        first = self.first_fall_told
        fall = "" if first is None else f", first fall {100 * first:.0f}%"
        return (
            f"{self.value:.1f} of {self.allowed:.1f} (by told callers {100 * self.told:.0f}%{fall})"
        )


class Caller:
    """One gateway: a connection to the server, and the value that it was told last."""

    def __init__(self, play: "Play", number: int) -> None:
        self.play, self.number, self.told = play, number, number % UNTOLD_PART != 0
        self.peer: GatewayPeer | None = None
        self.value, self.value_at = 0.0, -1e9

    def sends(self, rank: float) -> bool:
        """Whether it does not skip the server, by the value that it still has in mind."""
        case, peer = self.play.case, self.peer
        if self.play.now() - self.value_at > case.said_for_s:
            return True  # as if nothing was said
        chance = self.play.random.random()
        match case.kind:
            case "tokens":
                return peer is None or len(peer.open) < int(self.value) + (
                    chance < self.value % 1.0
                )
            case "min_rank":
                return rank >= self.value
        return chance < self.value

    async def run(self) -> None:
        play, chance = self.play, self.play.random
        first = 0.0 if not self.told else chance.uniform(*TOLD_AFTER_S)
        if play.case.list == "whole":
            first, self.told = 0.0, True
        await asyncio.sleep(first)
        every = GATEWAYS * MEAN_WORK_MS / 1000.0 / (play.case.load * play.case.cores)
        while True:
            await asyncio.sleep(chance.expovariate(1.0 / every))
            rank = chance.random()
            if self.sends(rank):
                if self.peer is None:
                    _, self.peer = await play.loop.create_connection(
                        lambda: GatewayPeer(self.answered, lambda _: None), *play.address
                    )
                play.send(self, rank)

    def answered(
        self, peer: GatewayPeer, message: int, kind: str, _: bytes, fields: dict[str, str]
    ) -> None:
        peer.open.pop(message)
        self.play.answers[kind] += 1
        if "hint" in fields:  # without a signal in the settings nothing is told
            self.value, self.value_at = float(fields["hint"]), self.play.now()


class Play:
    def __init__(self, case: Case) -> None:
        self.case, self.loop = case, asyncio.get_running_loop()
        self.random = random.Random(case.seed)
        self.work = Work(Cores(case.cores, 1.0, 0.0, MULTIPLE))
        self.stage = Stage(
            name="work", share=1.0, work_ms=MEAN_WORK_MS, due_ms=2500.0, limit_ms=6300.0
        )
        self.pool: PoolPeer | None = None
        self.bound = asyncio.Event()
        self.began = 0.0
        self.address = (HERE, 0)
        self.tasks: dict[str, Arrival] = {}
        self.got: deque[tuple[float, float, bool]] = (
            deque()
        )  # when, in requests of mean work, from one told
        self.crowd: deque[int] = deque(maxlen=round(FALL_S / STEP_S))
        self.arrivals, self.on_cores = Most(), Most()
        self.answers: Counter[str] = Counter()
        self.knew: Counter[str] = (
            Counter()
        )  # tasks by what their callers had in mind as they sent them

    def now(self) -> float:
        """Seconds from the pool's start."""
        return self.loop.time() - self.began

    def send(self, caller: Caller, rank: float) -> None:
        now = self.now()
        age = now - caller.value_at
        self.knew[
            "none" if age > 1e6 else "forgotten" if age > self.case.said_for_s else "value"
        ] += 1
        sigma = sqrt(log(1.0 + VARIATION**2))
        work = MEAN_WORK_MS * self.random.lognormvariate(-0.5 * sigma * sigma, sigma)
        name = rid(f"{len(self.tasks):x}")
        task = Arrival(len(self.tasks), 1000.0 * now, stage=0, tenant=0, gateway=caller.number)
        task.work, task.body = work, b"x"
        self.tasks[name] = task
        unix_ms = int(1000.0 * time.time())
        fields = {"rid": name, "t0": str(unix_ms), "peer": str(caller.number), "mem": "25.0"}
        fields |= {"prio": f"{rank:.4f}", "est": f"{work:.2f}"}
        assert caller.peer is not None
        caller.peer.task(caller, "work", fields, b"x")
        self.got.append((now, work / MEAN_WORK_MS, caller.told))
        while self.got[0][0] < now - FALL_S:
            self.got.popleft()
        whole = sum(each[1] for each in self.got)
        told = sum(each[1] for each in self.got if each[2])
        self.arrivals.look(whole, self.case.allowed(now), told / whole)

    # The pool

    def linked(self, pool: PoolPeer) -> None:
        self.pool = pool

    def command(self, msg: str, told: dict[str, Any]) -> None:
        assert self.pool is not None
        self.advance()
        match msg:
            case "bind":
                self.began = self.loop.time()
                self.work.cores.at = 0.0
                self.pool.tell("bound", how="starting", duration=0)
                self.bound.set()
            case "poll":
                self.pool.tell("polled", cookie=told["cookie"], stats=self.work.cores.gauges(0)[:2])
            case "spawn":
                self.work.spawn(
                    1000.0 * self.now(), told["call"], self.tasks[told["call"]], self.stage
                )
            case "suspend" | "proceed":
                self.work.pause(told["call"], msg == "suspend")

    def advance(self) -> None:
        if self.bound.is_set() and self.pool is not None:
            self.work.cores.factor = self.case.speed(self.now())
            for notice in self.work.advance(1000.0 * self.now()):
                self.pool.notice(*notice)

    async def step(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            self.advance()
            self.crowd.append(self.work.cores.wanting())
            mean = sum(self.crowd) / (self.crowd.maxlen or 1)
            self.on_cores.look(mean, self.case.allowed(self.now()), 0.0)

    async def run(self, folder: Path) -> None:
        listener = await self.loop.create_server(
            partial(PoolPeer, self.linked, self.command), HERE, 0
        )
        pool = "{}:{}".format(*listener.sockets[0].getsockname()[:2])
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        told = {"name": "n1", "listen": f"{HERE}:0", "pool": pool, "seed": f"{self.case.seed:x}"}
        config = folder / "config.json"
        config.write_text(
            json.dumps({**told, "stop_ms": 500, "limits": limits, "settings": self.case.settings()})
        )
        environment = {**os.environ, "LB_CONFIG": str(config)}
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "pumicenotch", stderr=asyncio.subprocess.PIPE, env=environment
        )
        try:
            async with asyncio.timeout(START_S):
                self.address = await listening(process)
                await self.bound.wait()
            await self.load()
        finally:
            process.send_signal(signal.SIGKILL)
            await process.wait()
            listener.close()

    async def load(self) -> None:
        callers = [Caller(self, number) for number in range(GATEWAYS)]
        running = [
            asyncio.create_task(each) for each in (self.step(), *(one.run() for one in callers))
        ]
        done, _ = await asyncio.wait(running, timeout=PLAY_S, return_when=asyncio.FIRST_EXCEPTION)
        for each in running:
            each.cancel()
        for one in callers:
            if one.peer is not None:
                one.peer.cut()
        for each in done:
            each.result()  # raises what it failed with


async def listening(process: asyncio.subprocess.Process) -> tuple[str, int]:
    assert process.stderr is not None
    while line := (await process.stderr.readline()).decode():
        if "listening on " in line:
            host, _, port = line.partition("listening on ")[2].strip().rpartition(":")
            return host, int(port)
    raise RuntimeError("the server ended before it listened")


async def played(case: Case, room: asyncio.Semaphore) -> Play:
    async with room:
        play = Play(case)
        with tempfile.TemporaryDirectory() as folder:
            await play.run(Path(folder))
        return play


async def main(case: Case, seeds: int) -> int:
    room = asyncio.Semaphore(AT_ONCE)
    cases = [
        case._replace(share=share, seed=seed) for share in SHARES for seed in range(1, seeds + 1)
    ]
    plays = await asyncio.gather(*(played(each, room) for each in cases))
    print(
        f"{case.kind}, load {case.load:g}, in mind for {case.said_for_s:g} s, {case.cores} cores, "
        f"list {case.list}"
    )
    for play in plays:
        answers = ", ".join(f"{kind} {count}" for kind, count in sorted(play.answers.items()))
        knew = ", ".join(f"{kind} {count}" for kind, count in sorted(play.knew.items()))
        on_cores = f"{play.on_cores.value:.1f} of {play.on_cores.allowed:.1f}"
        print(
            f"share {play.case.share:g}, seed {play.case.seed}: arrived {play.arrivals}; "
            f"on cores {on_cores}; {answers}; sent knowing {knew}"
        )
    return int(
        any(play.arrivals.falls or play.on_cores.first_fall_told is not None for play in plays)
    )


if __name__ == "__main__":
    words = sys.argv[1:]
    told = dict(zip(("kind", "load", "said_for_s", "cores", "seeds", "list"), words, strict=False))
    seeds = int(told.pop("seeds", "3"))
    kinds: dict[str, Any] = {
        "kind": str,
        "load": float,
        "said_for_s": float,
        "cores": int,
        "list": str,
    }
    sys.exit(
        asyncio.run(main(Case(**{name: kinds[name](word) for name, word in told.items()}), seeds))
    )
