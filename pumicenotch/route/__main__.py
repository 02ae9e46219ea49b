"""Wires the router's reducer to its sockets: `python -m pumicenotch.route FILE`, or `pumicenotch route
--config FILE`.
"""

import json
import os
import signal
import sys
from functools import partial
from typing import cast

import anyio
from anyio.abc import SocketAttribute, SocketListener
from loguru import logger

from pumicenotch import start
from pumicenotch.cells.map import InvalidCellMapError, newer
from pumicenotch.config.files import cell_map
from pumicenotch.config.hcl import InvalidFileError
from pumicenotch.config.router import RouterFile, router_of
from pumicenotch.net import gateway_listener, logs
from pumicenotch.net.clock import Clock
from pumicenotch.net.hub import Hub
from pumicenotch.net.process_end import end_process
from pumicenotch.net.signals import receive_signals
from pumicenotch.route.decide import LISTENER, PARTY, MapRead, Router
from pumicenotch.route.nodes import NodeLinks
from pumicenotch.server.events import (
    CountersRequested,
    ProblemFound,
    ShutdownRequested,
    Started,
    TimerFired,
)

LOOK_S = 0.25  # between looks at the map's file: a move is with a router that soon
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)


def made(told: RouterFile, clock: Clock) -> Router:
    """Raises InvalidCellMapError and InvalidStartValueError."""
    cells, confirmed = cell_map(told.map)
    try:
        with open(told.settings, encoding="utf-8") as file:
            pairs = start.flatten(json.load(file))
    except (OSError, ValueError) as error:
        raise start.InvalidStartValueError(f"{told.settings}:1: cannot be read: {error}") from None
    inside = start.settings_of(pairs)
    settings = start.controller_settings(inside)
    return Router(
        cells=cells,
        confirmed=confirmed,
        stages=settings.request_classes,
        numbers=start.index_by_name(inside, "classes"),
        seed=told.seed,
        stop_ms=told.stop_ms,
        sockets=told.sockets,
    )


async def signals(hub: Hub[Router]) -> None:
    with receive_signals(SIGNALS) as coming:
        async for number, waited_ms in coming:
            if number == signal.SIGUSR1:
                hub.deliver(CountersRequested())
            else:
                hub.deliver(ShutdownRequested(waited_ms))


async def maps(hub: Hub[Router], core: Router, path: str) -> None:
    """Takes newer maps, and notes when the one that is held is confirmed. One that cannot be taken changes
    nothing.
    """
    seen = 0.0
    while True:
        await anyio.sleep(LOOK_S)
        try:
            when = os.stat(path).st_mtime * 1000.0
            if when == seen:
                continue
            cells, confirmed = cell_map(path)
            seen = when
            if newer(core.cells, cells):
                text = f"the cell map of epoch {cells.epoch} is in force"
                hub.deliver(MapRead(cells, confirmed, text))
            elif cells.epoch == core.cells.epoch:
                hub.deliver(MapRead(core.cells, confirmed, ""))
            else:
                text = f"{path}: epoch {cells.epoch} is older than {core.cells.epoch}"
                hub.deliver(ProblemFound("maps_old", text))
        except (InvalidCellMapError, OSError) as error:
            text = f"{error}; epoch {core.cells.epoch} stays in force"
            hub.deliver(ProblemFound("maps_unreadable", text))


async def serve(told: RouterFile, core: Router, clock: Clock) -> None:
    hub = Hub(core, clock)
    host, port = start.parse_address(told.listen)
    listeners = await anyio.create_tcp_listener(
        local_host=host, local_port=port, backlog=gateway_listener.BACKLOG
    )
    listener = cast(SocketListener, listeners.listeners[0])

    def address_of(node: str) -> tuple[str, int]:
        return start.parse_address(core.cells.addresses()[node])

    async with anyio.create_task_group() as group:
        group.start_soon(signals, hub)
        hub.dialers[PARTY] = NodeLinks(hub, group, address_of).dial
        max_unread_bytes = 2 * gateway_listener.MIN_UNREAD_BYTES
        callers = gateway_listener.GatewayListener(hub, max_unread_bytes)
        hub.closers[LISTENER] = callers.accept_scope.cancel
        group.start_soon(callers.accept, listener, group)
        group.start_soon(maps, hub, core, told.map)
        hub.deliver(Started())
        logger.info("listening on {}:{}", *listener.extra(SocketAttribute.local_address)[:2])
        group.start_soon(partial(clock.run, lambda: hub.deliver(TimerFired())))
        await hub.exit.wait()
        await callers.finish(hub.exit_timeout_s)
        group.cancel_scope.cancel()


def main() -> None:
    # The map is looked at by itself, and nothing else is read again: this signal is for servers.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, *SIGNALS})
    logs.to_stderr()
    clock = Clock()
    try:
        told = router_of(sys.argv[1])
        core = made(told, clock)
    except (InvalidFileError, InvalidCellMapError, start.InvalidStartValueError) as error:
        print(error, file=sys.stderr)
        sys.exit(2)
    try:
        anyio.run(serve, told, core, clock, backend_options={"use_uvloop": True})
    except OSError as error:
        sys.exit(f"pumicenotch route: {error}")
    end_process()


if __name__ == "__main__":
    main()
