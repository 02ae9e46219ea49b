"""The names of actions in the scenario files and in the recorded digests."""

ACTION_WORDS = {
    "start": "run",
    "reject": "reject",
    "fail": "abandon",
    "cancel_run": "halt",
    "call_dependency": "call",
    "skip_dependency": "skip_call",
    "retain_key": "keep",
    "drop_key": "forget",
    "replay_result": "reuse",
    "set_health": "health",
    "report_load": "say",
    "set_idle_timeout": "close_idle",
    "schedule_tick": "wake",
    "log": "log",
}
