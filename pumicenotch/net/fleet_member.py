"""Runs a server's node in its fleet, and reports the server's state to the node."""

import resource
import secrets
import time
from collections import deque
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from pumicenotch import start
from pumicenotch.fleet.member.node import MemberNode, MemberSetup
from pumicenotch.fleet.member.settings import FleetSettings
from pumicenotch.membership.messages import MemberIdentity
from pumicenotch.net.hub import Hub
from pumicenotch.net.listening import open_listener
from pumicenotch.net.peers import PeerHub, run_hub
from pumicenotch.net.resettable_timer import ResettableTimer
from pumicenotch.server.core import Server
from pumicenotch.server.events import ShutdownRequested
from pumicenotch.server.request_counters import RequestCounters

if TYPE_CHECKING:  # Distribution modules are not loaded when distribution is disabled.
    from pumicenotch.distribution.instance_settings import InstanceSettings

REPORT_INTERVAL_S = 0.25  # Interval between reports of the server's state to the node.
OVERLOAD_WINDOW_REPORTS = 12  # Three seconds, longer than the queue of any burst lasts.
MIN_REQUESTS_TO_JUDGE = 20  # Requests in the window, below which no overload is detected.
# Fraction of rejected or failed requests in the window above which a server is overloaded. Above
# it, the requests that the server accepts cost the callers more than they gain.
MAX_FAILED_FRACTION = 0.5
MIN_CONNECTIONS = 16
# Fraction of a server's descriptors. A server communicates with a few other members at a time.
CONNECTIONS_FRACTION = 0.0625
# Additional fraction for a server that may relay configuration to other servers of its zone.
RELAY_CONNECTIONS_FRACTION = 0.1875
MAX_FRAME_BYTES = 128 * 1024  # Frames sent to a server. A page of members has about 10 KB.
PROCESS_ID_BYTES = 6  # Random bytes, drawn at each start.
BYTES_PER_MB = 1_048_576.0


def new_member_setup(settings: FleetSettings, now_ms: float, seed: int) -> MemberSetup:
    """Returns the setup of the node of a starting process, with a new process id."""
    process_id = secrets.token_hex(PROCESS_ID_BYTES)
    me = MemberIdentity(
        settings.name,
        settings.address,
        process_id,
        int(time.time() * 1000),
        settings.zone,
        settings.region,
    )
    return MemberSetup(
        fleet=settings.fleet,
        me=me,
        member=settings.member(process_id),
        voters=settings.voters,
        seeds=settings.seeds or settings.voters,
        now_ms=now_ms,
        seed=seed,
    )


def max_fleet_connections(descriptors: int, distribution: "InstanceSettings | None") -> int:
    """Returns the number of a server's descriptors for its fleet; the core uses the rest."""
    connections = max(MIN_CONNECTIONS, int(CONNECTIONS_FRACTION * descriptors))
    if distribution is not None and distribution.relay:
        connections += int(RELAY_CONNECTIONS_FRACTION * descriptors)
    return connections


async def join_fleet(
    hub: Hub[Server],
    group: TaskGroup,
    settings: FleetSettings,
    distribution: "InstanceSettings | None",
    seed: int,
    descriptors: int,
) -> PeerHub | None:
    """Starts a server's node in the task group.

    Returns:
        The node's hub, or None if the listener cannot be opened. The error is logged, and the
        server continues without its fleet.
    """
    timer = ResettableTimer()
    peers = PeerHub(
        MemberNode(new_member_setup(settings, timer.now(), seed)),
        timer,
        group,
        on_shutdown=lambda reason: hub.deliver(ShutdownRequested()),
        max_frame_bytes=MAX_FRAME_BYTES,
        max_connections=max_fleet_connections(descriptors, distribution),
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
        from pumicenotch.net.configuration import InstanceDistributionService

        InstanceDistributionService(peers, distribution, settings.voters, seed).run()
    group.start_soon(report_server, hub.core, peers)
    return peers


class RequestTotals(NamedTuple):
    """Numbers of requests since the start of a server."""

    received: int
    failed: int  # Failed and rejected requests.


class OverloadDetector:
    """Detects over a sliding window of requests whether a server is overloaded."""

    def __init__(self) -> None:
        self.window: deque[RequestTotals] = deque(
            [RequestTotals(0, 0)], maxlen=OVERLOAD_WINDOW_REPORTS + 1
        )

    def observe(self, totals: RequestTotals) -> bool:
        """Adds the latest totals; returns whether too many requests in the window failed."""
        self.window.append(totals)
        oldest = self.window[0]
        received = totals.received - oldest.received
        failed = totals.failed - oldest.failed
        return received >= MIN_REQUESTS_TO_JUDGE and failed > MAX_FAILED_FRACTION * received


async def report_server(core: Server, peers: PeerHub) -> None:
    """Reports load, overload and draining of the server to the node, until cancelled."""
    detector = OverloadDetector()
    while True:
        await anyio.sleep(REPORT_INTERVAL_S)
        counts = core.counters.counts
        failed = counts["answered_rejected"] + counts["answered_failed"]
        is_overloaded = detector.observe(RequestTotals(counts["tasks"], failed))
        if core.lifecycle.draining:
            peers.put("leave", "its platform asks" if not peers.node.drain_started else "by permit")
        if core.request_counters is not None:
            peers.put("counted", core.request_counters.rows(), resident_memory_mb())
        peers.put("serve", core.controller is not None, is_overloaded)


def resident_memory_mb() -> float:
    """Returns the resident memory of this process in MB; 0.0 if /proc is not available."""
    try:
        resident_pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0.0
    return resident_pages * resource.getpagesize() / BYTES_PER_MB
