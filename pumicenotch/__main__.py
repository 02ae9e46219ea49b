"""The server process: reads its configuration, connects the core to sockets, handles signals."""

import signal

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
# Blocked before the long imports. Signals stay pending until `handle_signals` receives them, and
# again after it has ended. Their default action would kill the process.
signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)

import errno
import os
import resource
import sys
from functools import partial
from typing import TYPE_CHECKING

import anyio
import anyio.lowlevel
from anyio.abc import SocketAttribute, SocketListener, TaskGroup
from loguru import logger

from pumicenotch.control import AdmissionController
from pumicenotch.net import database, gateway_listener, instance_file, logs, pool
from pumicenotch.net.busy_time import report_busy_time
from pumicenotch.net.clock import Clock
from pumicenotch.net.dialer import DialedProtocol, Dialer
from pumicenotch.net.gateway_listener import GatewayListener
from pumicenotch.net.hub import Hub
from pumicenotch.net.listening import open_listener
from pumicenotch.net.process_end import end_process
from pumicenotch.net.registry import Registry
from pumicenotch.net.reloads import Reloads, RunningConfiguration
from pumicenotch.net.signals import receive_signals
from pumicenotch.net.start_values import StartValues, read_start_values
from pumicenotch.server import database_client, registry_reporter, worker_pool_client
from pumicenotch.server.core import Server
from pumicenotch.server.events import (
    CountersRequested,
    ShutdownRequested,
    Started,
    TimerFired,
)
from pumicenotch.server.lifecycle import LISTENER
from pumicenotch.server.settings import ServerSettings

if TYPE_CHECKING:  # a server without a fleet does not import these modules
    from pumicenotch.config.compiled import InstanceConfig
    from pumicenotch.net.peers import PeerHub

# Share of the memory limit for written data that the pool does not read while it hangs.
UNREAD_MEMORY_FRACTION = 0.125
BYTES_PER_MB = 1024 * 1024
LISTEN_RETRY_S = 0.1  # interval between attempts while the address is in use
PEER_FLUSH_S = 0.05  # time to send the last messages to other instances


async def handle_signals(hub: Hub[Server], reloads: Reloads) -> None:
    """Delivers signals to the core as events, and SIGHUP as a reload, until cancelled."""
    with receive_signals(SIGNALS) as received:
        async for number, waited_ms in received:
            if number == signal.SIGHUP:
                reloads.request()
            elif number == signal.SIGUSR1:
                hub.deliver(CountersRequested())
            else:
                hub.deliver(ShutdownRequested(waited_ms))


async def listen(host: str, port: int, timeout_s: float) -> SocketListener:
    """Returns a listener, and waits while a draining predecessor still uses the address.

    Raises:
        OSError: The address cannot be bound, or is still in use after the timeout.
    """
    deadline = anyio.current_time() + timeout_s
    logged = False
    while True:
        try:
            return await open_listener((host, port))
        except OSError as error:
            if error.errno != errno.EADDRINUSE or anyio.current_time() > deadline:
                raise
        if not logged:
            logger.info("{}:{} is still in use; retrying for up to {:.1f} s", host, port, timeout_s)
        logged = True
        await anyio.sleep(LISTEN_RETRY_S)


def add_dialer(
    hub: Hub[Server],
    group: TaskGroup,
    name: str,
    address: tuple[str, int],
    protocol: DialedProtocol,
) -> None:
    """Registers a dialer for a party with the hub."""
    dialer = Dialer(hub, group, address, protocol)
    hub.dialers[name] = dialer.dial
    hub.address_changers[name] = dialer.change_address


def connect_parties(hub: Hub[Server], group: TaskGroup, values: StartValues) -> None:
    """Connects the hub to worker pool, database and registry, as far as they are configured."""
    unread_bytes = max_unread_bytes(values)
    addresses = values.addresses
    add_dialer(
        hub, group, worker_pool_client.CONNECTION, addresses["pool"], pool.protocol(unread_bytes)
    )
    if "db" in addresses:
        add_dialer(hub, group, database_client.PARTY, addresses["db"], database.PROTOCOL)
    if "registry" in addresses:
        registry = Registry(hub, addresses["registry"], values.name)
        hub.address_changers[registry_reporter.CONNECTION] = registry.change_address
        group.start_soon(registry.run)


def max_unread_bytes(values: StartValues) -> int:
    """Returns the memory in bytes for data that was written and not read by its receiver."""
    return int(UNREAD_MEMORY_FRACTION * values.memory_mb * BYTES_PER_MB)


async def join_fleet(
    hub: Hub[Server], group: TaskGroup, running: RunningConfiguration
) -> "PeerHub | None":
    """Joins the fleet that the instance's file names, if it names one.

    Serving requests never waits for the fleet.
    """
    instance = running.instance
    if instance is None or instance.fleet is None:
        return None
    from pumicenotch.net import fleet_member

    values = running.values
    return await fleet_member.join_fleet(
        hub, group, instance.fleet, instance.distribution, values.seed, values.max_descriptors
    )


async def serve(running: RunningConfiguration, core: Server) -> None:
    """Runs the server until the core requests its exit and the last answers are written."""
    values = running.values
    clock = Clock()
    hub = Hub(core, clock)
    listener = await listen(*values.listen, values.shutdown_ms / 1000.0)
    async with anyio.create_task_group() as group:
        reloads = Reloads(hub, running)
        group.start_soon(reloads.run)
        group.start_soon(handle_signals, hub, reloads)
        connect_parties(hub, group, values)
        gateways = GatewayListener(
            hub,
            gateway_listener.unread_bytes_per_gateway(
                max_unread_bytes(values), core.connections.limit
            ),
        )
        hub.closers[LISTENER] = gateways.accept_scope.cancel
        hub.measure_busy_time = partial(group.start_soon, report_busy_time, hub.deliver)
        group.start_soon(gateways.accept, listener, group)
        await anyio.lowlevel.checkpoint()  # creates the registry's outbox before the first report
        hub.deliver(Started())
        bound = listener.extra(SocketAttribute.local_address)
        logger.info("listening on {}:{}", *bound[:2])
        logger.info("callers are told a {} as their load hint", values.hint_shape)
        group.start_soon(clock.run, lambda: hub.deliver(TimerFired()))
        peers = await join_fleet(hub, group, running)
        running.peers = peers
        await hub.exit.wait()
        if peers is not None:
            peers.put("left")
            await peers.flush(PEER_FLUSH_S)
        await gateways.finish(hub.exit_timeout_s)
        end_process()  # without cancelling each task, which takes as long as closing connections


def available_descriptors(values: StartValues, instance: "InstanceConfig | None") -> int:
    """Returns the number of descriptors that the core may use.

    A fleet's connections are subtracted from the configured number, and the soft limit of the
    process bounds the rest.
    """
    descriptors = values.max_descriptors
    if instance is not None and instance.fleet is not None:
        from pumicenotch.net.fleet_member import max_fleet_connections

        descriptors -= max_fleet_connections(values.max_descriptors, instance.distribution)
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit != resource.RLIM_INFINITY:
        descriptors = min(descriptors, soft_limit)
    return descriptors


def make_server(
    running: RunningConfiguration, controller_type: type[AdmissionController]
) -> Server:
    """Returns the core for a configuration.

    Raises:
        ValueError: The cell map is invalid.
    """
    values = running.values
    instance = running.instance
    settings = ServerSettings(
        controller=values.controller,
        class_indexes=values.class_indexes,
        tenant_indexes=values.tenant_indexes,
        seed=values.seed,
        shutdown_ms=values.shutdown_ms,
        has_database="db" in values.addresses,
        memory_mb=values.memory_mb,
        max_descriptors=available_descriptors(values, instance),
    )
    plan = instance.plan if instance is not None else None
    return Server(
        settings,
        controller_type=controller_type,
        make_pools=instance_file.pools_maker(plan, values, running.path),
        fence=instance_file.make_fence(instance),
        node=instance.node if instance is not None else "",
    )


def main(controller_type: type[AdmissionController] = AdmissionController) -> None:
    """Runs one server process, configured by the files that the environment names.

    Exits with an error message if the configuration is invalid or the address cannot be bound.
    """
    logs.to_stderr()
    try:
        values = read_start_values()
        path = os.environ.get(instance_file.PATH_VARIABLE, "")
        running = RunningConfiguration(values, path, instance_file.read_at_start(path))
        core = make_server(running, controller_type)
    except ValueError as error:
        sys.exit(f"pumicenotch: {error}")
    try:
        anyio.run(serve, running, core, backend_options={"use_uvloop": True})
    except OSError as error:
        sys.exit(f"pumicenotch: {error}")
    end_process()


if __name__ == "__main__":
    main()
