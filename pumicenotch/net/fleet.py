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
from pumicenotch.fleet.mate import Mate
from pumicenotch.fleet.seat import Seat
from pumicenotch.fleet.side import Side
from pumicenotch.members.messages import Who
from pumicenotch.net import logs
from pumicenotch.net.hub import Hub
from pumicenotch.net.mates import Alarm, Mates, begin, listening
from pumicenotch.server.seen import Seen

LOOK_S = 0.25  # between looks at how the server does
WINDOW_LOOKS = 12  # over which it is judged: three seconds, above any burst's queue
TASKS_LEAST = 20  # in such a time, to judge it at all
# of the tasks rejected or failed in that time: what it takes in costs callers more than it helps
PAST_USE = 0.5
FLUSH_S = 0.05  # for the last words to leave
LINKS_PART = 0.0625  # of a server's descriptors: each talks to a few others at a time
FRAME_MOST = 128 * 1024  # to a server: a page of news has some 10 KB


def who(side: Side) -> tuple[Who, dict[str, Any]]:
    """This process as others know it, with a life of its own, and what every mate is made from."""
    life = secrets.token_hex(6)
    me = Who(side.name, side.address, life, int(time.time() * 1000), side.zone, side.region)
    seeds = side.seeds or side.voters
    return me, {"fleet": side.fleet, "me": me, "member": side.member(life), "seeds": seeds}


def links(sockets: int) -> int:
    """How many of a server's descriptors its fleet takes; the core has the others."""
    return max(16, int(LINKS_PART * sockets))


async def member(hub: Hub, group: TaskGroup, side: Side, seed: int, sockets: int) -> Mates | None:
    """A server's. A listener that cannot be had is logged, and the server goes on without its fleet."""
    alarm = Alarm()
    _, told = who(side)
    mate = Mate(voters=side.voters, now=alarm.now(), seed=seed, **told)
    mates = Mates(mate, alarm, group, lambda why: hub.put("leave"), FRAME_MOST, links(sockets))
    try:
        listener = await listening(start.address(side.listen))
    except OSError as error:
        logger.error(
            "fleet: cannot listen on {}: {}; this server serves without its fleet", side.listen, error
        )
        return None
    hub.core.seen = Seen()
    begin(mates, listener)
    group.start_soon(watch, hub, mates)
    return mates


async def watch(hub: Hub, mates: Mates) -> None:
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
            mates.put("leave", "its platform asks" if not mates.mate.began else "by permit")
        if core.seen is not None:
            mates.put("counted", core.seen.rows(), memory_mb())
        mates.put("serve", core.control is not None, tasks >= TASKS_LEAST and turned > PAST_USE * tasks)


def memory_mb() -> float:
    """That this process holds just now."""
    try:
        with open("/proc/self/statm") as file:
            return int(file.read().split()[1]) * resource.getpagesize() / 1048576.0
    except (OSError, ValueError, IndexError):
        return 0.0


async def voter(side: Side, seed: int) -> None:
    """A voter's whole process, until it is asked to end or its drain is agreed."""
    alarm = Alarm()
    _, told = who(side)
    seat = Seat(
        names=dict(side.names), budgets=side.budgets, hands=side.hands, now=alarm.now(), seed=seed, **told
    )
    listener = await listening(start.address(side.listen))
    async with anyio.create_task_group() as group:
        mates = Mates(seat, alarm, group, lambda why: mates.put("left"))
        begin(mates, listener)
        group.start_soon(signals, mates)
        await mates.exit.wait()
        await mates.flush(FLUSH_S)
        logger.info("counters: {}", " ".join(f"{name}={many}" for name, many in sorted(seat.counts.items())))
        group.cancel_scope.cancel()


async def signals(mates: Mates) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            mates.put("left")


def main() -> None:
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # nothing is read again
    logs.to_stderr()
    from pumicenotch.config.fleet import voter_of
    from pumicenotch.config.hcl import BadFile

    try:
        side, seed = voter_of(sys.argv[1])
    except BadFile as error:
        print(error, file=sys.stderr)
        sys.exit(2)
    try:
        anyio.run(voter, side, seed, backend_options={"use_uvloop": True})
    except (OSError, ValueError) as error:
        sys.exit(f"pumicenotch voter: {error}")


if __name__ == "__main__":
    main()
