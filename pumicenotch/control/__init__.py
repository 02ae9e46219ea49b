"""The decisions of one server: admission, scheduling, timeouts, retries and load reports.

A carrier makes one `AdmissionController` per server from its `ControllerSettings` and calls it for
each event; the controller answers in the same call, through its `Actions`. Nothing here does I/O
or reads a clock. docs/design.md describes the mechanisms and when each acts.
"""

from pumicenotch.control.controller import AdmissionController
from pumicenotch.control.request import Request
from pumicenotch.control.settings import ControllerSettings
from pumicenotch.control.timers import SAMPLE_INTERVAL_MS, TICK_INTERVAL_MS, TimerQueue

__all__ = [
    "SAMPLE_INTERVAL_MS",
    "TICK_INTERVAL_MS",
    "AdmissionController",
    "ControllerSettings",
    "Request",
    "TimerQueue",
]
