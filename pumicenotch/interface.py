"""The types between the decisions and whatever carries them: no decision, default or state lives here."""

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
