"""A process's place in its fleet, wired to sockets: a server's beside its work, or a voter's own process
(`python -m pumicenotch.net.fleet FILE`, or `pumicenotch voter --config FILE`).
"""

import resource
import secrets
import signal
import sys
import time
from collections.abc import Callable, Sequence
from functools import partial
from typing import TYPE_CHECKING

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from pumicenotch import start
from pumicenotch.fleet.member.node import MemberNode, MemberSetup
from pumicenotch.fleet.member.settings import FleetSettings
from pumicenotch.fleet.replicated.subject import ReplicatedSubject
from pumicenotch.fleet.voter.node import VoterNode
from pumicenotch.fleet.voter.replica import VoterSetup
from pumicenotch.membership.messages import MemberIdentity
from pumicenotch.net import logs
from pumicenotch.net.hub import Hub
from pumicenotch.net.peers import PeerHub, ResettableTimer, open_listener, run_hub
from pumicenotch.server.core import Server
from pumicenotch.server.events import ShutdownRequested
from pumicenotch.server.request_counters import RequestCounters

if TYPE_CHECKING:  # nothing of the distribution is loaded where it is off
    from pumicenotch.distribution.instance_settings import InstanceSettings

LOOK_S = 0.25  # between looks at how the server does
WINDOW_LOOKS = 12  # over which it is judged: three seconds, above any burst's queue
TASKS_LEAST = 20  # in such a time, to judge it at all
# of the tasks rejected or failed in that time: what it takes in costs callers more than it helps
PAST_USE = 0.5
FLUSH_S = 0.05  # for the last words to leave
LINKS_PART = 0.0625  # of a server's descriptors: each talks to a few others at a time
RELAY_LINKS_PART = 0.1875  # and of one that may serve configuration to others of its zone
FRAME_MOST = 128 * 1024  # to a server: a page of news has some 10 KB


def member_setup(settings: FleetSettings, now_ms: float, seed: int) -> MemberSetup:
    """Returns what a node of this process is made from, with an incarnation of its own."""
    life = secrets.token_hex(6)
    me = MemberIdentity(
        settings.name,
        settings.address,
        life,
        int(time.time() * 1000),
        settings.zone,
        settings.region,
    )
    return MemberSetup(
        fleet=settings.fleet,
        me=me,
        member=settings.member(life),
        voters=settings.voters,
        seeds=settings.seeds or settings.voters,
        now_ms=now_ms,
        seed=seed,
    )


def links(sockets: int, distribution: "InstanceSettings | None") -> int:
    """How many of a server's descriptors its fleet takes; the core has the others."""
    found = max(16, int(LINKS_PART * sockets))
    if distribution is not None and distribution.relay:
        found += int(RELAY_LINKS_PART * sockets)
    return found


async def member(
    hub: Hub[Server],
    group: TaskGroup,
    settings: FleetSettings,
    distribution: "InstanceSettings | None",
    seed: int,
    sockets: int,
) -> PeerHub | None:
    """A server's. A listener that cannot be had is logged, and the server goes on without its fleet."""
    timer = ResettableTimer()
    node = MemberNode(member_setup(settings, timer.now(), seed))
    most = links(sockets, distribution)
    peers = PeerHub(
        node, timer, group, lambda why: hub.deliver(ShutdownRequested()), FRAME_MOST, most
    )
    try:
        listener = await open_listener(start.parse_address(settings.listen))
    except OSError as error:
        logger.error(
            "fleet: cannot listen on {}: {}; this server serves without its fleet",
            settings.listen,
            error,
        )
        return None
    hub.core.request_counters = RequestCounters()
    run_hub(peers, listener)
    if distribution is not None:
        from pumicenotch.net.configuration import InstanceCarrier

        InstanceCarrier(peers, distribution, settings.voters, seed).run()
    group.start_soon(watch, hub, peers)
    return peers


async def watch(hub: Hub[Server], peers: PeerHub) -> None:
    """Tells the fleet what the server does: that it is bound, that it leaves, that it is past use."""
    core, before = hub.core, [(0, 0)]
    while True:
        await anyio.sleep(LOOK_S)
        counts = core.counters.counts
        before = [
            *before[-WINDOW_LOOKS:],
            (counts["tasks"], counts["answered_rejected"] + counts["answered_failed"]),
        ]
        tasks, turned = (last - first for first, last in zip(before[0], before[-1], strict=True))
        if core.lifecycle.draining:
            peers.put("leave", "its platform asks" if not peers.node.drain_started else "by permit")
        if core.request_counters is not None:
            peers.put("counted", core.request_counters.rows(), memory_mb())
        peers.put(
            "serve", core.controller is not None, tasks >= TASKS_LEAST and turned > PAST_USE * tasks
        )


def memory_mb() -> float:
    """That this process holds just now."""
    try:
        with open("/proc/self/statm") as file:
            return int(file.read().split()[1]) * resource.getpagesize() / 1048576.0
    except (OSError, ValueError, IndexError):
        return 0.0


async def voter(
    settings: FleetSettings, seed: int, distribution: "InstanceSettings | None"
) -> None:
    """A voter's whole process, until it is asked to end or its drain is agreed."""
    timer = ResettableTimer()
    make_subjects: Callable[[], Sequence[ReplicatedSubject]] = tuple
    if distribution is not None:
        from pumicenotch.net.voter_configuration import make_subjects_of

        make_subjects = partial(make_subjects_of, distribution)
    node = VoterNode(
        VoterSetup(
            member=member_setup(settings, timer.now(), seed),
            voters=dict(settings.names),
            budgets=settings.budgets,
            manual_members=settings.manual_members,
            make_subjects=make_subjects,
        )
    )
    listener = await open_listener(start.parse_address(settings.listen))
    async with anyio.create_task_group() as group:
        peers = PeerHub(node, timer, group, lambda why: peers.put("left"))
        run_hub(peers, listener)
        if distribution is not None:
            from pumicenotch.net.voter_configuration import VoterCarrier

            VoterCarrier(peers, node, distribution, seed).run()
        group.start_soon(signals, peers)
        await peers.exit.wait()
        await peers.flush(FLUSH_S)
        logger.info(
            "counters: {}",
            " ".join(f"{name}={many}" for name, many in sorted(node.counters.items())),
        )
        group.cancel_scope.cancel()


async def signals(peers: PeerHub) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            peers.put("left")


def main() -> None:
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # nothing is read again
    logs.to_stderr()
    from pumicenotch.config.fleet import voter_of
    from pumicenotch.config.hcl import InvalidFileError

    try:
        told = voter_of(sys.argv[1])
    except InvalidFileError as error:
        print(error, file=sys.stderr)
        sys.exit(2)
    try:
        anyio.run(
            voter, told.fleet, told.seed, told.distribution, backend_options={"use_uvloop": True}
        )
    except (OSError, ValueError) as error:
        sys.exit(f"pumicenotch voter: {error}")


if __name__ == "__main__":
    main()
