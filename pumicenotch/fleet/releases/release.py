"""The records of a release: its plan, its progress, and what each node runs.

Snapshots store these records as lists, so the order of their fields is part of the stored form. The
names of states and slots are stored too.
"""

import re
from typing import Any, NamedTuple

from pumicenotch.fleet.drains.budgets import Budget

# The states of a release.
PLANNED = "planned"
DRAINING = "draining"
MOVING = "moving"
SOAKING = "soaking"
HALTED = "halted"
ROLLING_BACK = "going back"
DONE = "done"
ABANDONED = "abandoned"
FORWARD_STATES = (DRAINING, MOVING, SOAKING)
FINAL_STATES = (DONE, ABANDONED)

# The state of a server as its agent reports it. An empty state means that the server serves.
SERVER_DOWN = "ended"
SERVER_STARTING = "starting"  # as far as the agent knows, not in service yet

# The slots of a node. A release replaces the version in one slot.
BUDGETS = "budgets"
RESTART_SLOTS = ("program", "config")  # a new version needs a drain and a restart of the server
IN_PLACE_SLOTS = ("map", "agent")  # reloaded or replaced while the server keeps running
SLOTS = (*RESTART_SLOTS, *IN_PLACE_SLOTS, BUDGETS)

# The requester of a release's drains, distinct from operators' names.
RELEASE_REQUESTER = "(release)"
STORAGE_PROBLEM = "cannot hold"  # the prefix of agents' problems that no version has caused
MAX_WAVES = 256
VERSION_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
PROGRAM_LEVEL = 2  # the highest level of log entries that this program reads


class ReleaseHalt(NamedTuple):
    """A halt of one release. An operator's resume ends only the halts whose keys it lists."""

    key: str
    operator: str
    reason: str


class RunningVersion(NamedTuple):
    """The version that a node runs in one slot."""

    slot: str
    version: str


class Step(NamedTuple):
    """The next change of a node: the version to put in a slot."""

    slot: str
    version: str


NO_STEP = Step("", "")


class PermittedMove(NamedTuple):
    """The last step that a node's agent was permitted to take."""

    slot: str
    version: str
    epoch: int  # the log index of the permission

    @property
    def step(self) -> Step:
        """The permitted step."""
        return Step(self.slot, self.version)


NO_MOVE = PermittedMove("", "", 0)


class Release(NamedTuple):
    """The plan of a release and its progress. The fields up to `budgets` are the plan."""

    name: str
    slot: str  # one of SLOTS
    version: str  # named by content
    replaces: str  # the version that the nodes run before the release, and after a rollback
    level: int  # the highest level of log entries that the version reads
    waves: tuple[tuple[str, ...], ...]  # the names of the nodes of each wave
    soak_ms: int
    extra_soak_ms: int  # added to an inconclusive soak before a person is asked
    rolls_back: bool  # whether harm rolls the release back; otherwise harm only halts it
    gate: int  # the number of waves after which a person is always asked; 0: never
    urgent: bool  # whether the release may take over the nodes of a halted release
    mixed: bool  # whether one wave may contain several zones or cells
    budgets: tuple[Budget, ...] = ()  # the new budgets, in a release of budgets
    previous_budgets: tuple[Budget, ...] = ()
    state: str = PLANNED
    wave: int = 0  # the index of the current wave
    halted_state: str = ""  # the state in which a halt stopped the release
    halts: tuple[ReleaseHalt, ...] = ()
    approval_reason: str = ""  # why the release waits for a person's approval
    harmed: tuple[str, ...] = ()  # the nodes on which harm was seen; rolled back first
    reason: str = ""  # the reason for the last change of state
    # Measured before the wave: its index, requests per window, the failed fraction of calls, and
    # the mean duration of a call in ms.
    baseline: tuple[float, ...] = ()

    @property
    def nodes(self) -> tuple[str, ...]:
        """The nodes of all waves, in order."""
        return tuple(node for wave in self.waves for node in wave)

    @property
    def is_active(self) -> bool:
        """Whether the release has started and has not reached a final state."""
        return self.state != PLANNED and self.state not in FINAL_STATES

    @property
    def description(self) -> str:
        """The state in the words that operators read."""
        if self.state in FORWARD_STATES:
            return f"wave {self.wave + 1} of {len(self.waves)} {self.state}"
        return f"halted ({self.halted_state})" if self.state == HALTED else self.state


class NodeStatus(NamedTuple):
    """The last report of a node's agent, and the last step that the agent was permitted to take."""

    name: str
    agent: str  # the agent's process id
    versions: tuple[RunningVersion, ...] = ()
    stored: tuple[str, ...] = ()  # the versions on the node's disk
    server_state: str = ""  # SERVER_DOWN, SERVER_STARTING or ""
    problem: str = ""
    last_move: PermittedMove = NO_MOVE
    crashes: int = 0  # unexpected exits of the server since its last move or a release's start

    @property
    def reported(self) -> tuple[Any, ...]:
        """The fields of the agent's report, in the order of a `word` entry."""
        return self.agent, self.versions, self.stored, self.server_state, self.problem

    def version(self, slot: str) -> str:
        """Returns the version that the node runs in a slot; "" if its agent reported none."""
        return dict(self.versions).get(slot, "")

    def may_be_running(self, slot: str, version: str) -> bool:
        """Tells whether the node runs the version, or has a permission to move to the version.

        A permitted move counts until the next permission, because the agent may have made the move
        without having reported the result.
        """
        return self.version(slot) == version or self.last_move.step == (slot, version)
