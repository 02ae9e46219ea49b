"""Role `server.process`: the resident memory of a process that holds everything a server holds for control at
a size, measured in a process of its own: `python -m benchmarks.capacity.resident TENANTS SERVERS CALLERS`.
"""

import subprocess
import sys
from pathlib import Path

from benchmarks.capacity.assumptions import CALLERS_AT_SERVER, SERVERS
from benchmarks.capacity.slope import Reading, Slope, readings

ROLE = "server.process"
LIMIT_S = 120.0


def resident_bytes() -> int:
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise OSError("/proc/self/status has no VmRSS: Linux is wanted")


def hold(tenants: int, servers: int, callers: int) -> int:
    """Builds it all, and says what the process holds then beyond one that only loaded the modules, as well as
    those modules.
    """
    from benchmarks.capacity import configuration, connections, decisions
    from pumicenotch.cells.fence import Fence
    from pumicenotch.cells.map import dump, load
    from pumicenotch.membership.events import MessageReceived
    from pumicenotch.membership.messages import (
        FullState,
        MemberIdentity,
        MemberPhase,
        MemberState,
        Update,
    )
    from pumicenotch.membership.swim import SwimMembership

    control = decisions.build(decisions.Silent(), 1, tenants)
    driver = connections.Driver(callers, 1)
    text = dump(configuration.cell_map(tenants, servers))
    fence = Fence(0.0, configuration.WINDOW_MS, load(text))
    members = SwimMembership(MemberIdentity("me", "me", "life", 1, "z", "r"), 0.0, ["seed"], None)  # type: ignore[arg-type]  # no choice is made
    for at in range(servers):
        identity = MemberIdentity(
            f"server-{at:07d}",
            f"10.0.{at // 250}.{at % 250}:7200",
            f"{at:012x}",
            at,
            "zone",
            "region",
        )
        update = Update(identity, 1, MemberPhase.SERVING, MemberState.ALIVE, identity.name)
        members.step(0.0, MessageReceived("", FullState((update,), False)))
    kept = (control, driver, fence, members)
    return resident_bytes() if kept else 0


def by_tenants(size: float, _: int) -> list[Reading]:
    sizes = [str(int(size)), str(int(SERVERS.value)), str(int(CALLERS_AT_SERVER.value))]
    command = [sys.executable, "-m", "benchmarks.capacity.resident", *sizes]
    done = subprocess.run(command, capture_output=True, text=True, timeout=LIMIT_S, check=True)
    return readings(ROLE, memory=float(done.stdout))


SLOPES = (Slope((ROLE,), "tenants_known", (300, 1000, 3000, 10_000, 30_000, 54_000), by_tenants),)

if __name__ == "__main__":
    print(hold(*(int(told) for told in sys.argv[1:4])))
