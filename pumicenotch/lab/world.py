"""What an experiment's world consists of, as read from its file; what a server in it is told; its
arrivals.
"""

from collections.abc import Sequence
from typing import Annotated, Any, Literal

import numpy as np
from pydantic import Field, model_validator

from pumicenotch.config.fleet import BudgetBlock
from pumicenotch.config.schema import Schema

Part = Annotated[float, Field(ge=0.0, le=1.0)]
Positive = Annotated[float, Field(gt=0.0)]
DAY_S = 86400.0
EFFECTS = {"restartable": "repeatable", "fingerprinted": "by_key", "side-effecting": "once"}


class Stage(Schema):
    name: str
    share: Positive
    work_ms: Positive
    cv: Annotated[float, Field(ge=0.0, le=5.0)] = 0.7
    due_ms: Positive
    limit_ms: Positive
    utility: Positive = 1.0
    effect: Literal["restartable", "fingerprinted", "side-effecting"] = "restartable"
    window_ms: Annotated[float, Field(ge=0.0)] = 0.0
    calls: Annotated[int, Field(ge=0, le=3)] = 0
    skip_utility: Part = 0.0
    io_ms: Annotated[float, Field(ge=0.0)] = 0.0  # waits for disk: a place is held, a core is not


class Tenant(Schema):
    name: str
    share: Positive  # as it is told to the servers
    traffic: Positive | None = None  # its part of what is sent; without it, its share
    allowance_per_s: Positive | None = None
    only: str | None = None  # the one stage that it sends


class Gateways(Schema):
    """Habits of all gateways, or of as many as `count` says where several blocks stand."""

    count: Annotated[int, Field(ge=1, le=4000)] = 4
    tries: Annotated[int, Field(ge=1, le=1000)] = 2  # of one task in all
    pause_ms: Annotated[float, Field(ge=0.0)] = (
        20.0  # before the next, doubled each time up to 16 times
    )
    marks: bool = True
    heeds: Part = (
        1.0  # part of the gateways that keep to advice: staying away, trying no other server
    )
    server: Literal["same", "next"] = "next"
    weight: Positive = 1.0  # of the traffic, for each


class Phase(Schema):
    """From `at_s` on: another load, other shares of the stages, until the next phase."""

    at_s: Annotated[float, Field(ge=0.0)]
    load: Positive | None = None
    shares: dict[str, float] = Field(default_factory=dict)


class Fault(Schema):
    kind: Literal[
        "slow_cores",
        "hang_pool",
        "cut_pool",
        "stall",
        "slow_database",
        "drain",
        "reload",
        "kill",
        "move",
        "kill_router",
        "flood",
        "drain_all",
        "kill_leader",
        "cut_zone",
        "link",
        "release",
        "kill_agent",
        "lose",
        "cut_region",
        "replace",
        "kill_relays",
    ]
    at_s: Annotated[float, Field(ge=0.0)]
    for_s: Annotated[float, Field(ge=0.0)] = 1.0
    factor: Positive = (
        0.25  # of the speed that slow cores have; times that a slow database takes longer
    )
    server: Annotated[int, Field(ge=0)] = 0
    tenant: str = ""  # of a move or a flood
    cell: str = ""  # that it moves to
    pools: str | None = None  # of a reload: the file taken, "" for none
    zone: str = ""  # that is cut off from the others, or loses hollow instances
    region: str = ""  # that is cut off, as far as its instances are hollow
    many: Annotated[int, Field(ge=0)] = (
        0  # hollow instances that are lost at once; 0: all of the zone
    )
    a_day: Positive = 2900.0  # replacements
    label: Annotated[str, Field(pattern=r"^[a-z][a-z0-9_]{0,31}$")] | None = (
        None  # begins its figures' names
    )
    # of a link: names or zones; what each says to each of `others` meets the fault
    between: tuple[str, ...] = ()
    others: tuple[str, ...] = ()  # none: everybody else
    one_way: bool = False
    cut: bool = False
    delay_ms: Annotated[float, Field(ge=0.0)] = 0.0
    loss: Part = 0.0  # for each frame, that its connection breaks
    copies: Part = 0.0  # for each request, that it comes twice
    bytes_per_s: Positive | None = None


class Hollow(Schema):
    """Instances of a fleet with no requests behind them, many in a process."""

    real: Annotated[int, Field(ge=1, le=100)] = 6  # of the servers; all others are hollow
    instances: Annotated[int, Field(ge=0, le=20_000)] = 0  # follows from the world's servers
    callers: Annotated[int, Field(ge=0, le=20_000)] = (
        0  # idle connections to the real servers, over all
    )
    knows: bool = (
        True  # each other at the start, as after a day in service; else they join as strangers
    )


class Configuration(Schema):
    """What is published to a fleet while it runs, and who needs which part of it."""

    tenants: Annotated[int, Field(ge=1, le=100_000)] = 54_000
    routes: Annotated[int, Field(ge=1, le=100_000)] = 40_000
    cells: Annotated[int, Field(ge=1, le=999)] = (
        60  # scopes of tenants: an instance needs one of its zone
    )
    services: Annotated[int, Field(ge=1, le=9999)] = 1200  # scopes of routes
    services_each: Annotated[int, Field(ge=1, le=100)] = 8  # that an instance needs
    a_day: Positive = 16_000.0  # publications
    burst: Annotated[int, Field(ge=1, le=1000)] = 50  # at once, now and then
    burst_every_s: Positive = 30.0
    settle_s: Positive = 12.0  # at the end without any, before all that is served is looked at


class World(Schema):
    stage: tuple[Stage, ...]
    tenant: tuple[Tenant, ...] = (Tenant(name="all", share=1.0),)
    gateways: tuple[Gateways, ...] = (Gateways(),)
    phase: tuple[Phase, ...] = ()
    fault: tuple[Fault, ...] = ()
    servers: Annotated[int, Field(ge=1, le=1000)] = 1
    routers: Annotated[int, Field(ge=0, le=16)] = (
        0  # in front; with none, gateways send to the servers
    )
    cells: Annotated[int, Field(ge=1, le=100)] = 1  # that the servers make, behind routers
    voters: Literal[0, 1, 3, 5, 7] = 0  # of a fleet that the servers are in
    configuration: Configuration | None = (
        None  # that hollow instances take from the voters and each other
    )
    hollow: Hollow | None = None  # beside the real ones; `servers` then counts both
    zones: Annotated[int, Field(ge=1, le=64)] = (
        1  # that servers and voters are spread over: z0, z1, ...
    )
    regions: Annotated[int, Field(ge=1, le=16)] = 1  # that the zones are spread over: g0, g1, ...
    budget: tuple[BudgetBlock, ...] = ()  # of the fleet
    agents: bool = False  # beside the servers, which then are started by them
    soak_ms: Positive = 2000.0  # of a release
    mixed: bool = False  # its waves have nodes of several zones
    database_most: Annotated[int, Field(ge=0)] = (
        0  # queries a second that it answers as fast; 0: any number
    )
    cores: Annotated[int, Field(ge=1, le=64)] = 6
    speed: Positive = 1.0
    thrash: Annotated[float, Field(ge=0.0)] = (
        0.25  # of the speed lost for each run a core beyond thrash_at
    )
    thrash_at: Positive = 2.5
    load: Positive = 1.0  # of what all cores can do
    length_s: Annotated[float, Field(gt=1.0, le=86400.0)] = 60.0
    warm_s: Annotated[float, Field(ge=0.0)] = 10.0  # not counted in the figures
    hints: Literal["rough", "exact", "absent", "fifth"] = (
        "rough"  # a fifth: a run takes five times its hint
    )
    database_ms: Positive = 15.0
    memory_mb: Positive = 192.0
    stop_ms: Positive = 3000.0

    @model_validator(mode="before")
    @classmethod
    def count_hollow(cls, told: Any) -> Any:
        """With a block `hollow`, `servers` is the whole fleet's number: the real ones of it stay servers."""
        hollow = told.get("hollow") if isinstance(told, dict) else None
        if not isinstance(hollow, dict) or "instances" in hollow:
            return told
        real, servers = hollow.get("real", Hollow.model_fields["real"].default), told.get("servers")
        if type(real) is not int or type(servers) is not int:
            return told
        if servers <= real:
            raise ValueError(f"servers: {servers}, of which {real} are real: more are wanted")
        return {**told, "servers": real, "hollow": {**hollow, "instances": servers - real}}

    def mean_work(self) -> float:
        whole = sum(stage.share for stage in self.stage)
        return sum(stage.share * stage.work_ms for stage in self.stage) / whole

    def settings(self) -> dict[str, Any]:
        """What the platform would tell a server of this world."""
        return {
            "classes": [
                {
                    "name": stage.name,
                    "target": round(stage.due_ms * 1000),
                    "deadline": round(stage.limit_ms * 1000),
                    "effect": EFFECTS[stage.effect],
                    "memory-span": round(stage.window_ms * 1000),
                    "worth": stage.utility,
                }
                for stage in self.stage
            ],
            "family-info": {
                "cores": self.cores,
                "memory-kb": 90000.0 * self.cores / 6,
                "run-factor": 8.0,
                "cold": False,
                "meters": ["core_use", "on_cores", "heap_share", "links"],
                "signal": "bias",
                "halt": "off",
                "below": "next_hop",
                "callers": sum(each.count for each in self.gateways),
                "idle": 30_000_000,
                "class-skip-worth": [stage.skip_utility for stage in self.stage],
            },
            "rules": {"fall-multiple": 8.0, "stop-sending-within": 2_000_000},
            "caps": {"max-retry-after": 1_000_000, "retry-after": True},
            "servers": self.servers,
            "tenants": [
                {"name": each.name, "share": each.share, "allowance-per-s": each.allowance_per_s}
                for each in self.tenant
            ],
        }

    def loads(self) -> list[tuple[float, float, float, dict[str, float]]]:
        """Spans of even load: from, to (s), load, shares of the stages by name."""
        spans: list[tuple[float, float, float, dict[str, float]]] = []
        load, shares = self.load, {stage.name: stage.share for stage in self.stage}
        marks = sorted(self.phase, key=lambda phase: phase.at_s)
        starts = [0.0, *(phase.at_s for phase in marks)]
        for at, begins in enumerate(starts):
            if at:
                load = marks[at - 1].load or load
                shares = {**shares, **marks[at - 1].shares}
            ends = min(self.length_s, starts[at + 1] if at + 1 < len(starts) else self.length_s)
            if ends > begins:
                spans.append((begins, ends, load, dict(shares)))
        return spans


def zone_of(number: int, zones: int) -> str:
    """Of the member of that number: zones in turn."""
    return f"z{number % zones}"


def region_of(number: int, zones: int, regions: int) -> str:
    return f"g{number % zones % regions}"


class Arrival:
    """One task as a client wants it: nothing that happens later changes it."""

    __slots__ = (
        "at",
        "body",
        "disk",
        "gateway",
        "hint",
        "number",
        "stage",
        "tenant",
        "token",
        "work",
    )

    def __init__(self, number: int, at: float, stage: int, tenant: int, gateway: int) -> None:
        self.number, self.at, self.stage, self.tenant, self.gateway = (
            number,
            at,
            stage,
            tenant,
            gateway,
        )
        self.work = self.disk = 0.0
        self.hint: float | None = None
        self.body, self.token = b"", ""


def habits(world: World) -> list[Gateways]:
    """The habits of each gateway, by its number."""
    return [each for each in world.gateways for _ in range(each.count)]


def drawn(chance: np.random.Generator, mean: float, cv: float, size: int) -> np.ndarray[Any, Any]:
    """Times of a lognormal by mean and coefficient of variation."""
    if not mean or not cv:
        return np.full(size, mean)
    sigma = np.sqrt(np.log(1.0 + cv * cv))
    return chance.lognormal(np.log(mean) - sigma * sigma / 2.0, sigma, size)


def arrivals(world: World, seed: int) -> list[Arrival]:
    """All of a run's tasks, drawn ahead: the same for every arm that has the same seed and world. Times in ms
    from the run's begin. The load is that of the world's own class mix, so that a phase with other shares and
    no load of its own asks for more or less.
    """
    chance = np.random.default_rng(seed)
    found: list[Arrival] = []
    gateways = habits(world)
    weights = np.array([each.weight for each in gateways])
    tenants = np.array([each.traffic or each.share for each in world.tenant])
    names = [stage.name for stage in world.stage]
    for begins, ends, load, by_name in world.loads():
        shares = np.array([by_name[name] for name in names])
        mean = float(sum(shares * [stage.work_ms for stage in world.stage]) / shares.sum())
        a_second = load * world.servers * world.cores * world.speed * 1000.0 / mean
        number = int(chance.poisson(a_second * (ends - begins)))
        times = np.sort(chance.uniform(begins * 1000.0, ends * 1000.0, number))
        stages = chance.choice(len(names), number, p=shares / shares.sum())
        whose = chance.choice(len(tenants), number, p=tenants / tenants.sum())
        by = chance.choice(len(gateways), number, p=weights / weights.sum())
        for at, stage, tenant, gateway in zip(times, stages, whose, by, strict=True):
            only = world.tenant[tenant].only
            stage = names.index(only) if only else int(stage)
            found.append(Arrival(len(found), float(at), stage, int(tenant), int(gateway)))
    for at, stage in enumerate(world.stage):
        mine = [each for each in found if each.stage == at]
        work = drawn(chance, stage.work_ms, stage.cv, len(mine))
        rough = chance.lognormal(0.0, 0.35, len(mine))
        disk = drawn(chance, stage.io_ms, 0.6, len(mine))
        for each, takes, off, waits in zip(mine, work, rough, disk, strict=True):
            each.work, each.disk = float(takes), float(waits)
            told = {"rough": takes * off, "exact": takes, "fifth": takes / 5.0, "absent": None}[
                world.hints
            ]
            each.hint = None if told is None else float(told)
    for each in found:
        each.body = chance.bytes(24)
        each.token = (
            chance.bytes(16).hex() if world.stage[each.stage].effect == "fingerprinted" else ""
        )
    return found


def names_of(stages: Sequence[Stage]) -> list[str]:
    return [stage.name.replace("-", "_") for stage in stages]
