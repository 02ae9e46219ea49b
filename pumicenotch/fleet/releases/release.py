"""The records of a release: what was planned, how far it is, and what each node runs."""

import re
from typing import Any, NamedTuple

from pumicenotch.fleet.drains.budgets import Budget

PLANNED, DRAINING, MOVING, SOAKING = "planned", "draining", "moving", "soaking"
HALTED, BACK, DONE, ABANDONED = "halted", "going back", "done", "abandoned"
GONE, STARTING = "ended", "starting"  # of a server, by its agent's word
FORWARD = (DRAINING, MOVING, SOAKING)
ENDED = (DONE, ABANDONED)

BUDGETS = "budgets"
RESTARTS = ("program", "config")  # the server is drained and started anew
IN_PLACE = ("map", "agent")  # read again, or replaced, beside a server that goes on
SLOTS = (*RESTARTS, *IN_PLACE, BUDGETS)

REQUESTED_BY = "(release)"  # who asks for a release's drains: no operator's name
STUCK = "cannot hold"  # how the trouble of an agent begins that is its machine's and no version's
WAVES_MOST = 256
VERSION = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
LEVELS = {  # the entries that came with each level; all others are of the first
    2: ("level", "plan", "release", "word", "move", "usual", "soaked", "harm"),
}
LEVEL = 2  # of this program
NEEDS = {verb: level for level, verbs in LEVELS.items() for verb in verbs}


class Halt(NamedTuple):
    """Of one release; its operator ends those halts that it has seen."""

    key: str
    by: str
    why: str


class Step(NamedTuple):
    """What a node is to do next."""

    slot: str
    version: str


NOTHING_DUE = Step("", "")


class Move(NamedTuple):
    """What a node's agent was last allowed to put in place."""

    slot: str
    version: str
    epoch: int  # the index at which it was allowed

    @property
    def step(self) -> Step:
        return Step(self.slot, self.version)


NO_MOVE = Move("", "", 0)


class Release(NamedTuple):
    """As planned, and how far it is."""

    name: str
    slot: str  # one of SLOTS: what of a node it replaces
    version: str  # by content
    replaces: str
    level: int  # that its program speaks
    waves: tuple[tuple[str, ...], ...]
    soak_ms: int
    wait_ms: int  # beyond the soak, where too little was seen to tell, before a person is asked
    back: bool  # whether harm makes it go back by itself; else it is halted
    gate: int  # after so many waves a person is asked in any case; 0: after none
    urgent: bool  # may take over a halted one
    mixed: bool  # two zones or cells in one wave
    budgets: tuple[Budget, ...] = ()  # of a release of budgets: those, and those before
    former: tuple[Budget, ...] = ()
    state: str = PLANNED
    wave: int = 0
    was: str = ""  # what a halt has stopped
    halts: tuple[Halt, ...] = ()
    asks: str = ""  # why it waits for a person
    harmed: tuple[str, ...] = ()  # where harm was seen: first on the way back
    why: str = ""  # the last word on it
    # Before the wave: its number, tasks a second, bad part and ms of calls below.
    usual: tuple[float, ...] = ()

    @property
    def nodes(self) -> tuple[str, ...]:
        return tuple(one for wave in self.waves for one in wave)

    @property
    def active(self) -> bool:
        return self.state != PLANNED and self.state not in ENDED

    @property
    def stands(self) -> str:
        """Its state as a person reads it."""
        if self.state in FORWARD:
            return f"wave {self.wave + 1} of {len(self.waves)} {self.state}"
        return f"halted ({self.was})" if self.state == HALTED else self.state


class NodeVersions(NamedTuple):
    """What its agent last said, and what it was last allowed."""

    name: str
    agent: str  # the agent's life
    runs: tuple[tuple[str, str], ...] = ()  # slot, version
    holds: tuple[str, ...] = ()
    down: str = (
        ""  # GONE: its server has; STARTING: it is not in service yet, as far as the agent knows
    )
    trouble: str = ""
    move: Move = NO_MOVE
    falls: int = 0  # ends of its server that nobody asked for, since it moved or a release began

    @property
    def reported(self) -> tuple[Any, ...]:
        """What its agent said: the fields from `agent` to `trouble`."""
        return self.agent, self.runs, self.holds, self.down, self.trouble

    def version(self, slot: str) -> str:
        return dict(self.runs).get(slot, "")

    def may_run(self, slot: str, version: str) -> bool:
        """It does, or was allowed to, and has not said so yet."""
        return self.version(slot) == version or self.move.step == (slot, version)
