"""Reloads both configuration files of a running server."""

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

if TYPE_CHECKING:  # nothing of a fleet is loaded where there is none
    from pumicenotch.cells.map import CellMap
    from pumicenotch.config.compiled import InstanceConfig
    from pumicenotch.net.configuration import InstanceDistributionService
    from pumicenotch.net.peers import PeerHub


class RunningConfiguration:
    """What is in force.

    Args:
        values: The start values.
        path: Of the instance's file, "" where none is named.
        instance: What that file says.
    """

    def __init__(self, values: StartValues, path: str, instance: "InstanceConfig | None") -> None:
        self.values = values
        self.path = path
        self.instance = instance
        self.peers: PeerHub | None = None  # this server's place in its fleet


class Reloads:
    """One reload at a time, beside all else; those requested during one come to one more.

    Reading a file may take a second, and a shutdown must not wait for it.

    Args:
        hub: Of the server.
        running: What is in force.
    """

    def __init__(self, hub: Hub[Server], running: RunningConfiguration) -> None:
        self.hub = hub
        self.running = running
        self.requested = anyio.Event()

    def request(self) -> None:
        """Asks for a reload."""
        self.requested.set()

    async def run(self) -> None:
        """Reloads whenever it was requested, until it is cancelled."""
        while True:
            await self.requested.wait()
            self.requested = anyio.Event()
            try:
                await self._reload()
            except Exception as error:  # noqa: BLE001 - a failed reload must not end the process
                self.hub.on_fault("reload", error)
                self._refuse(repr(error))

    async def _reload(self) -> None:
        """Takes both files, or neither where one cannot be read."""
        try:
            values = read_start_values()
            instance = await instance_file.read_again(self.running.path)
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
            logger.info("reload: the block distribution is switched on and off by a restart")
        else:
            cast("InstanceDistributionService", peers.extension).reload(settings)
            meaning = settings.meaning()
            logger.info("reload: this server takes published configuration of {}", meaning)
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
