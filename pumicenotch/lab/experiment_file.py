"""An experiment's file: a world, arms that meet the same arrivals, bounds to hold."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import Field, model_validator

from pumicenotch.config.compiled import InvalidConfigError, load_file
from pumicenotch.config.file import InvalidFileError, plan_of
from pumicenotch.config.hcl import Block, parse
from pumicenotch.config.schema import Schema, load
from pumicenotch.lab.world import World, names_of, region_of, zone_of

FOLDER = Path(__file__).parents[2] / "experiments"


class Arm(Schema):
    name: str
    decides: Literal["today", "plain"] = "today"
    pools: str = ""  # a file of ours, beside the experiment's
    drains: Literal["none", "alone", "agreed"] = (
        "agreed"  # of a fleet: what becomes of its `drain_all`
    )
    releases: Literal["none", "good", "bad-class", "crash-loop", "kills-below"] = "none"
    hollow: bool = True  # whether the world's hollow instances are there
    configuration: Literal["none", "changes", "whole"] = (
        "none"  # how they get what the world publishes
    )
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
    seeds: Annotated[int, Field(ge=1, le=1000)] = (
        1  # runs of each arm, by seeds that follow each other
    )
    seconds: Annotated[float, Field(gt=1.0, le=86400.0)] | None = (
        None  # another length, its faults in scale
    )

    @model_validator(mode="before")
    @classmethod
    def scale(cls, told: Any) -> Any:
        """`seconds` makes the whole run shorter or longer: its faults come and last in proportion."""
        if not isinstance(told, dict):
            return told
        seconds, length = told.get("seconds"), told.get("length_s", 60.0)
        if (
            not isinstance(seconds, int | float)
            or not isinstance(length, int | float)
            or length <= 0
        ):
            return told
        factor = seconds / length

        def scaled(block: Any, *names: str) -> Any:
            times = {
                name: round(block[name] * factor, 3)
                for name in names
                if isinstance(block.get(name), int | float)
            }
            return {**block, **times}

        return {
            **scaled(told, "warm_s"),
            "length_s": seconds,
            "fault": [
                scaled({"for_s": 1.0, **fault}, "at_s", "for_s") for fault in told.get("fault", ())
            ],
            "arm": [scaled(arm, "length_s") for arm in told.get("arm", ())],
        }

    @model_validator(mode="after")
    def fits(self) -> "Experiment":
        arms = [arm.name for arm in self.arm]
        for bound in self.bound:
            for name in (bound.arm, bound.than):
                if name is not None and name not in arms:
                    raise ValueError(
                        f"bound on {bound.figure}: no arm {name!r}; arms: {', '.join(arms)}"
                    )
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
            raise ValueError(
                f"cells: {self.cells} of {self.servers} servers: one server each at the least"
            )
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
            if (
                fault.kind in ("lose", "cut_region", "replace", "kill_relays")
                and self.hollow is None
            ):
                raise ValueError(f"fault {fault.kind}: needs a block hollow")
            if fault.kind == "link" and self.hollow is not None:
                raise ValueError(
                    f"fault {fault.kind}: no relay carries a fleet with hollow instances"
                )
        if self.hollow is not None and (not self.voters or self.agents):
            raise ValueError("hollow: needs voters, and servers without agents")
        if self.hollow is not None:
            self.check_places()
        for arm in self.arm:
            if arm.configuration != "none" and (self.configuration is None or self.hollow is None):
                raise ValueError(
                    f"arm {arm.name}: configuration: needs blocks configuration and hollow"
                )
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
                raise ValueError(
                    f"{place}: zone {fault.zone!r}: zones without real members: {allowed}"
                )
            if fault.kind == "cut_region" and fault.region not in free_regions:
                allowed = ", ".join(free_regions) or "none"
                raise ValueError(
                    f"{place}: region {fault.region!r}: regions without real members: {allowed}"
                )


def assign(whole: Block, name: str, sets: Iterable[str]) -> None:
    """Puts `K=V` in the place of what the file says: `load=1.2`, `gateways.tries=10` (every such block),
    `stage.bake.work_ms=900` (the block of that name).
    """
    for text in sets:
        path, equals, told = text.partition("=")
        if not equals or not path:
            raise InvalidFileError(f"--set {text}: K=V is wanted, as load=1.2")
        try:
            value = json.loads(told)
        except ValueError:
            value = told
        *blocks, last = path.split(".")
        found = [whole]
        if blocks:
            kind, *label = blocks
            found = [
                each
                for each in whole.blocks
                if each.kind == kind and (not label or each.labels == label)
            ]
            if not found and not label:
                whole.blocks.append(Block(kind, [], 1))
                found = whole.blocks[-1:]
            if not found:
                raise InvalidFileError(f"--set {text}: no block {'.'.join(blocks)} in {name}")
        for block in found:
            block.attributes[last] = (value, block.line)


def named(name: str) -> Path:
    """An experiment's file by its path, or by its name among those of the project."""
    path = Path(name)
    if path.suffix != ".hcl":
        path = FOLDER / f"{name}.hcl"
    if not path.is_file():
        known = sorted(each.stem for each in FOLDER.glob("*.hcl"))
        raise InvalidFileError(f"{name}: no such experiment; known: {', '.join(known) or 'none'}")
    return path


def read(name: str, sets: Iterable[str] = ()) -> tuple[Experiment, Path]:
    """Raises InvalidFileError."""
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
    `--set` does.
    """
    try:
        whole = parse(path.read_text(encoding="utf-8"), str(path))
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidFileError(f"{path}:1: cannot be read: {error}") from None
    if "like" not in whole.attributes:
        return whole
    other, line = whole.attributes.pop("like")
    base = path.parent / str(other)
    if depth >= 4 or not base.is_file():
        raise InvalidFileError(
            f"{path}:{line}: like: {other!r} is no file beside it, or they go in a circle"
        )
    under = blocks(base, depth + 1)
    kept, line = whole.attributes.pop("keep", ([], 1))
    if not isinstance(kept, list):
        raise InvalidFileError(f"{path}:{line}: keep: a list of kinds of blocks is wanted")
    kinds = {block.kind for block in whole.blocks} - set(kept)
    whole.attributes = {**under.attributes, **whole.attributes}
    whole.blocks += [block for block in under.blocks if block.kind not in kinds]
    sets, line = whole.attributes.pop("set", ([], 1))
    if not isinstance(sets, list) or not all(isinstance(each, str) for each in sets):
        raise InvalidFileError(f"{path}:{line}: set: a list of texts K=V is wanted")
    assign(whole, str(path), sets)
    return whole


def plan(arm: Arm, path: Path) -> Any:
    if not arm.pools:
        return None
    file = path.parent / arm.pools
    try:
        return load_file(str(file)).plan if file.suffix == ".json" else plan_of(file)
    except InvalidConfigError as error:
        raise InvalidFileError(str(error)) from None
