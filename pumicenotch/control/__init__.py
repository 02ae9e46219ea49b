"""The decisions of one server: admission, scheduling, timeouts, retries and load reports.

A carrier (the server core, the simulator's adapter or a test) creates one `AdmissionController` per
server from its `ControllerSettings` and calls it for each event. The controller responds within the
call, through its `Actions`. This package does no I/O and reads no clock: callers pass the time.
docs/design.md describes each mechanism and when it acts.
"""

from pumicenotch.control.controller import AdmissionController
from pumicenotch.control.request import Request
from pumicenotch.control.settings import ControllerSettings
from pumicenotch.control.timers import SAMPLE_INTERVAL_MS, TICK_INTERVAL_MS, Timer, TimerQueue

__all__ = [
    "SAMPLE_INTERVAL_MS",
    "TICK_INTERVAL_MS",
    "AdmissionController",
    "ControllerSettings",
    "Request",
    "Timer",
    "TimerQueue",
]
