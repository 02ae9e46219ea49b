"""Reloads the start values and the instance file of a running server."""

from typing import TYPE_CHECKING, cast

import anyio
from loguru import logger

from pumicenotch.net import instance_file
from pumicenotch.net.hub import Hub
from pumicenotch.net.start_values import StartValues, read_start_values
from pumicenotch.server.core import Server
from pumicenotch.server.events import (
    AddressesChanged,
    CellMapReplaced,
    PoolsReplaced,
    ProblemFound,
)

if TYPE_CHECKING:  # Fleet modules are not loaded by servers without a fleet.
    from pumicenotch.cells.map import CellMap
    from pumicenotch.config.compiled import InstanceConfig
    from pumicenotch.net.configuration import InstanceDistributionService
    from pumicenotch.net.peers import PeerHub


class RunningConfiguration:
    """The configuration in force.

    Args:
        values: The start values.
        path: Path of the instance file; "" if there is none.
        instance: Content of the instance file; None if there is none.
    """

    def __init__(self, values: StartValues, path: str, instance: "InstanceConfig | None") -> None:
        self.values = values
        self.path = path
        self.instance = instance
        self.peers: PeerHub | None = None  # Set if this server belongs to a fleet.


class Reloads:
    """Runs reloads one at a time, concurrently with the server's work.

    Requests during a reload cause one further reload. Reading a file may take a second, and a
    shutdown does not wait for it.

    Args:
        hub: The server's hub, which receives the changes.
        running: The configuration in force, which a reload replaces.
    """

    def __init__(self, hub: Hub[Server], running: RunningConfiguration) -> None:
        self.hub = hub
        self.running = running
        self.requested = anyio.Event()

    def request(self) -> None:
        """Requests a reload."""
        self.requested.set()

    async def run(self) -> None:
        """Runs the requested reloads until cancelled."""
        while True:
            await self.requested.wait()
            self.requested = anyio.Event()
            try:
                await self._reload()
            except Exception as error:  # noqa: BLE001 - a failed reload must not end the process
                self.hub.on_fault("reload", error)
                self._refuse(repr(error))

    async def _reload(self) -> None:
        """Applies both files, or neither if one of them is invalid."""
        try:
            values = read_start_values()
            instance = await instance_file.read_for_reload(self.running.path)
            cells = instance_file.read_cell_map(instance)
        except ValueError as error:
            self._refuse(str(error))
            return
        self._apply_addresses(values)
        self._apply_cell_map(cells)
        if instance is not None and self.running.instance is not None:
            self._apply_distribution(instance, self.running.instance)
            self._apply_pools(instance, self.running.instance)

    def _refuse(self, reason: str) -> None:
        text = f"reload: {reason}; the running values stay in force"
        self.hub.deliver(ProblemFound("reloads_failed", text))

    def _apply_addresses(self, values: StartValues) -> None:
        running = self.running.values
        moved = {
            party: address
            for party, address in values.addresses.items()
            if party in running.addresses and running.addresses[party] != address
        }
        changed = [
            path
            for path in sorted(running.pairs.keys() | values.pairs.keys())
            if running.pairs.get(path) != values.pairs.get(path)
        ]
        not_applied = " ".join(path for path in changed if path not in moved) or "nothing"
        self.hub.deliver(AddressesChanged(moved, not_applied))
        self.running.values = running._replace(
            addresses=running.addresses | moved,
            pairs=running.pairs | {party: values.pairs[party] for party in moved},
        )

    def _apply_cell_map(self, cells: "CellMap | None") -> None:
        admission = self.hub.core.cells
        if cells is None or admission is None:
            return
        current = admission.fence.cells
        if current is None or cells.epoch > current.epoch:
            text = f"the cell map of epoch {cells.epoch} is in force"
            self.hub.deliver(CellMapReplaced(cells, text))

    def _apply_distribution(self, instance: "InstanceConfig", current: "InstanceConfig") -> None:
        settings = instance.distribution
        if settings == current.distribution:
            return
        peers = self.running.peers
        if peers is None or peers.extension is None or settings is None:
            logger.info("reload: a restart is required to enable or disable the distribution block")
        else:
            cast("InstanceDistributionService", peers.extension).reload(settings)
            meaning = settings.meaning()
            logger.info("reload: this server subscribes to published configuration of {}", meaning)
        self.running.instance = current._replace(distribution=settings)

    def _apply_pools(self, instance: "InstanceConfig", current: "InstanceConfig") -> None:
        if instance.plan == current.plan:
            return
        self.running.instance = instance
        text = "class pools of the file are in force" if instance.plan else "pools are off"
        make_pools = instance_file.pools_maker(
            instance.plan, self.running.values, self.running.path
        )
        self.hub.deliver(PoolsReplaced(make_pools, text))
