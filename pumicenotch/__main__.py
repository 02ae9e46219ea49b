"""Reads LB_CONFIG, wires the core to its sockets, and handles the signals."""

import signal

# Until the receiver stands, a reload waits: the signal's own effect would end the process.
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

import json
import os
import sys
from functools import partial
from typing import Any, cast

import anyio
from anyio.abc import SocketAttribute, SocketListener
from loguru import logger

from pumicenotch import start
from pumicenotch.net import database, gateways, pool
from pumicenotch.net.clock import Clock
from pumicenotch.net.dial import Links
from pumicenotch.net.hub import Hub
from pumicenotch.net.registry import Registry
from pumicenotch.server import calls, runs
from pumicenotch.server.core import LISTENER, REGISTRY, Server

UNREAD_PART = 0.125  # of the memory, for what the pool leaves unread while it hangs
CALL_MOST = 64 * 1024  # a link below carries one call, of some KB
# One gateway's is its part of as much, from eight full answers for one that stands still to the 32 that a
# connection may have open. The kernel holds as much again before any of it counts.
UNREAD_LEAST, UNREAD_MOST = 32 * 1024, 192 * 1024
FLUSH_S = 0.05  # for the last answers to leave: they are small, and their peers on the same network
MOVABLE = ("pool", "db", "registry")  # whose addresses a reload changes


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host:
        raise ValueError("no host:port")
    return host.strip("[]"), int(port)


async def signals(hub: Hub, values: dict[str, Any]) -> None:
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
    with anyio.open_signal_receiver(*numbers) as received:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        async for number in received:
            if number == signal.SIGHUP:
                reload(hub, values)
            else:
                hub.put("show_counters" if number == signal.SIGUSR1 else "leave")


def reload(hub: Hub, values: dict[str, Any]) -> None:
    """A file that cannot be read whole leaves the running values in force."""
    try:
        new, _ = read()
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


async def serve(values: dict[str, Any], core: Server) -> None:
    clock = Clock()
    hub = Hub(core, clock)
    host, port = values["listen"]
    unread = int(UNREAD_PART * values["memory_mb"] * 1024 * 1024)
    listeners = await anyio.create_tcp_listener(local_host=host, local_port=port, backlog=gateways.BACKLOG)
    listener = cast(SocketListener, listeners.listeners[0])
    async with anyio.create_task_group() as group:
        group.start_soon(signals, hub, values)
        pool_links = Links(hub, group, values["pool"], pool.FRAMES, partial(pool.Reader, hub), unread)
        hub.diallers[runs.LINK], hub.movers[runs.LINK] = pool_links.dial, pool_links.move
        if values["db"] is not None:
            reader = partial(database.Reader, hub)
            db_links = Links(hub, group, values["db"], database.FRAMES, reader, CALL_MOST)
            hub.diallers[calls.PARTY], hub.movers[calls.PARTY] = db_links.dial, db_links.move
        callers = gateways.Gateways(hub, max(UNREAD_LEAST, min(UNREAD_MOST, unread // core.callers.most)))
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
        group.start_soon(clock.run, lambda: hub.put("time"))
        await hub.exit.wait()
        await hub.flush(FLUSH_S)
        group.cancel_scope.cancel()


def read() -> tuple[dict[str, Any], Server]:
    """The start values of the program; the text of a ValueError says what is wrong with which."""
    path = os.environ.get("LB_CONFIG")
    if not path:
        raise start.BadStart("LB_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except (OSError, ValueError) as error:
        raise start.BadStart(f"LB_CONFIG {path}: {error}") from None
    pairs = start.nested(told)
    inside = "settings."
    settings = {path.removeprefix(inside): text for path, text in pairs.items() if path.startswith(inside)}
    values = {
        name: start.read(name, pairs, address, None) for name in ("listen", "pool", "registry", "db")
    }
    for name in ("listen", "pool"):
        if values[name] is None:
            raise start.BadStart(f"missing start value {name}")
    values |= {"name": pairs.get("name", ""), "pairs": pairs}
    seed = start.read("seed", pairs, lambda text: int(text, 16), 0)
    values["memory_mb"] = start.read("limits.memory_mb", pairs, float, 192.0)
    core = Server(
        keywords=start.keywords(settings), stages=start.names(settings, "classes"),
        tenants=start.names(settings, "tenants"), seed=seed,
        stop_ms=start.read("stop_ms", pairs, float, 0.0), below=values["db"] is not None,
        memory_mb=values["memory_mb"], sockets=start.read("limits.sockets", pairs, int, 1024),
    )  # fmt: skip
    return values, core


def main() -> None:
    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {message}", backtrace=False, diagnose=False)
    try:
        values, core = read()
    except ValueError as error:
        sys.exit(f"pumicenotch: {error}")
    try:
        anyio.run(serve, values, core, backend_options={"use_uvloop": True})
    except OSError as error:
        sys.exit(f"pumicenotch: {error}")


if __name__ == "__main__":
    main()
