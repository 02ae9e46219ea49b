"""The server: reads its configuration, wires the core to its sockets, and handles signals."""

import signal

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
# Until they are received, and again afterwards, they wait: their default action would end the
# process.
signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)

import errno
import os
import resource
import sys
from typing import TYPE_CHECKING, cast

import anyio
import anyio.lowlevel
from anyio.abc import SocketAttribute, SocketListener, TaskGroup
from loguru import logger

from pumicenotch.control import AdmissionController
from pumicenotch.net import database, gateway_listener, instance_file, logs, pool
from pumicenotch.net.clock import Clock
from pumicenotch.net.dialer import DialedProtocol, Dialer
from pumicenotch.net.gateway_listener import GatewayListener
from pumicenotch.net.hub import Hub
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

if TYPE_CHECKING:  # nothing of a fleet is loaded where there is none
    from pumicenotch.config.compiled import Ours
    from pumicenotch.net.peers import PeerHub

UNREAD_MEMORY_FRACTION = 0.125  # for what the pool leaves unread while it hangs
BYTES_PER_MB = 1024 * 1024
LISTEN_RETRY_S = 0.1  # while the address is still in use
PEER_FLUSH_S = 0.05  # for the last messages among instances to leave


async def handle_signals(hub: Hub[Server], reloads: Reloads) -> None:
    """Turns signals into events until it is cancelled."""
    with receive_signals(SIGNALS) as received:
        async for number, waited_ms in received:
            if number == signal.SIGHUP:
                reloads.request()
            elif number == signal.SIGUSR1:
                hub.deliver(CountersRequested())
            else:
                hub.deliver(ShutdownRequested(waited_ms))


async def listen(host: str, port: int, timeout_s: float) -> SocketListener:
    """Listens there, after a process before this one that may still drain at that address.

    Raises:
        OSError: The address cannot be had, or is still in use after the timeout.
    """
    deadline = anyio.current_time() + timeout_s
    logged = False
    while True:
        try:
            listeners = await anyio.create_tcp_listener(
                local_host=host, local_port=port, backlog=gateway_listener.BACKLOG
            )
            return cast(SocketListener, listeners.listeners[0])
        except OSError as error:
            if error.errno != errno.EADDRINUSE or anyio.current_time() > deadline:
                raise
        if not logged:
            logger.info("{}:{} is still in use; waits {:.1f} s at the most", host, port, timeout_s)
        logged = True
        await anyio.sleep(LISTEN_RETRY_S)


def add_dialer(
    hub: Hub[Server],
    group: TaskGroup,
    name: str,
    address: tuple[str, int],
    protocol: DialedProtocol,
) -> None:
    """Has the hub dial a party there."""
    dialer = Dialer(hub, group, address, protocol)
    hub.dialers[name] = dialer.dial
    hub.address_changers[name] = dialer.change_address


def connect_parties(hub: Hub[Server], group: TaskGroup, values: StartValues) -> None:
    """Wires worker pool, database and registry to the hub."""
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
    """Returns how much of the memory may hold what other parties leave unread."""
    return int(UNREAD_MEMORY_FRACTION * values.memory_mb * BYTES_PER_MB)


async def join_fleet(
    hub: Hub[Server], group: TaskGroup, running: RunningConfiguration
) -> "PeerHub | None":
    """Takes this server's place in its fleet, if the instance's file names one.

    The server's work never waits for any of it.
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
    """Runs the server until the core's exit and its last answers are written."""
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
        group.start_soon(gateways.accept, listener, group)
        await anyio.lowlevel.checkpoint()  # the registry's outbox is there before the first report
        hub.deliver(Started())
        bound = listener.extra(SocketAttribute.local_address)
        logger.info("listening on {}:{}", *bound[:2])
        logger.info("callers are told a {}: the settings are of that shape", values.hint_shape)
        group.start_soon(clock.run, lambda: hub.deliver(TimerFired()))
        peers = await join_fleet(hub, group, running)
        running.peers = peers
        await hub.exit.wait()
        if peers is not None:
            peers.put("left")
            await peers.flush(PEER_FLUSH_S)
        await gateways.finish(hub.exit_timeout_s)
        group.cancel_scope.cancel()


def available_descriptors(values: StartValues, instance: "Ours | None") -> int:
    """Returns what the core may use: less than is named where a fleet or the system takes some."""
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
    """Returns the core; raises ValueError if the cell map is wrong."""
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
    """Runs one server, as the environment's files say."""
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
