"""Reads LB_CONFIG and, where PUMICENOTCH_CONFIG names one, the file of ours; wires the core to its sockets,
and handles the signals.
"""

import signal

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
# Until the receiver stands, and again once it is gone, they wait: their own effect would end the process.
signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)

import errno
import json
import os
import resource
import subprocess
import sys
from collections.abc import Callable
from typing import Any, cast

import anyio
from anyio.abc import SocketAttribute, SocketListener, TaskGroup
from loguru import logger

from pumicenotch import start
from pumicenotch.control import AdmissionController
from pumicenotch.net import database, gateways, logs, pool
from pumicenotch.net.clock import Clock
from pumicenotch.net.dial import Links
from pumicenotch.net.hub import Hub
from pumicenotch.net.registry import Registry
from pumicenotch.net.signals import received
from pumicenotch.server import calls, runs
from pumicenotch.server.core import LISTENER, REGISTRY, Server

UNREAD_PART = 0.125  # of the memory, for what the pool leaves unread while it hangs
CALL_MOST = 64 * 1024  # a link below carries one call, of some KB
AGAIN_S = 0.1  # between tries to listen at an address still in use
FLUSH_S = 0.05  # for the last words among instances to leave
READER_S = 30.0  # for a file of ours to be read: a second on a quiet machine
BOUNDS = {"stop_ms": (0.0, 1e9), "limits.memory_mb": (8.0, 1e9), "limits.sockets": (48.0, 1e9)}
MOVABLE = ("pool", "db", "registry")  # whose addresses a reload changes


async def signals(hub: Hub, reloads: "Reloads") -> None:
    with received(SIGNALS) as coming:
        async for number in coming:
            if number == signal.SIGHUP:
                reloads.wanted.set()
            else:
                hub.put("show_counters" if number == signal.SIGUSR1 else "leave")


class Reloads:
    """One at a time, beside all else: reading a file may take a second, and a notice to leave must not wait
    for it. Those asked for while one is on its way come to one more.
    """

    def __init__(self) -> None:
        self.wanted = anyio.Event()

    async def run(self, hub: Hub, values: dict[str, Any]) -> None:
        while True:
            await self.wanted.wait()
            self.wanted = anyio.Event()
            try:
                await reload(hub, values)
            except Exception as error:
                hub.fault("reload", error)
                hub.put(
                    "met", "reloads_failed", f"reload: {error!r}; the running values stay in force"
                )


async def reload(hub: Hub, values: dict[str, Any]) -> None:
    """A file that cannot be read whole leaves the running values in force, those of the other file too."""
    try:
        new = read()
        ours = await replanned(values["config"])
        cells = map_of(ours)
    except ValueError as error:
        hub.put("met", "reloads_failed", f"reload: {error}; the running values stay in force")
        return
    moved = {name: new[name] for name in MOVABLE if None not in (new[name], values[name])}
    moved = {name: address for name, address in moved.items() if address != values[name]}
    values |= moved
    old, pairs = values["pairs"], new["pairs"]
    others = sorted(path for path in old.keys() | pairs.keys() if old.get(path) != pairs.get(path))
    hub.put("reload", moved, " ".join(path for path in others if path not in moved) or "nothing")
    values["pairs"] |= {name: pairs[name] for name in moved}
    if cells is not None and hub.core.fence is not None:
        held = hub.core.fence.cells
        if held is None or cells.epoch > held.epoch:
            hub.put("remap", cells, f"the cell map of epoch {cells.epoch} is in force")
    if ours is not None and ours.distribution != values["ours"].distribution:
        resubscribe(values, ours.distribution)
        values["ours"] = values["ours"]._replace(distribution=ours.distribution)
    if ours is not None and ours.plan != values["ours"].plan:
        values["ours"], plan = ours, ours.plan
        hub.put(
            "repool",
            maker(plan, values),
            "class pools of the file are in force" if plan else "pools are off",
        )


def resubscribe(values: dict[str, Any], settings: Any) -> None:
    """The block `distribution` of the file of ours has changed."""
    peers = values["peers"]
    if peers is None or peers.extension is None or settings is None:
        logger.info("reload: the block distribution is switched on and off by a restart")
        return
    peers.extension.reload(settings)
    logger.info("reload: this server takes published configuration of {}", settings.meaning())


async def replanned(config: str) -> Any:
    """What the file of ours says now; None where none was named. The file is read in a process of its own,
    while this one goes on.
    """
    if not config:
        return None
    from pumicenotch.config import compiled

    if config.endswith(".json"):
        return compiled.from_file(config)
    with anyio.move_on_after(READER_S):
        done = await anyio.run_process(compiled.command(config), check=False)
        return compiled.taken(config, done.returncode, done.stdout, done.stderr)
    raise compiled.InvalidConfigError(f"{config}:1: not read within {READER_S:g} s")


def planned(config: str) -> Any:
    """The same before anything else runs. Who has read the file already hands the plan over."""
    told = os.environ.pop("PUMICENOTCH_PLAN", "")
    if not config:
        return None
    from pumicenotch.config import compiled

    if told:
        return compiled.load(told, config)
    if config.endswith(".json"):
        return compiled.from_file(config)
    try:
        done = subprocess.run(compiled.command(config), capture_output=True, timeout=READER_S)
    except subprocess.TimeoutExpired:
        raise compiled.InvalidConfigError(f"{config}:1: not read within {READER_S:g} s") from None
    return compiled.taken(config, done.returncode, done.stdout, done.stderr)


def map_of(ours: Any) -> Any:
    """The cell map that the file of ours names, if it names one. ValueError says what is wrong with it."""
    if ours is None or not ours.map:
        return None
    from pumicenotch.config.files import cell_map

    return cell_map(ours.map)[0]


def fence_of(values: dict[str, Any]) -> Any:
    """The node's side of cells; nothing of it is loaded where there are none."""
    cells = map_of(values["ours"])
    if cells is None:
        return None
    from pumicenotch.cells.fence import Fence

    return Fence(Clock().unix(), cells.window_ms, cells)


def maker(plan: Any, values: dict[str, Any]) -> Callable[[float], Any] | None:
    """Makes pools from the time that they begin at; nothing of them is loaded where there are none."""
    if plan is None:
        return None
    from pumicenotch.pools import ClassPools
    from pumicenotch.pools.plan import unknown_classes

    stages, numbers = values["settings"].request_classes, values["stages"]
    for name in unknown_classes(plan, list(numbers)):
        logger.warning("{}: no stage of this server is called {}", values["config"], name)
    return lambda now: ClassPools(now, plan, stages, numbers)


async def join(hub: Hub, group: TaskGroup, ours: Any, seed: int, sockets: int) -> Any:
    """This server's place in its fleet. Its work never waits for any of it; nothing of it is loaded where
    the file of ours names none. Returns what is told when the server leaves and ends.
    """
    from pumicenotch.net import fleet

    return await fleet.member(hub, group, ours.fleet, ours.distribution, seed, sockets)


async def listening(host: str, port: int, most_s: float) -> SocketListener:
    """A process before this one may still drain at that address, for as long as its notice lasts. OSError
    when that is over.
    """
    until, told = anyio.current_time() + most_s, False
    while True:
        try:
            many = await anyio.create_tcp_listener(
                local_host=host, local_port=port, backlog=gateways.BACKLOG
            )
            return cast(SocketListener, many.listeners[0])
        except OSError as error:
            if error.errno != errno.EADDRINUSE or anyio.current_time() > until:
                raise
        if not told:
            logger.info("{}:{} is still in use; waits {:.1f} s at the most", host, port, most_s)
        told = True
        await anyio.sleep(AGAIN_S)


async def serve(values: dict[str, Any], core: Server) -> None:
    clock = Clock()
    hub = Hub(core, clock)
    host, port = values["listen"]
    unread = int(UNREAD_PART * values["memory_mb"] * 1024 * 1024)
    listener = await listening(host, port, values["stop_ms"] / 1000.0)
    async with anyio.create_task_group() as group:
        reloads = Reloads()
        group.start_soon(reloads.run, hub, values)
        group.start_soon(signals, hub, reloads)
        pool_links = Links(hub, group, values["pool"], pool.FRAMES, pool.Reader, unread)
        hub.diallers[runs.LINK], hub.movers[runs.LINK] = pool_links.dial, pool_links.move
        if values["db"] is not None:
            db_links = Links(hub, group, values["db"], database.FRAMES, database.Reader, CALL_MOST)
            hub.diallers[calls.PARTY], hub.movers[calls.PARTY] = db_links.dial, db_links.move
        callers = gateways.Gateways(hub, gateways.unread(unread, core.callers.most))
        hub.closers[LISTENER] = callers.closing.cancel
        group.start_soon(callers.accept, listener, group)
        if values["registry"] is not None:
            registry = Registry(hub, values["registry"], values["name"])
            hub.movers[REGISTRY] = registry.move
            group.start_soon(registry.run)
        await anyio.sleep(0)  # the registry's outbox stands before the first report
        hub.put("start")
        bound = listener.extra(SocketAttribute.local_address)
        logger.info("listening on {}:{}", *bound[:2])
        logger.info("callers are told a {}: the settings are of that shape", values["shape"])
        group.start_soon(clock.run, lambda: hub.put("time"))
        if getattr(values["ours"], "fleet", None) is not None:
            values["peers"] = await join(
                hub, group, values["ours"], values["seed"], values["sockets"]
            )
        peers = values["peers"]
        await hub.exit.wait()
        if peers is not None:
            peers.put("left")
            await peers.flush(FLUSH_S)
        await callers.finish(hub.left_s)
        group.cancel_scope.cancel()


def read() -> dict[str, Any]:
    """The start values of the program; the text of a ValueError says what is wrong with which."""
    path = os.environ.get("LB_CONFIG")
    if not path:
        raise start.InvalidStartValueError("LB_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
        pairs = start.nested(told)
    except (OSError, ValueError, RecursionError) as error:
        raise start.InvalidStartValueError(f"LB_CONFIG {path}: {error}") from None
    settings = start.settings(pairs)
    values = {name: start.read(name, pairs, start.peer, None) for name in MOVABLE}
    values["listen"] = start.read("listen", pairs, start.address, None)
    for name in ("listen", "pool"):
        if values[name] is None:
            raise start.InvalidStartValueError(f"missing start value {name}")
    values |= {"name": pairs.get("name", ""), "pairs": pairs}
    values["seed"] = start.read("seed", pairs, lambda text: int(text, 16), 0)
    values["memory_mb"] = start.read("limits.memory_mb", pairs, float, 192.0)
    values["stop_ms"] = start.read("stop_ms", pairs, float, None)
    values["sockets"] = start.read("limits.sockets", pairs, int, 1024)
    values["shape"] = start.shape(settings)
    values["settings"] = start.controller_settings(settings)
    values["stages"], values["tenants"] = (
        start.named(settings, "classes"),
        start.named(settings, "tenants"),
    )
    if not values["stages"]:
        raise start.InvalidStartValueError(
            "missing start value settings.classes: no task could be told from another"
        )
    if values["stop_ms"] is None:
        raise start.InvalidStartValueError(
            "missing start value stop_ms: the time from the notice to the end, in ms"
        )
    start.bounded(pairs, BOUNDS)
    return values


def made(values: dict[str, Any], decides: type[AdmissionController]) -> Server:
    told = dict(values)
    if getattr(values["ours"], "fleet", None) is not None:
        from pumicenotch.net.fleet import links

        # what its fleet takes of the descriptors is not the core's
        told["sockets"] -= links(values["sockets"], values["ours"].distribution)
    given, _ = resource.getrlimit(resource.RLIMIT_NOFILE)  # which may be less than what was named
    if given != resource.RLIM_INFINITY:
        told["sockets"] = min(told["sockets"], given)
    return Server(
        below=values["db"] is not None,
        decides=decides,
        pools=maker(getattr(values["ours"], "plan", None), values),
        fence=fence_of(values),
        node=getattr(values["ours"], "node", ""),
        **{
            name: told[name]
            for name in ("settings", "stages", "tenants", "seed", "stop_ms", "memory_mb", "sockets")
        },
    )


def main(decides: type[AdmissionController] = AdmissionController) -> None:
    logs.to_stderr()
    try:
        values = read()
        values["config"] = os.environ.get("PUMICENOTCH_CONFIG", "")
        values["ours"], values["peers"] = planned(values["config"]), None
        core = made(values, decides)
    except ValueError as error:
        sys.exit(f"pumicenotch: {error}")
    try:
        anyio.run(serve, values, core, backend_options={"use_uvloop": True})
    except OSError as error:
        sys.exit(f"pumicenotch: {error}")


if __name__ == "__main__":
    main()
