"""A process's place in its fleet, wired to sockets: a server's beside its work, or a voter's own process
(`python -m pumicenotch.net.fleet FILE`, or `pumicenotch voter --config FILE`)."""

import resource
import secrets
import signal
import sys
import time
from typing import Any

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from pumicenotch import start
from pumicenotch.fleet.member_node import MemberNode
from pumicenotch.fleet.settings import FleetSettings
from pumicenotch.fleet.voter_node import VoterNode
from pumicenotch.members.messages import Who
from pumicenotch.net import logs
from pumicenotch.net.hub import Hub
from pumicenotch.net.peers import PeerHub, ResettableTimer, open_listener, run_hub
from pumicenotch.server.seen import Seen

LOOK_S = 0.25  # between looks at how the server does
WINDOW_LOOKS = 12  # over which it is judged: three seconds, above any burst's queue
TASKS_LEAST = 20  # in such a time, to judge it at all
# of the tasks rejected or failed in that time: what it takes in costs callers more than it helps
PAST_USE = 0.5
FLUSH_S = 0.05  # for the last words to leave
LINKS_PART = 0.0625  # of a server's descriptors: each talks to a few others at a time
FRAME_MOST = 128 * 1024  # to a server: a page of news has some 10 KB


def who(settings: FleetSettings) -> tuple[Who, dict[str, Any]]:
    """This process as others know it, with a life of its own, and what every node is made from."""
    life = secrets.token_hex(6)
    me = Who(settings.name, settings.address, life, int(time.time() * 1000), settings.zone, settings.region)
    seeds = settings.seeds or settings.voters
    return me, {"fleet": settings.fleet, "me": me, "member": settings.member(life), "seeds": seeds}


def links(sockets: int) -> int:
    """How many of a server's descriptors its fleet takes; the core has the others."""
    return max(16, int(LINKS_PART * sockets))


async def member(
    hub: Hub, group: TaskGroup, settings: FleetSettings, seed: int, sockets: int
) -> PeerHub | None:
    """A server's. A listener that cannot be had is logged, and the server goes on without its fleet."""
    timer = ResettableTimer()
    _, told = who(settings)
    node = MemberNode(voters=settings.voters, now=timer.now(), seed=seed, **told)
    peers = PeerHub(node, timer, group, lambda why: hub.put("leave"), FRAME_MOST, links(sockets))
    try:
        listener = await open_listener(start.address(settings.listen))
    except OSError as error:
        logger.error(
            "fleet: cannot listen on {}: {}; this server serves without its fleet", settings.listen, error
        )
        return None
    hub.core.seen = Seen()
    run_hub(peers, listener)
    group.start_soon(watch, hub, peers)
    return peers


async def watch(hub: Hub, peers: PeerHub) -> None:
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
        if core.leaving:
            peers.put("leave", "its platform asks" if not peers.node.began else "by permit")
        if core.seen is not None:
            peers.put("counted", core.seen.rows(), memory_mb())
        peers.put("serve", core.control is not None, tasks >= TASKS_LEAST and turned > PAST_USE * tasks)


def memory_mb() -> float:
    """That this process holds just now."""
    try:
        with open("/proc/self/statm") as file:
            return int(file.read().split()[1]) * resource.getpagesize() / 1048576.0
    except (OSError, ValueError, IndexError):
        return 0.0


async def voter(settings: FleetSettings, seed: int) -> None:
    """A voter's whole process, until it is asked to end or its drain is agreed."""
    timer = ResettableTimer()
    _, told = who(settings)
    node = VoterNode(
        names=dict(settings.names),
        budgets=settings.budgets,
        manual_members=settings.manual_members,
        now=timer.now(),
        seed=seed,
        **told,
    )
    listener = await open_listener(start.address(settings.listen))
    async with anyio.create_task_group() as group:
        peers = PeerHub(node, timer, group, lambda why: peers.put("left"))
        run_hub(peers, listener)
        group.start_soon(signals, peers)
        await peers.exit.wait()
        await peers.flush(FLUSH_S)
        logger.info("counters: {}", " ".join(f"{name}={many}" for name, many in sorted(node.counts.items())))
        group.cancel_scope.cancel()


async def signals(peers: PeerHub) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            peers.put("left")


def main() -> None:
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # nothing is read again
    logs.to_stderr()
    from pumicenotch.config.fleet import voter_of
    from pumicenotch.config.hcl import BadFile

    try:
        settings, seed = voter_of(sys.argv[1])
    except BadFile as error:
        print(error, file=sys.stderr)
        sys.exit(2)
    try:
        anyio.run(voter, settings, seed, backend_options={"use_uvloop": True})
    except (OSError, ValueError) as error:
        sys.exit(f"pumicenotch voter: {error}")


if __name__ == "__main__":
    main()
