"""One hollow instance: the real member, its real hub and listener, measured, with no requests behind it."""

import random
import resource
import time
from pathlib import Path
from typing import Any

import anyio
import msgpack

from pumicenotch import start
from pumicenotch.distribution.instance_settings import InstanceSettings
from pumicenotch.fleet.member import effects
from pumicenotch.fleet.member.node import MemberNode, MemberSetup
from pumicenotch.fleet.member.settings import FleetSettings
from pumicenotch.lab.hollow_configuration import HollowConfiguration, configured
from pumicenotch.lab.hollow_messages import FIRST_BEGAN_MS, Place, Report, Spec, life_of
from pumicenotch.lab.hollow_meter import Meter
from pumicenotch.membership.full_state import MAX_EXCHANGE_PERIODS, SEED_EXCHANGES
from pumicenotch.membership.messages import MemberIdentity, MemberPhase, MemberState, Update
from pumicenotch.membership.swim import PERIOD_MS
from pumicenotch.net.fleet_member import MAX_FRAME_BYTES, REPORT_INTERVAL_S, max_fleet_connections
from pumicenotch.net.listening import open_listener
from pumicenotch.net.peer_frames import PeerMessage
from pumicenotch.net.peers import PeerHub, run_hub
from pumicenotch.net.resettable_timer import ResettableTimer

SOCKETS = 1024  # descriptors that the platform gives a server: the fleet's part follows from it
GONE_S = 3.0  # for an orderly end to be agreed, before the instance stops all the same
DRAIN_S = 0.3  # between the word of a drain and its end: nobody is served meanwhile
KNOWN_INCARNATION = 2  # of a member that has come into service once


class Partition:
    """Which members are cut off from all others."""

    def __init__(self, directory: list[Place]) -> None:
        self.address = {place.name: place.address for place in directory}
        self.inside: frozenset[str] = frozenset()  # addresses

    def cut(self, names: list[str]) -> None:
        self.inside = frozenset(self.address[name] for name in names)

    def heal(self) -> None:
        self.inside = frozenset()

    def between(self, one: str, other: str) -> bool:
        return bool(self.inside) and (one in self.inside) is not (other in self.inside)


class HollowMember(MemberNode):
    """The real one, with its opinions watched."""

    def __init__(self, meter: Meter, setup: MemberSetup) -> None:
        super().__init__(setup)
        self.meter = meter
        self.holds_dead: dict[str, str] = {}  # name -> life

    def on_member_changed(self, update: Update) -> None:
        super().on_member_changed(update)
        name, life = update.member.name, update.member.process_id
        if (before := self.holds_dead.pop(name, None)) is not None:
            self.meter.thought_dead(name, before, -1)
        if update.state is MemberState.DEAD and update.phase is not MemberPhase.LEFT:
            self.holds_dead[name] = life
            self.meter.thought_dead(name, life, 1)

    def know(self, packed: bytes, after_ms: float, chance: random.Random) -> None:
        """Takes all in as known for long: each instance unpacks them, so that it holds texts of its own as a
        process would. The exchanges of whole pages go on in turn, not with the seeds first. Nobody is probed
        before all are there.
        """
        members = self.members
        for each in msgpack.unpackb(packed, use_list=False):
            identity = MemberIdentity(*each)
            if identity.name != self.me.name:
                update = Update(
                    identity,
                    KNOWN_INCARNATION,
                    MemberPhase.SERVING,
                    MemberState.ALIVE,
                    identity.name,
                )
                members.table.install(self.now_ms, update)
        members.exchange.exchange_count = SEED_EXCHANGES + 1 + chance.randrange(3)
        members.exchange.next_exchange_at_ms = self.now_ms + after_ms
        members.exchange.next_exchange_at_ms += chance.uniform(
            0.0, MAX_EXCHANGE_PERIODS * PERIOD_MS
        )
        members.next_probe_at = self.now_ms + after_ms + chance.uniform(0.0, PERIOD_MS)

    def forget_all(self) -> None:
        """Its process ends: what it held is held no more."""
        for name, life in self.holds_dead.items():
            self.meter.thought_dead(name, life, -1)
        self.holds_dead.clear()


class HollowHub(PeerHub):
    """The real one; counts what it carries, and carries nothing over a cut."""

    def __init__(self, meter: Meter, partition: Partition, *rest: Any) -> None:
        super().__init__(*rest)
        self.meter, self.partition, self.address = meter, partition, self.hello.address

    def put(self, name: str, *details: Any) -> None:
        if name == "told":
            sender = details[0][2]
            if self.partition.between(self.address, sender):
                self.meter.dropped += 1
                return
            self.meter.received[self.meter.role(sender)] += 1
        elif name == "answered":
            self.meter.received["voter"] += 1
        with self.meter.step(name):
            super().put(name, *details)

    def send(self, address: str, message: PeerMessage) -> None:
        if self.partition.between(self.address, address):
            self.meter.dropped += 1
            return
        self.meter.sent[self.meter.role(address)] += 1
        super().send(address, message)

    def carry_out(self, effect: Any) -> None:
        if not isinstance(effect, effects.Log):  # many instances' lines would fill the disk
            super().carry_out(effect)


class Instance:
    """From its start to its end; started again it is another life."""

    def __init__(
        self,
        spec: Spec,
        place: Place,
        number: int,
        generation: int,
        meter: Meter,
        partition: Partition,
    ) -> None:
        self.spec, self.place, self.number, self.generation = spec, place, number, generation
        self.meter, self.partition = meter, partition
        self.stopped = anyio.Event()
        self.hub: HollowHub | None = None
        self.member: HollowMember | None = None
        self.configuration: HollowConfiguration | None = None

    @property
    def is_relay(self) -> bool:
        return self.configuration is not None and self.configuration.is_relay

    async def run(self, known: bytes, after_s: float) -> None:
        """Until it is stopped: abruptly, as a process that is killed. `known` are those that it knows at its
        start, packed, none for a cold one, and `after_s` is until all of them are there.
        """
        listener = await open_listener(start.parse_address(self.place.address))
        try:
            async with anyio.create_task_group() as group:
                self.member, self.hub = self.made(group, known, after_s)
                run_hub(self.hub, listener)
                if self.spec.configuration is not None:
                    self.configuration = configured(
                        self.spec, self.number, self.generation, self.hub
                    )
                    self.configuration.run()
                group.start_soon(self.serve, self.hub)
                await self.stopped.wait()
                group.cancel_scope.cancel()
        finally:
            if self.member is not None:
                self.member.forget_all()
            await listener.aclose()

    def made(self, group: Any, known: bytes, after_s: float) -> tuple[HollowMember, HollowHub]:
        place, timer = self.place, ResettableTimer()
        life = life_of(self.number, self.generation)
        began = int(time.time() * 1000) if self.generation else FIRST_BEGAN_MS
        settings = FleetSettings(
            self.spec.fleet,
            place.name,
            place.address,
            tuple(self.spec.voters),
            zone=place.zone,
            region=place.region,
        )
        chance = random.Random(self.spec.seed * 1_000_003 + self.number * 101 + self.generation)
        member = HollowMember(
            self.meter,
            MemberSetup(
                fleet=self.spec.fleet,
                me=MemberIdentity(place.name, place.address, life, began, place.zone, place.region),
                member=settings.member(life),
                voters=settings.voters,
                seeds=settings.voters,
                now_ms=timer.now(),
                seed=chance.getrandbits(32),
            ),
        )
        if known:
            member.know(known, after_s * 1000.0, chance)
        hub = HollowHub(
            self.meter,
            self.partition,
            member,
            timer,
            group,
            lambda _: None,
            MAX_FRAME_BYTES,
            max_fleet_connections(
                SOCKETS, InstanceSettings() if self.spec.configuration is not None else None
            ),
        )
        return member, hub

    async def serve(self, hub: HollowHub) -> None:
        """What a server's watch tells its member, of one that is well."""
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            hub.put("serve", True, False)

    async def leave(self) -> None:
        """An orderly end: it drains, says that it is gone, and stops."""
        if self.hub is not None and self.member is not None:
            self.hub.put("leave", "replaced")
            await anyio.sleep(DRAIN_S)
            self.hub.put("left")
            with anyio.move_on_after(GONE_S):
                while not self.member.stop_reported:
                    await anyio.sleep(0.05)
        self.stopped.set()


def packed(spec: Spec, directory: list[Place]) -> bytes:
    """All hollow members as they are known after a day in service."""
    if not spec.knows:
        return b""
    return bytes(
        msgpack.packb(
            [
                (
                    place.name,
                    place.address,
                    life_of(number, 0),
                    FIRST_BEGAN_MS,
                    place.zone,
                    place.region,
                )
                for number, place in enumerate(directory[: spec.hollow])
            ]
        )
    )


def usage(report: Report) -> None:
    """What the process has used, from the kernel."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    report.cpu_s = used.ru_utime + used.ru_stime
    fields = Path("/proc/self/statm").read_text().split()
    report.memory_mb = int(fields[1]) * resource.getpagesize() / 1048576.0
    io = dict(line.split(": ") for line in Path("/proc/self/io").read_text().splitlines())
    report.read_bytes, report.written_bytes = int(io["rchar"]), int(io["wchar"])
