"""The types between the decisions and whatever carries them: no decision, default or state lives here."""

from collections.abc import Collection
from enum import Enum, auto
from typing import NamedTuple, Protocol


class Effect(Enum):
    RESTARTABLE = auto()
    FINGERPRINTED = auto()
    SIDE_EFFECTING = auto()


class Halt(Enum):
    NONE = auto()
    DROP = auto()
    PAUSE = auto()


class Signal(Enum):
    NONE = auto()
    LEVEL = auto()
    CREDIT = auto()
    WEIGHT = auto()


class Below(Enum):
    NONE = auto()
    SHARED = auto()
    TIER = auto()


class Outcome(Enum):
    OK = auto()
    ERROR = auto()
    FULL = auto()
    TIMEOUT = auto()
    UNREACHED = auto()
    RESET = auto()
    CANCELLED = auto()
    MOOT = auto()


class State(Enum):
    """How far a task is."""

    HELD = auto()  # read, not started
    FOLLOWING = auto()  # a repeat of a task that is still held
    REUSING = auto()  # a repeat served from the first try
    RUNNING = auto()
    CALLING = auto()  # off the cores, at a call below
    OVER = auto()


class Stage(NamedTuple):
    due_ms: float
    due_stretch: float
    limit_ms: float
    effect: Effect
    window_ms: float
    utility: float
    late_utility: float
    skip_utility: float


class Tenant(NamedTuple):
    share: float
    allowance_per_s: float | None


class Actions(Protocol):
    """What a control may ask for, all at the time of the event that it answers."""

    def run(self, task: int) -> None: ...

    def reject(self, task: int, last: bool, stay_away_ms: float) -> None: ...

    def abandon(self, task: int) -> None: ...

    def halt(self, task: int) -> None: ...

    def call(self, task: int, give_up_ms: float) -> None: ...

    def skip_call(self, task: int) -> None: ...

    def keep(self, task: int, for_ms: float) -> None: ...

    def forget(self, task: int) -> None: ...

    def reuse(self, task: int) -> None: ...

    def health(self, good: bool, stored: bool) -> None: ...

    def say(self, value: float) -> None: ...

    def close_idle(self, after_ms: float) -> None: ...

    def wake(self, after_ms: float) -> None: ...

    def log(self, text: str) -> None: ...


class Pools(Protocol):
    """What the decisions ask of class pools and tell them. A pool is a lane, numbered from 0. Times in ms."""

    count: int

    def lane(self, stage: int) -> int: ...

    def read(
        self,
        now: float,
        lane: int,
        tenant: int,
        caller: int,
        again: bool,
        mark: int,
        waited_ms: float,
    ) -> tuple[float, bool]:
        """A first try of a task was read: the part of the usual wait that it may hope for, and whether it is
        taken for a repeated attempt.
        """

    def place(
        self,
        now: float,
        lane: int,
        repeat: bool,
        beyond: bool,
        waiting: Collection[int],
        usual_ms: float,
        room: bool,
    ) -> tuple[int, float, float, bool]:
        """A first try asks for a place, maybe beyond its tenant's share, while tasks wait in those lanes: its
        lane, the places that lane comes to, the time that each is held, and whether one is free where the
        total has room.
        """

    def spent(self, tenant: int, caller: int) -> None:
        """A repeat was let in though no place was free."""

    def held_off(self, now: float, lane: int, mark: int) -> None: ...

    def on(self, now: float, lane: int, first: bool) -> None: ...

    def off(self, now: float, lane: int) -> None: ...

    def ended(self, now: float, lane: int, slot_ms: float) -> None: ...

    def tick(self, now: float, total: int) -> None: ...

    def next(self, now: float, waiting: Collection[int]) -> int | None:
        """The pool whose task starts next, of those that have one waiting."""
