"""The process of a voter: its node, its sockets and its signals.

Run by `python -m pumicenotch.net.fleet FILE`, or `pumicenotch voter --config FILE`.
"""

import signal
import sys
from collections.abc import Callable, Sequence
from functools import partial
from typing import TYPE_CHECKING

import anyio
from loguru import logger

from pumicenotch import start
from pumicenotch.fleet.member.settings import FleetSettings
from pumicenotch.fleet.replicated.subject import ReplicatedSubject
from pumicenotch.fleet.voter.node import VoterNode
from pumicenotch.fleet.voter.replica import VoterSetup
from pumicenotch.net import logs
from pumicenotch.net.fleet_member import new_member_setup
from pumicenotch.net.listening import open_listener
from pumicenotch.net.peers import PeerHub, run_hub
from pumicenotch.net.resettable_timer import ResettableTimer

if TYPE_CHECKING:  # Distribution modules are not loaded when distribution is disabled.
    from pumicenotch.distribution.instance_settings import InstanceSettings

FLUSH_TIMEOUT_S = 0.05  # Time to write the last messages before the exit.
EXIT_INVALID_FILE = 2


async def run_voter(
    settings: FleetSettings, seed: int, distribution: "InstanceSettings | None"
) -> None:
    """Runs a voter until a signal requests its exit or the fleet agrees on its drain.

    Raises:
        OSError: The voter's address cannot be bound.
    """
    timer = ResettableTimer()
    make_subjects: Callable[[], Sequence[ReplicatedSubject]] = tuple
    if distribution is not None:
        from pumicenotch.net.voter_configuration import make_distribution_subjects

        make_subjects = partial(make_distribution_subjects, distribution)
    setup = VoterSetup(
        member=new_member_setup(settings, timer.now(), seed),
        voters=dict(settings.names),
        budgets=settings.budgets,
        manual_members=settings.manual_members,
        make_subjects=make_subjects,
    )
    node = VoterNode(setup)
    listener = await open_listener(start.parse_address(settings.listen))
    async with anyio.create_task_group() as group:
        peers = PeerHub(node, timer, group, on_shutdown=lambda reason: peers.put("left"))
        run_hub(peers, listener)
        if distribution is not None:
            from pumicenotch.net.voter_configuration import VoterDistributionService

            VoterDistributionService(peers, node, distribution, seed).run()
        group.start_soon(hand_over_on_signal, peers)
        await peers.exit.wait()
        await peers.flush(FLUSH_TIMEOUT_S)
        counters = " ".join(f"{name}={count}" for name, count in sorted(node.counters.items()))
        logger.info("counters: {}", counters)
        group.cancel_scope.cancel()


async def hand_over_on_signal(peers: PeerHub) -> None:
    """On SIGTERM or SIGINT, makes the voter hand over its role and exit; runs until cancelled."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            peers.put("left")


def main() -> None:
    """Runs the voter that the file named on the command line configures."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # A voter does not reload its file.
    logs.to_stderr()
    from pumicenotch.config.fleet import voter_of
    from pumicenotch.config.hcl import InvalidFileError

    try:
        file = voter_of(sys.argv[1])
    except InvalidFileError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID_FILE)
    try:
        anyio.run(
            run_voter,
            file.fleet,
            file.seed,
            file.distribution,
            backend_options={"use_uvloop": True},
        )
    except (OSError, ValueError) as error:
        sys.exit(f"pumicenotch voter: {error}")


if __name__ == "__main__":
    main()
