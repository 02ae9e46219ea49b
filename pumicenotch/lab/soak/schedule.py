"""What one run of the soak does, drawn from its seed: the same seed draws the same schedule."""

import random
from enum import StrEnum
from typing import NamedTuple

STOP_MS = 1500.0  # from the first SIGTERM to SIGKILL
GRACES_MS = (200.0, 600.0, 2000.0)  # for which the settings let gateways send after the notice
CROWD_FRACTION = 1 / 3  # of the seeds
CROWD_CLIENTS = 120
CLIENTS = (6, 30)  # without a crowd
NOTICE_MS = (500.0, 1200.0)  # from the first request
SERIES_SIGNALS = ("SIGHUP", "SIGUSR1", "SIGTERM", "SIGINT")
MAX_SERIES_SIGNALS = 6
MAX_RELOADS = 4
POOL_STALLS_MS = (100.0, 700.0)
LONG_POOL_STALL_MS = 1300.0  # longer than a server waits for an answered poll
REGISTRY_OUTAGE_MS = (200.0, 2000.0)


class ClientKind(StrEnum):
    """How a client uses its connection."""

    STEADY = "steady"  # one request at a time
    PIPELINED = "pipelined"  # several at a time
    SLOW_WRITER = "slow writer"  # frames in pieces, with pauses between them
    RESTING = "resting"  # a health check and half a frame, then nothing
    RESETTING = "resetting"  # as a steady one, and resets its connection now and then


# How many of each kind there are among a hundred.
KIND_WEIGHTS = {
    ClientKind.STEADY: 55,
    ClientKind.PIPELINED: 20,
    ClientKind.SLOW_WRITER: 12,
    ClientKind.RESTING: 8,
    ClientKind.RESETTING: 5,
}


class ClientPlan(NamedTuple):
    """One client: what it does from its first connection to the kill."""

    kind: ClientKind
    opens_at_ms: float
    pause_ms: float  # between an answer and the next request
    depth: int  # requests open at a time
    seed: int


class TimedSignal(NamedTuple):
    """A signal, and when it is sent after the first SIGTERM."""

    after_ms: float
    name: str


class Outage(NamedTuple):
    """A party that stands still, or is not there, from then on for that long."""

    at_ms: float
    for_ms: float


class Schedule(NamedTuple):
    """One run. Times count from the first request in ms, or from where a name says."""

    seed: int
    stop_ms: float
    grace_ms: float
    cores: int
    notice_at_ms: float
    signals: tuple[TimedSignal, ...]
    reloads_at_ms: tuple[float, ...]
    pool_stall: Outage | None
    registry_outage: Outage | None
    run_ms: tuple[float, float]
    long_run_fraction: float  # runs that end after the kill
    keyed_fraction: float
    retry_fraction: float  # of keyed requests, sent on a second connection at the same time
    clients: tuple[ClientPlan, ...]
    core_share: float = 1.0  # that the server may use, from its notice on

    def describe(self) -> str:
        """Returns the schedule without its single clients, on one line."""
        kinds = [client.kind.value for client in self.clients]
        clients = ", ".join(f"{kinds.count(kind)} {kind}" for kind in dict.fromkeys(kinds))
        signals = ", ".join(f"{each.name} +{each.after_ms:.0f}" for each in self.signals)
        reloads = ", ".join(f"{at_ms:.0f}" for at_ms in self.reloads_at_ms)
        return (
            f"SIGTERM at {self.notice_at_ms:.0f} ms, SIGKILL {self.stop_ms:.0f} ms later;"
            f" then [{signals}]; reloads at [{reloads}]; grace {self.grace_ms:.0f} ms;"
            f" pool stall {_describe(self.pool_stall)},"
            f" registry outage {_describe(self.registry_outage)};"
            f" {self.cores} cores, runs of {self.run_ms[0]:.0f} to {self.run_ms[1]:.0f} ms;"
            f" clients: {clients}"
        )


def _describe(outage: Outage | None) -> str:
    return f"{outage.at_ms:.0f}+{outage.for_ms:.0f} ms" if outage is not None else "none"


def draw_schedule(seed: int) -> Schedule:
    """Draws a run."""
    rng = random.Random(seed)
    is_crowd = rng.random() < CROWD_FRACTION
    count = CROWD_CLIENTS if is_crowd else rng.randint(*CLIENTS)
    notice_at_ms = rng.uniform(*NOTICE_MS)
    return Schedule(
        seed=seed,
        stop_ms=STOP_MS,
        grace_ms=rng.choice(GRACES_MS),
        cores=rng.choice((1, 2, 6)),
        notice_at_ms=notice_at_ms,
        signals=_draw_signals(rng),
        reloads_at_ms=_draw_reloads(rng, notice_at_ms),
        pool_stall=_draw_pool_stall(rng, notice_at_ms),
        registry_outage=_draw_registry_outage(rng),
        run_ms=(2.0, rng.choice((10.0, 40.0, 150.0))),
        long_run_fraction=rng.choice((0.0, 0.02)),
        keyed_fraction=rng.choice((0.0, 0.4)),
        retry_fraction=0.2,
        clients=tuple(_draw_client(rng, is_crowd) for _ in range(count)),
    )


def _draw_signals(rng: random.Random) -> tuple[TimedSignal, ...]:
    count = rng.randint(0, MAX_SERIES_SIGNALS) if rng.random() < 0.7 else 0
    times_ms = sorted(rng.uniform(0.0, STOP_MS) for _ in range(count))
    return tuple(TimedSignal(at_ms, rng.choice(SERIES_SIGNALS)) for at_ms in times_ms)


def _draw_reloads(rng: random.Random, notice_at_ms: float) -> tuple[float, ...]:
    count = rng.randint(1, MAX_RELOADS) if rng.random() < 0.4 else 0
    return tuple(sorted(rng.uniform(0.0, notice_at_ms) for _ in range(count)))


def _draw_pool_stall(rng: random.Random, notice_at_ms: float) -> Outage | None:
    if rng.random() >= 0.3:
        return None
    for_ms = LONG_POOL_STALL_MS if rng.random() < 0.3 else rng.uniform(*POOL_STALLS_MS)
    return Outage(rng.uniform(0.0, notice_at_ms + STOP_MS / 2.0), for_ms)


def _draw_registry_outage(rng: random.Random) -> Outage | None:
    """Draws an outage from the server's start on: its registry comes back meanwhile."""
    return Outage(0.0, rng.uniform(*REGISTRY_OUTAGE_MS)) if rng.random() < 0.3 else None


def _draw_client(rng: random.Random, is_crowd: bool) -> ClientPlan:
    kind = rng.choices(list(KIND_WEIGHTS), list(KIND_WEIGHTS.values()))[0]
    pause_ms = rng.uniform(20.0, 80.0) if is_crowd else rng.uniform(1.0, 20.0)
    return ClientPlan(
        kind=kind,
        opens_at_ms=rng.uniform(0.0, 300.0),
        pause_ms=pause_ms,
        depth=rng.randint(2, 8) if kind is ClientKind.PIPELINED else 1,
        seed=rng.getrandbits(32),
    )
