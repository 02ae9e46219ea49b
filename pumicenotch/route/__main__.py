"""Runs the router's reducer on sockets.

Started as `python -m pumicenotch.route FILE`, or as `pumicenotch route --config FILE`.
"""

import json
import os
import signal
import sys
from functools import partial

import anyio
from anyio.abc import SocketAttribute
from loguru import logger

from pumicenotch import start
from pumicenotch.cells.map import InvalidCellMapError, is_newer
from pumicenotch.config.files import load_cell_map
from pumicenotch.config.hcl import InvalidFileError
from pumicenotch.config.router import RouterFile, router_of
from pumicenotch.net import gateway_listener, logs
from pumicenotch.net.busy_time import report_busy_time
from pumicenotch.net.clock import Clock
from pumicenotch.net.hub import Hub
from pumicenotch.net.listening import open_listener
from pumicenotch.net.process_end import end_process
from pumicenotch.net.signals import receive_signals
from pumicenotch.route.decide import LISTENER, NODE_DIALER, MapRead, Router
from pumicenotch.route.nodes import NodeDialer
from pumicenotch.server.events import (
    CountersRequested,
    ProblemFound,
    ShutdownRequested,
    Started,
    TimerFired,
)

# The cell map file is polled this often, which bounds how long a router misses a move.
MAP_POLL_S = 0.25
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1)


def make_router(config: RouterFile, clock: Clock) -> Router:
    """Creates the reducer from the files that the router's file names.

    Raises:
        InvalidCellMapError: The cell map is invalid or cannot be read.
        InvalidStartValueError: The settings are invalid or cannot be read.
    """
    cells, confirmed_at = load_cell_map(config.map)
    try:
        with open(config.settings, encoding="utf-8") as file:
            pairs = start.flatten(json.load(file))
    except (OSError, ValueError) as error:
        raise start.InvalidStartValueError(
            f"{config.settings}:1: cannot be read: {error}"
        ) from None
    values = start.settings_of(pairs)
    settings = start.controller_settings(values)
    return Router(
        cells=cells,
        confirmed_at=confirmed_at,
        request_classes=settings.request_classes,
        class_indexes=start.index_by_name(values, "classes"),
        seed=config.seed,
        shutdown_ms=config.stop_ms,
        max_sockets=config.sockets,
    )


async def handle_signals(hub: Hub[Router]) -> None:
    """Delivers received signals as events."""
    with receive_signals(SIGNALS) as received:
        async for signal_number, waited_ms in received:
            if signal_number == signal.SIGUSR1:
                hub.deliver(CountersRequested())
            else:
                hub.deliver(ShutdownRequested(waited_ms))


async def poll_map(hub: Hub[Router], core: Router, path: str) -> None:
    """Delivers newer maps and confirmations of the current one.

    A map file that is invalid or older changes nothing and is reported.
    """
    seen_mtime_ms = 0.0
    while True:
        await anyio.sleep(MAP_POLL_S)
        try:
            mtime_ms = os.stat(path).st_mtime * 1000.0
            if mtime_ms == seen_mtime_ms:
                continue
            cells, confirmed_at = load_cell_map(path)
            seen_mtime_ms = mtime_ms
            if is_newer(core.cells, cells):
                text = f"the cell map of epoch {cells.epoch} is in force"
                hub.deliver(MapRead(cells, confirmed_at, text))
            elif cells.epoch == core.cells.epoch:
                hub.deliver(MapRead(core.cells, confirmed_at, ""))
            else:
                text = f"{path}: epoch {cells.epoch} is older than {core.cells.epoch}"
                hub.deliver(ProblemFound("maps_old", text))
        except (InvalidCellMapError, OSError) as error:
            text = f"{error}; epoch {core.cells.epoch} stays in force"
            hub.deliver(ProblemFound("maps_unreadable", text))


async def serve(config: RouterFile, core: Router, clock: Clock) -> None:
    """Runs the router until it has shut down."""
    hub = Hub(core, clock)
    listener = await open_listener(start.parse_address(config.listen))

    def address_of(node: str) -> tuple[str, int]:
        return start.parse_address(core.cells.addresses()[node])

    async with anyio.create_task_group() as group:
        group.start_soon(handle_signals, hub)
        hub.dialers[NODE_DIALER] = NodeDialer(hub, group, address_of).dial
        max_unread_bytes = 2 * gateway_listener.MIN_UNREAD_BYTES
        callers = gateway_listener.GatewayListener(hub, max_unread_bytes)
        hub.closers[LISTENER] = callers.accept_scope.cancel
        hub.measure_busy_time = partial(group.start_soon, report_busy_time, hub.deliver)
        group.start_soon(callers.accept, listener, group)
        group.start_soon(poll_map, hub, core, config.map)
        hub.deliver(Started())
        logger.info("listening on {}:{}", *listener.extra(SocketAttribute.local_address)[:2])
        group.start_soon(partial(clock.run, lambda: hub.deliver(TimerFired())))
        await hub.exit.wait()
        await callers.finish(hub.exit_timeout_s)
        end_process()  # without cancelling each task, which takes as long as closing connections


def main() -> None:
    """Starts the router with the file that the command line names."""
    # SIGHUP reloads a server; a router polls its map and reloads nothing else, so it is blocked.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, *SIGNALS})
    logs.to_stderr()
    clock = Clock()
    try:
        config = router_of(sys.argv[1])
        core = make_router(config, clock)
    except (InvalidFileError, InvalidCellMapError, start.InvalidStartValueError) as error:
        print(error, file=sys.stderr)
        sys.exit(2)
    try:
        anyio.run(serve, config, core, clock, backend_options={"use_uvloop": True})
    except OSError as error:
        sys.exit(f"pumicenotch route: {error}")
    end_process()


if __name__ == "__main__":
    main()
