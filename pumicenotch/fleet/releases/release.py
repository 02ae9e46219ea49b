"""The records of a release: what was planned, how far it is, and what each node runs.

Snapshots write them as lists, so the order of their fields is part of the stored form; so are the
names of states and slots.
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

# The state of a server by its agent's report; "": it serves.
SERVER_DOWN = "ended"
SERVER_STARTING = "starting"  # not in service yet, as far as the agent knows

# What of a node a release replaces.
BUDGETS = "budgets"
RESTART_SLOTS = ("program", "config")  # the server is drained and started again
IN_PLACE_SLOTS = ("map", "agent")  # reloaded, or replaced, beside a server that goes on
SLOTS = (*RESTART_SLOTS, *IN_PLACE_SLOTS, BUDGETS)

REQUESTED_BY = "(release)"  # in the queue of drains: no operator's name
STORAGE_PROBLEM = "cannot hold"  # how an agent's problem begins that is no fault of the version
MAX_WAVES = 256
VERSION_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
PROGRAM_LEVEL = 2  # the level of entries that this program reads


class ReleaseHalt(NamedTuple):
    """A halt of one release; an operator ends those halts that it has seen."""

    key: str
    operator: str
    reason: str


class RunningVersion(NamedTuple):
    """What a node runs in one slot."""

    slot: str
    version: str


class Step(NamedTuple):
    """What a node is to do next."""

    slot: str
    version: str


NO_STEP = Step("", "")


class PermittedMove(NamedTuple):
    """What a node's agent was last allowed to put in place."""

    slot: str
    version: str
    epoch: int  # the log index at which it was allowed

    @property
    def step(self) -> Step:
        """The step that was allowed."""
        return Step(self.slot, self.version)


NO_MOVE = PermittedMove("", "", 0)


class Release(NamedTuple):
    """A release as planned, and how far it is. The fields up to `budgets` are the plan."""

    name: str
    slot: str  # one of SLOTS
    version: str  # named by content
    replaces: str
    level: int  # of the entries that its program reads
    waves: tuple[tuple[str, ...], ...]
    soak_ms: int
    extra_soak_ms: int  # where too little was observed to tell, before a person is asked
    rolls_back: bool  # on harm; else it is halted
    gate: int  # a person is asked after this many waves in any case; 0: after none
    urgent: bool  # may take over from one that is halted
    mixed: bool  # two zones or cells in one wave
    budgets: tuple[Budget, ...] = ()  # of a release of budgets: the new ones
    previous_budgets: tuple[Budget, ...] = ()
    state: str = PLANNED
    wave: int = 0
    halted_state: str = ""  # the state that a halt has stopped
    halts: tuple[ReleaseHalt, ...] = ()
    approval_reason: str = ""  # why it waits for a person
    harmed: tuple[str, ...] = ()  # where harm was seen: first to be rolled back
    reason: str = ""  # of the last change of its state
    # Before the wave: its number, requests per window, failed fraction and mean ms of calls.
    baseline: tuple[float, ...] = ()

    @property
    def nodes(self) -> tuple[str, ...]:
        """The nodes of all waves, in order."""
        return tuple(node for wave in self.waves for node in wave)

    @property
    def is_active(self) -> bool:
        """Whether it has started and not reached a final state."""
        return self.state != PLANNED and self.state not in FINAL_STATES

    @property
    def description(self) -> str:
        """Its state as operators read it."""
        if self.state in FORWARD_STATES:
            return f"wave {self.wave + 1} of {len(self.waves)} {self.state}"
        return f"halted ({self.halted_state})" if self.state == HALTED else self.state


class NodeStatus(NamedTuple):
    """What a node's agent reported last, and what it was last allowed to do."""

    name: str
    agent: str  # the agent's process id
    versions: tuple[RunningVersion, ...] = ()
    stored: tuple[str, ...] = ()  # the versions on its disk
    server_state: str = ""  # SERVER_DOWN, SERVER_STARTING or ""
    problem: str = ""
    last_move: PermittedMove = NO_MOVE
    crashes: int = 0  # unexpected exits of its server since it moved or a release began

    @property
    def reported(self) -> tuple[Any, ...]:
        """The fields of the agent's report, in the order of a `word` entry."""
        return self.agent, self.versions, self.stored, self.server_state, self.problem

    def version(self, slot: str) -> str:
        """Returns what the node runs in a slot; "" if its agent did not say."""
        return dict(self.versions).get(slot, "")

    def may_run(self, slot: str, version: str) -> bool:
        """Tells whether the node runs the version, or was allowed to and has not reported since."""
        return self.version(slot) == version or self.last_move.step == (slot, version)
