"""How an agent is started: of the version in its own slot, unless that one has been tried and never spoke
with its fleet. This much of it is never released, so that whatever was can be gone back from.
"""

import sys
from pathlib import Path

from pumicenotch.cli.fleet import wrong
from pumicenotch.config import agent as config
from pumicenotch.config import versions
from pumicenotch.config.hcl import InvalidFileError
from pumicenotch.fleet.agent.agent import AGENT_FAILED

TRIES = 2  # starts of an agent's version that never spoke with the fleet, before the one before it comes back


def chosen(told: config.AgentFile, disk: config.Disk) -> config.Disk:
    now = disk.runs.get("agent")
    good = disk.good.get("agent", now)
    if now is None or now == good:
        return disk
    if disk.tries >= TRIES:
        why = f"{AGENT_FAILED}: its version {now} never spoke with the fleet"
        print(f"agent: {why}: back to {good}", file=sys.stderr)
        disk = disk._replace(runs={**disk.runs, "agent": str(good)}, tries=0, trouble=why)
    else:
        disk = disk._replace(tries=disk.tries + 1)
    config.write(told, disk)
    return disk


def environment_of(path: str) -> dict[str, str]:
    """What the agent's own version adds to the environment."""
    try:
        told = config.agent_of(path)
        disk = chosen(told, config.disk_of(told))
        version = disk.runs.get("agent", "")
        folder = Path(told.home) / "versions" / version
        if version:
            versions.fetch(version, Path(told.source), folder.parent)
    except (InvalidFileError, versions.InvalidVersionError, OSError) as error:
        wrong(error)
    return {"PYTHONPATH": str(folder)} if version else {}
