"""Selects the version of the agent that is started, before the agent itself runs.

The agent runs from the version in its own slot. If that version has been started
MAX_UNCONFIRMED_STARTS times and never connected to the fleet, the last good version is started instead. This module is never part of a release, so that every
released version of the agent can be rolled back.
"""

import sys
from pathlib import Path

from pumicenotch.cli.fleet import exit_with_error
from pumicenotch.config import agent as config
from pumicenotch.config import versions
from pumicenotch.config.hcl import InvalidFileError
from pumicenotch.fleet.agent.agent import AGENT_FAILED

# Starts of an agent version that has not connected to the fleet, before the last good version is restored.
MAX_UNCONFIRMED_STARTS = 2


def select_version(agent_file: config.AgentFile, disk: config.Disk) -> config.Disk:
    """Returns the agent's stored state with the version to start in slot `agent`.

    Counts the start, or restores the last good version if the starts are used up. Changes are written to
    disk before the agent starts.
    """
    current = disk.runs.get("agent")
    last_good = disk.good.get("agent", current)
    if current is None or current == last_good:
        return disk
    if disk.tries >= MAX_UNCONFIRMED_STARTS:
        reason = f"{AGENT_FAILED}: its version {current} never spoke with the fleet"
        print(f"agent: {reason}: back to {last_good}", file=sys.stderr)
        disk = disk._replace(runs={**disk.runs, "agent": str(last_good)}, tries=0, trouble=reason)
    else:
        disk = disk._replace(tries=disk.tries + 1)
    config.write(agent_file, disk)
    return disk


def environment_of(path: str) -> dict[str, str]:
    """Returns the environment variables that make Python load the selected version of the agent.

    Fetches the version first unless an intact copy is stored locally. Exits with status 2 if the agent's file is
    invalid or the version cannot be fetched.
    """
    try:
        agent_file = config.agent_of(path)
        disk = select_version(agent_file, config.disk_of(agent_file))
        version = disk.runs.get("agent", "")
        folder = Path(agent_file.home) / "versions" / version
        if version:
            versions.fetch(version, Path(agent_file.source), folder.parent)
    except (InvalidFileError, versions.InvalidVersionError, OSError) as error:
        exit_with_error(error)
    return {"PYTHONPATH": str(folder)} if version else {}
