"""Experiments: a world, arms that meet the same arrivals, bounds to hold. Read from HCL, run in parallel,
kept as `summary.json` and `windows.csv`."""

import csv
import io
import json
import os
import subprocess
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from concurrent.futures.process import BrokenProcessPool
from datetime import UTC, datetime
from functools import partial
from multiprocessing import get_context
from pathlib import Path
from statistics import mean, stdev
from typing import Annotated, Any, Literal

import numpy as np
from pydantic import Field, model_validator

from pumicenotch.config.compiled import BadConfig, from_file
from pumicenotch.config.file import BadFile, plan_of
from pumicenotch.config.files import put
from pumicenotch.config.hcl import Block, parse
from pumicenotch.config.schema import Schema, load
from pumicenotch.lab.guard import SEED_S, Machine, check, raise_descriptors
from pumicenotch.lab.ledger import Ledger
from pumicenotch.lab.measure import figures, windows
from pumicenotch.lab.world import World, names_of, region_of, zone_of

FORM = 1  # of summary.json
FOLDER = Path(__file__).parents[2] / "experiments"
ROUND_S = 15.0  # for a run's start and end beside its length, without hollow instances
CORES_A_RUN = 1  # a loopback run has a server and a world, some tenths of a core together
CORES_A_FLEET = 2  # and a fleet has a dozen servers, voters and a relay, maybe agents


class Arm(Schema):
    name: str
    decides: Literal["today", "plain"] = "today"
    pools: str = ""  # a file of ours, beside the experiment's
    drains: Literal["none", "alone", "agreed"] = "agreed"  # of a fleet: what becomes of its `drain_all`
    releases: Literal["none", "good", "bad-class", "crash-loop", "kills-below"] = "none"
    hollow: bool = True  # whether the world's hollow instances are there
    configuration: Literal["none", "changes", "whole"] = "none"  # how they get what the world publishes
    records: Annotated[float, Field(gt=0.0, le=1.0)] = 1.0  # part of the world's tenants and routes
    length_s: Annotated[float, Field(gt=1.0)] | None = None  # where it ends sooner than the others


class Bound(Schema):
    """A figure of an arm, or its mean paired difference to another arm's, that is to hold."""

    figure: str
    arm: str
    than: str | None = None
    ratio: bool = False  # to the other arm's figure, in place of the difference
    least: float | None = None
    most: float | None = None

    @model_validator(mode="after")
    def bounded(self) -> "Bound":
        if (self.least is None) == (self.most is None):
            raise ValueError("either least or most is wanted")
        if self.ratio and self.than is None:
            raise ValueError("ratio: than is wanted, the arm that it is a ratio to")
        return self


class Experiment(World):
    about: str
    carrier: Literal["loopback", "simulated"] = "loopback"
    arm: tuple[Arm, ...]
    bound: tuple[Bound, ...] = ()
    seed: Annotated[int, Field(ge=0)] = 1
    seeds: Annotated[int, Field(ge=1, le=1000)] = 1  # runs of each arm, by seeds that follow each other
    seconds: Annotated[float, Field(gt=1.0, le=86400.0)] | None = None  # another length, its faults in scale

    @model_validator(mode="before")
    @classmethod
    def scale(cls, told: Any) -> Any:
        """`seconds` makes the whole run shorter or longer: its faults come and last in proportion."""
        if not isinstance(told, dict):
            return told
        seconds, length = told.get("seconds"), told.get("length_s", 60.0)
        if not isinstance(seconds, int | float) or not isinstance(length, int | float) or length <= 0:
            return told
        factor = seconds / length

        def scaled(block: Any, *names: str) -> Any:
            times = {name: round(block[name] * factor, 3) for name in names
                     if isinstance(block.get(name), int | float)}  # fmt: skip
            return {**block, **times}

        return {
            **scaled(told, "warm_s"), "length_s": seconds,
            "fault": [scaled({"for_s": 1.0, **fault}, "at_s", "for_s") for fault in told.get("fault", ())],
            "arm": [scaled(arm, "length_s") for arm in told.get("arm", ())],
        }  # fmt: skip

    @model_validator(mode="after")
    def fits(self) -> "Experiment":
        arms = [arm.name for arm in self.arm]
        for bound in self.bound:
            for name in (bound.arm, bound.than):
                if name is not None and name not in arms:
                    raise ValueError(f"bound on {bound.figure}: no arm {name!r}; arms: {', '.join(arms)}")
        stages = [stage.name for stage in self.stage]
        for phase in self.phase:
            for name in phase.shares:
                if name not in stages:
                    raise ValueError(
                        f"phase at {phase.at_s:g} s: no stage {name!r}; stages: {', '.join(stages)}"
                    )
        if len(set(names_of(self.stage))) < len(self.stage):
            raise ValueError("two stages have one name")
        if (self.routers or self.voters) and self.carrier == "simulated":
            raise ValueError("routers, voters: on loopback only")
        if self.routers and self.voters:
            raise ValueError("voters: of a fleet without routers only")
        if self.cells > self.servers:
            raise ValueError(f"cells: {self.cells} of {self.servers} servers: one server each at the least")
        for fault in self.fault:
            if fault.server >= (self.routers if fault.kind == "kill_router" else self.servers):
                raise ValueError(
                    f"fault at {fault.at_s:g} s: server {fault.server} of {self.servers}, from 0"
                )
            if fault.kind in ("kill", "kill_router", "move") and self.carrier == "simulated":
                raise ValueError(f"fault {fault.kind}: on loopback only")
            if fault.kind in ("drain_all", "kill_leader", "cut_zone", "link") and not self.voters:
                raise ValueError(f"fault {fault.kind}: needs voters")
            if fault.kind == "move" and not self.routers:
                raise ValueError("fault move: needs routers")
            if fault.kind in ("lose", "cut_region", "replace", "kill_relays") and self.hollow is None:
                raise ValueError(f"fault {fault.kind}: needs a block hollow")
            if fault.kind == "link" and self.hollow is not None:
                raise ValueError(f"fault {fault.kind}: no relay carries a fleet with hollow instances")
        if self.hollow is not None and (not self.voters or self.agents):
            raise ValueError("hollow: needs voters, and servers without agents")
        if self.hollow is not None:
            self.check_places()
        for arm in self.arm:
            if arm.configuration != "none" and (self.configuration is None or self.hollow is None):
                raise ValueError(f"arm {arm.name}: configuration: needs blocks configuration and hollow")
        return self

    def check_places(self) -> None:
        """What faults of hollow instances name is there; a region or zone that is cut has no real member."""
        real = range(max(self.servers, self.voters))
        zones = {zone_of(at, self.zones) for at in range(self.zones)}
        regions = {region_of(at, self.zones, self.regions) for at in range(self.zones)}
        free_zones = zones - {zone_of(at, self.zones) for at in real}
        free_regions = sorted(regions - {region_of(at, self.zones, self.regions) for at in real})
        for fault in self.fault:
            place = f"fault at {fault.at_s:g} s"
            if fault.kind == "lose" and fault.zone not in zones:
                raise ValueError(f"{place}: no zone {fault.zone!r}; zones: z0 to z{self.zones - 1}")
            if fault.kind == "cut_zone" and fault.zone not in free_zones:
                allowed = ", ".join(sorted(free_zones, key=lambda zone: int(zone[1:]))) or "none"
                raise ValueError(f"{place}: zone {fault.zone!r}: zones without real members: {allowed}")
            if fault.kind == "cut_region" and fault.region not in free_regions:
                allowed = ", ".join(free_regions) or "none"
                raise ValueError(f"{place}: region {fault.region!r}: regions without real members: {allowed}")


def assign(whole: Block, name: str, sets: Iterable[str]) -> None:
    """Puts `K=V` in the place of what the file says: `load=1.2`, `gateways.tries=10` (every such block),
    `stage.bake.work_ms=900` (the block of that name)."""
    for text in sets:
        path, equals, told = text.partition("=")
        if not equals or not path:
            raise BadFile(f"--set {text}: K=V is wanted, as load=1.2")
        try:
            value = json.loads(told)
        except ValueError:
            value = told
        *blocks, last = path.split(".")
        found = [whole]
        if blocks:
            kind, *label = blocks
            found = [
                each for each in whole.blocks if each.kind == kind and (not label or each.labels == label)
            ]
            if not found and not label:
                whole.blocks.append(Block(kind, [], 1))
                found = whole.blocks[-1:]
            if not found:
                raise BadFile(f"--set {text}: no block {'.'.join(blocks)} in {name}")
        for block in found:
            block.attributes[last] = (value, block.line)


def named(name: str) -> Path:
    """An experiment's file by its path, or by its name among those of the project."""
    path = Path(name)
    if path.suffix != ".hcl":
        path = FOLDER / f"{name}.hcl"
    if not path.is_file():
        known = sorted(each.stem for each in FOLDER.glob("*.hcl"))
        raise BadFile(f"{name}: no such experiment; known: {', '.join(known) or 'none'}")
    return path


def read(name: str, sets: Iterable[str] = ()) -> tuple[Experiment, Path]:
    """Raises BadFile."""
    path = named(name)
    whole = blocks(path)
    assign(whole, str(path), sets)
    found = load(whole, str(path), Experiment)
    for arm in found.arm:  # what is wrong with an arm's file is said before anything runs
        plan(arm, path)
    faults = tuple(
        fault.model_copy(update={"pools": str((path.parent / fault.pools).resolve())})
        if fault.pools
        else fault
        for fault in found.fault
    )
    for fault in faults:
        if fault.pools:
            plan_of(fault.pools)
    return found.model_copy(update={"fault": faults}), path


def blocks(path: Path, depth: int = 0) -> Block:
    """A file's blocks. One that is `like` another takes from it what it does not say itself: each attribute,
    and each kind of block as a whole (those of `keep` beside its own); `set` changes single values, as
    `--set` does."""
    try:
        whole = parse(path.read_text(encoding="utf-8"), str(path))
    except (OSError, UnicodeDecodeError) as error:
        raise BadFile(f"{path}:1: cannot be read: {error}") from None
    if "like" not in whole.attributes:
        return whole
    other, line = whole.attributes.pop("like")
    base = path.parent / str(other)
    if depth >= 4 or not base.is_file():
        raise BadFile(f"{path}:{line}: like: {other!r} is no file beside it, or they go in a circle")
    under = blocks(base, depth + 1)
    kept, line = whole.attributes.pop("keep", ([], 1))
    if not isinstance(kept, list):
        raise BadFile(f"{path}:{line}: keep: a list of kinds of blocks is wanted")
    kinds = {block.kind for block in whole.blocks} - set(kept)
    whole.attributes = {**under.attributes, **whole.attributes}
    whole.blocks += [block for block in under.blocks if block.kind not in kinds]
    sets, line = whole.attributes.pop("set", ([], 1))
    if not isinstance(sets, list) or not all(isinstance(each, str) for each in sets):
        raise BadFile(f"{path}:{line}: set: a list of texts K=V is wanted")
    assign(whole, str(path), sets)
    return whole


def plan(arm: Arm, path: Path) -> Any:
    if not arm.pools:
        return None
    file = path.parent / arm.pools
    try:
        return from_file(str(file)).plan if file.suffix == ".json" else plan_of(file)
    except BadConfig as error:
        raise BadFile(str(error)) from None


class Run:
    """What one run of one arm gave."""

    def __init__(
        self, arm: str, seed: int, found: dict[str, float], ledger: Ledger, rows: list[dict[str, Any]]
    ):
        self.arm, self.seed, self.figures, self.rows = arm, seed, found, rows
        self.rules = ledger.rules()
        self.broken = [f"{when:.0f} ms: {rule}: {what}" for rule, when, what in ledger.broken[:20]]


def play(job: tuple[Experiment, Path, str, int, str]) -> Run:
    """One run, in a process of its own."""
    told, path, name, seed, folder = job
    arm = next(each for each in told.arm if each.name == name)
    if told.carrier == "simulated":
        from pumicenotch.control import Control
        from pumicenotch.lab.plain import Plain
        from pumicenotch.lab.simulate import Simulation, pools_of

        decides = Plain if arm.decides == "plain" else Control
        carried = Simulation(told, seed, pools_of(plan(arm, path)), decides).run()
        cpu, ledger, late = sum(node.cpu_ms for node in carried.nodes), carried.ledger, [0.0]
    else:
        from pumicenotch.lab.loopback import Launch, run

        config = str(path.parent / arm.pools) if arm.pools else ""
        launch = Launch("pumicenotch.lab.plain" if arm.decides == "plain" else "pumicenotch", config)
        kept = Path(folder) / f"{name}-{seed}" if folder else None
        if told.agents:
            from pumicenotch.lab.releaserun import ReleaseRun

            on_sockets = run(told, seed, launch, kept, carrier=partial(ReleaseRun, releases=arm.releases))
        elif told.voters:
            from pumicenotch.lab.fleetrun import FleetRun

            told = part_of_records(told, arm.records)
            made = partial(
                FleetRun,
                drains=arm.drains,
                hollow=arm.hollow,
                until_s=arm.length_s,
                limit_s=limit_s(told, arm),
                configuration=arm.configuration,
            )
            on_sockets = run(told, seed, launch, kept, carrier=made)
        else:
            on_sockets = run(told, seed, launch, kept)
        cpu, ledger, late = on_sockets.cpu_ms, on_sockets.ledger, on_sockets.late or [0.0]
    found = figures(ledger.world, ledger, cpu, ledger.sent)
    found["send_late_p99_ms"] = round(float(np.percentile(late, 99)), 2)
    if told.carrier == "loopback":
        found |= {"memory_mb": round(on_sockets.memory_mb, 1), **on_sockets.more()}
    return Run(name, seed, found, ledger, windows(told, ledger))


def worked(job: tuple[Experiment, Path, str, int, str]) -> Run:
    """The same in a worker. One that is interrupted ends: its pool would hand it the next run, to its end."""
    try:
        return play(job)
    except KeyboardInterrupt:
        os._exit(130)


def runs(
    told: Experiment, path: Path, folder: str, workers: int, done: Callable[[Run], None]
) -> Iterator[Run]:
    """Every arm with every seed, in that order; `done` hears of each as it ends."""
    seeds = range(told.seed, told.seed + told.seeds)
    jobs = [(told, path, arm.name, seed, folder) for seed in seeds for arm in told.arm]
    pool = ProcessPoolExecutor(workers, mp_context=get_context("spawn"))
    try:
        for one in pool.map(worked, jobs):
            done(one)
            yield one
    except (KeyboardInterrupt, BrokenProcessPool):
        end_workers(pool)
        raise KeyboardInterrupt from None
    except BaseException:
        end_workers(pool)
        raise
    finally:
        pool.shutdown(cancel_futures=True)


def end_workers(pool: ProcessPoolExecutor) -> None:
    """By a signal of their own, upon which each stops what it has started: one sent to this process alone, or
    another run's failure, would leave them at work to their end."""
    for process in list((pool._processes or {}).values()):
        if process.is_alive():
            process.terminate()


def part_of_records(told: Experiment, part: float) -> Experiment:
    """A smaller configuration, for an arm that cannot bear the whole one."""
    if told.configuration is None or part == 1.0:
        return told
    tenants, routes = (round(part * many) for many in (told.configuration.tenants, told.configuration.routes))
    smaller = told.configuration.model_copy(update={"tenants": max(1, tenants), "routes": max(1, routes)})
    return told.model_copy(update={"configuration": smaller})


def limit_s(told: Experiment, arm: Arm) -> float:
    """How long a run of it may last, so that the seed's other arms fit beside it."""
    others = [each for each in told.arm if each.name != arm.name]
    return SEED_S - sum((each.length_s or told.length_s) + ROUND_S for each in others)


def check_machine(told: Experiment) -> None:
    """Raises MachineTooSmall."""
    if told.hollow is not None and any(arm.hollow for arm in told.arm):
        raise_descriptors()
        check(told.hollow.instances, Machine.here())


def workers(told: Experiment) -> int:
    if told.hollow is not None:  # one at a time: beside another, neither would be measured
        return 1
    cores = min(8, os.cpu_count() or 1)
    return max(1, cores // (CORES_A_FLEET if told.voters else CORES_A_RUN))


def commit() -> str:
    """The commit that is measured, marked where files differ from it."""
    try:
        command = ["git", "-C", str(Path(__file__).parent), "describe", "--always", "--dirty", "--abbrev=12"]
        return subprocess.run(command, capture_output=True, text=True, check=True).stdout.strip()
    except (OSError, subprocess.CalledProcessError):
        return "unknown"


def summary(
    told: Experiment, name: str, sets: list[str], found: list[Run], whole: bool = True
) -> dict[str, Any]:
    """What is kept of an experiment. Figures of an arm are means over its seeds."""
    arms: dict[str, dict[str, float]] = {}
    for arm in told.arm:
        mine = [run.figures for run in found if run.arm == arm.name]
        if mine:
            arms[arm.name] = {figure: round(mean(each[figure] for each in mine), 4) for figure in mine[0]}
    rules = {rule: sum(run.rules[rule] for run in found) for rule in ("lost", "doubled", "drain", "fallen")}
    return {
        "form": FORM,
        "experiment": name,
        "about": told.about,
        "at": datetime.now(UTC).isoformat(timespec="seconds"),
        "carrier": told.carrier,
        "seed": told.seed,
        "seeds": told.seeds,
        "settings": {"set": sets, **told.model_dump(mode="json", exclude={"arm", "bound"})},
        "git": commit(),
        "whole": whole,
        "arms": arms,
        "rules": rules,
        "broken": [text for run in found for text in run.broken][:40],
        "verdict": verdict(told, found, rules),
        "runs": [{"arm": run.arm, "seed": run.seed, "rules": run.rules, **run.figures} for run in found],
    }


def verdict(told: Experiment, found: list[Run], rules: dict[str, int]) -> list[dict[str, Any]]:
    by = {(run.arm, run.seed): run.figures for run in found}
    kept: list[dict[str, Any]] = [
        {"bound": f"rule {rule} broken 0 times", "figure": times, "kept": times == 0}
        for rule, times in rules.items()
    ]
    for bound in told.bound:
        seeds = [
            seed for arm, seed in by if arm == bound.arm and (bound.than is None or (bound.than, seed) in by)
        ]
        if not seeds or bound.figure not in by[bound.arm, seeds[0]]:
            kept.append({"bound": f"{bound.arm} {bound.figure}", "figure": None, "kept": False})
            continue
        values = [
            compared(bound, by[bound.arm, seed], by.get((bound.than or "", seed), {})) for seed in seeds
        ]
        figure = round(mean(values), 4)
        good = figure >= bound.least if bound.least is not None else figure <= (bound.most or 0.0)
        sign = f">= {bound.least:g}" if bound.least is not None else f"<= {bound.most:g}"
        over = f" {'by' if bound.ratio else 'less'} {bound.than}'s" if bound.than else ""
        row: dict[str, Any] = {
            "bound": f"{bound.arm} {bound.figure}{over} {sign}",
            "figure": figure,
            "kept": good,
        }
        if len(values) > 1:
            row["spread"] = round(stdev(values), 4)
        kept.append(row)
    return kept


def compared(bound: Bound, mine: dict[str, float], others: dict[str, float]) -> float:
    """The figure itself, or held against the other arm's."""
    value = mine[bound.figure]
    if bound.than is None:
        return value
    other = others[bound.figure]
    return value / max(1e-9, other) if bound.ratio else value - other


def keep(folder: Path, told: dict[str, Any], found: list[Run]) -> None:
    """Each file whole or not at all: a full disk leaves what was there."""
    folder.mkdir(parents=True, exist_ok=True)
    put(folder / "summary.json", json.dumps(told, indent=1) + "\n")
    table = io.StringIO(newline="")
    rows = csv.DictWriter(table, ["arm", "seed", "second", "class", "asked", "served", "rejected", "late"])
    rows.writeheader()
    for run in found:
        rows.writerows({"arm": run.arm, "seed": run.seed, **row} for row in run.rows)
    put(folder / "windows.csv", table.getvalue())


def kept_summary(folder: Path) -> dict[str, Any]:
    """Raises BadFile where there is none, or one that this program cannot read."""
    path = folder / "summary.json"
    try:
        told: dict[str, Any] = json.loads(path.read_text())
    except OSError as error:
        raise BadFile(f"{path}:1: cannot be read: {error.strerror}") from None
    except ValueError:
        raise BadFile(f"{path}:1: no JSON: was the run cut off while it was kept?") from None
    if not isinstance(told, dict) or told.get("form") != FORM:
        form = told.get("form") if isinstance(told, dict) else None
        raise BadFile(f"{path}:1: form: {form!r} is unknown, {FORM} is allowed: run the experiment again")
    return told
