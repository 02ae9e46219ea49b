"""Which stored versions have been compared with their hashes, and when the next check is due.

A check of a large version takes seconds, so it precedes the request for the permission to move.
"""


class VersionChecks:
    """The checks of one agent, one at a time. All times are in ms."""

    # A stored version may be damaged after a check, so an older check is repeated.
    VALIDITY_MS = 60_000.0
    RETRY_DELAY_MS = 5000.0  # after a check that found a damaged version

    def __init__(self) -> None:
        self.running = ""  # the version that is being checked
        self.passed_at_ms: dict[str, float] = {}  # by version
        self.next_start_at_ms = 0.0

    def is_valid(self, version: str, now_ms: float) -> bool:
        """Returns whether the version passed a check that is recent enough to move to it."""
        passed_at_ms = self.passed_at_ms.get(version)
        return passed_at_ms is not None and now_ms - passed_at_ms <= self.VALIDITY_MS

    def is_due(self, version: str, now_ms: float, is_in_use: bool) -> bool:
        """Returns whether a check of the version is to start now.

        Args:
            version: The version of the agent's next step.
            now_ms: The current time.
            is_in_use: Whether the process to replace still runs. An old check is repeated only once
                the process has ended, because that may take long.
        """
        is_wanted = version not in self.passed_at_ms or not (
            is_in_use or self.is_valid(version, now_ms)
        )
        return is_wanted and not self.running and now_ms >= self.next_start_at_ms

    def start(self, version: str) -> None:
        """Records that a check has started."""
        self.running = version

    def finish(self, version: str, now_ms: float, passed: bool) -> None:
        """Records the end of a check."""
        self.running = ""
        if passed:
            self.passed_at_ms[version] = now_ms
        else:
            self.passed_at_ms.pop(version, None)
            self.next_start_at_ms = now_ms + self.RETRY_DELAY_MS

    def forget(self) -> None:
        """Drops all results, because the next step has changed."""
        self.passed_at_ms.clear()
