"""Operators' commands on releases: plan, start, halt, resume, roll back, approve, abandon."""

from pumicenotch.fleet.releases import commands
from pumicenotch.fleet.releases.commands import ControlRelease, PlanRelease
from pumicenotch.fleet.releases.progress import ReleaseProgress
from pumicenotch.fleet.releases.release import (
    ABANDONED,
    BUDGETS,
    DONE,
    DRAINING,
    FINAL_STATES,
    HALTED,
    PLANNED,
    RESTART_SLOTS,
    ROLLING_BACK,
    SOAKING,
    Release,
    ReleaseHalt,
)
from pumicenotch.fleet.replicated.fleet_view import FleetView
from pumicenotch.fleet.replicated.records import ApplyResult

MAX_ENDED_RELEASES = 50  # kept for `status` and so that no release reuses their names
MAX_HALTS = 16  # per release
MAX_LISTED_NAMES = 5  # per message


class ReleaseControl(ReleaseProgress):
    """Applies operators' commands to releases.

    The fleet records each result as the answer to the operator's request, for retries of the
    request.
    """

    def __init__(self, fleet: FleetView) -> None:
        super().__init__(fleet)
        # Set when a release changes its state or wave, which may give any node a next step.
        self.has_advanced = False

    def store_release(self, release: Release, event: str = "") -> ApplyResult:
        """Replaces a release's record, and adds any event text to the fleet's event history."""
        previous = self.releases.get(release.name)
        position = (release.state, release.wave)
        self.has_advanced |= previous is None or (previous.state, previous.wave) != position
        self.releases[release.name] = release
        if event:
            self.fleet.record_event(f"release {release.name}: {event}")
        return ApplyResult(True, f"release {release.name} is {release.description}")

    # Plans

    def plan(self, command: PlanRelease) -> ApplyResult:
        """Adds a planned release, or refuses a plan that cannot be carried out."""
        result = self._plan(command.release, command.operator)
        return self.fleet.record_answer(command.request_id, result)

    def _plan(self, release: Release, operator: str) -> ApplyResult:
        if release.name in self.releases:
            return ApplyResult(
                False, f"there has been a release {release.name}: another name is wanted"
            )
        if release.slot == BUDGETS:
            release = release._replace(previous_budgets=self.fleet.budgets, waves=((),))
        unknown = [name for name in release.nodes if name not in self.nodes]
        if unknown:
            names = ", ".join(unknown[:MAX_LISTED_NAMES])
            return ApplyResult(False, f"no agent has spoken for {names}")
        replaces = (
            release.replaces
            or self.current_versions.get(release.slot, "")
            or self._common_version(release)
        )
        if not replaces and release.slot != BUDGETS:
            return ApplyResult(
                False, "the nodes run several versions and none is agreed: say which it replaces"
            )
        release = release._replace(replaces=replaces)
        if problem := self._start_problem(release) or self._wave_problem(release):
            return ApplyResult(False, problem)
        self._remove_oldest_ended()
        return self.store_release(
            release,
            f"planned by {operator}: {release.slot} {release.version} for"
            f" {release.replaces or 'what is'} in {len(release.waves)} waves",
        )

    def _common_version(self, release: Release) -> str:
        versions = {self.nodes[name].version(release.slot) for name in release.nodes}
        return versions.pop() if len(versions) == 1 else ""

    def _start_problem(self, release: Release) -> str:
        """Returns why the release cannot start now; "" if it can."""
        current = self.current_versions.get(release.slot, release.replaces)
        if release.version == release.replaces and release.slot != BUDGETS:
            return f"the fleet is on {release.version} already"
        if current != release.replaces:
            return f"it replaces {release.replaces}, but the fleet is on {current}: plan it anew"
        if release.slot in RESTART_SLOTS and release.level < self.level:
            return (
                f"version {release.version} is of level {release.level}, and entries of level"
                f" {self.level} are agreed, which it cannot read: there is no way back over a level"
            )
        return ""

    def _wave_problem(self, release: Release) -> str:
        """Returns which wave contains nodes that must not move together; "" if none does."""
        for number, wave in enumerate(release.waves, 1):
            members = [self.fleet.members[name] for name in wave if name in self.fleet.members]
            if sum(member.voter for member in members) > 1:
                return f"wave {number}: more than one voter in a wave"
            if release.mixed:
                continue
            for kind in ("zone", "cell"):
                places = sorted({getattr(member, kind) for member in members})
                if len(places) > 1:
                    names = ", ".join(places[:MAX_LISTED_NAMES])
                    return f"wave {number}: {kind}s {names} together: allow it with mixed"
        return ""

    def _remove_oldest_ended(self) -> None:
        ended = [
            release.name for release in self.releases.values() if release.state in FINAL_STATES
        ]
        for name in ended[: max(0, len(ended) - MAX_ENDED_RELEASES)]:
            del self.releases[name]

    # Actions

    def control(self, command: ControlRelease) -> ApplyResult:
        """Starts, abandons, halts, resumes, rolls back or approves a release."""
        return self.fleet.record_answer(command.request_id, self._control(command))

    def _control(self, command: ControlRelease) -> ApplyResult:
        release = self.releases.get(command.name)
        if release is None:
            return ApplyResult(False, f"no release {command.name}")
        if release.state in FINAL_STATES:
            return ApplyResult(False, f"release {release.name} is {release.state}")
        if release.state == PLANNED and command.action not in (commands.START, commands.ABANDON):
            return ApplyResult(False, f"release {release.name} has not started")
        return self._perform(release, command)

    def _perform(self, release: Release, command: ControlRelease) -> ApplyResult:
        operator = command.operator
        reason = command.reason
        match command.action:
            case commands.START:
                return self.start(release, operator)
            case commands.ABANDON:
                return self.abandon(release, reason, operator)
            case commands.HALT:
                return self.halt(release, ReleaseHalt(command.request_id, operator, reason))
            case commands.RESUME:
                return self.resume(release, command.known_halts, reason, operator)
            case commands.ROLL_BACK:
                return self.roll_back(release, command.known_halts, reason, operator)
            case _:
                return self.approve(release, reason, operator)

    def start(self, release: Release, operator: str) -> ApplyResult:
        """Starts a planned release.

        An urgent release abandons and replaces a halted release that has nodes in common.
        """
        if release.state != PLANNED:
            return ApplyResult(False, f"release {release.name} has started")
        if problem := self._start_problem(release):
            return ApplyResult(False, problem)
        for other in self.active_releases():
            if not _overlap(release, other):
                continue
            if not release.urgent or other.state != HALTED:
                return ApplyResult(
                    False,
                    f"release {other.name} is {other.description}, and has nodes in common: only an"
                    " urgent one may take over, and only one that is halted",
                )
            self.store_release(
                other._replace(state=ABANDONED, halts=()), f"taken over by {release.name}"
            )
        if release.slot == BUDGETS:
            release = release._replace(previous_budgets=self.fleet.budgets)
            self.fleet.budgets = release.budgets
            return self.store_release(
                release._replace(state=SOAKING), f"started by {operator}: its budgets are in force"
            )
        self.current_versions.setdefault(release.slot, release.replaces)
        for name in release.nodes:
            self.nodes[name] = self.nodes[name]._replace(crashes=0)
        return self.store_release(release._replace(state=DRAINING), f"started by {operator}")

    def abandon(self, release: Release, reason: str, operator: str) -> ApplyResult:
        """Abandons a release that has not started."""
        if release.state != PLANNED:
            return ApplyResult(
                False, f"release {release.name} has started: halt it, or have it go back"
            )
        return self.store_release(
            release._replace(state=ABANDONED, reason=reason), f"abandoned by {operator}: {reason}"
        )

    def halt(self, release: Release, halt: ReleaseHalt) -> ApplyResult:
        """Halts a release in its current state."""
        halted_state = release.halted_state if release.state == HALTED else release.state
        halts = (*release.halts, halt)[-MAX_HALTS:]
        return self.store_release(
            release._replace(
                state=HALTED, halted_state=halted_state, halts=halts, reason=halt.reason
            ),
            f"HALT by {halt.operator}: {halt.reason}",
        )

    def resume(
        self, release: Release, known_halts: tuple[str, ...], reason: str, operator: str
    ) -> ApplyResult:
        """Ends the halts that the operator has seen. Any other halt keeps the release halted."""
        if release.state != HALTED:
            return ApplyResult(
                False, f"release {release.name} is not halted: {release.description}"
            )
        remaining = _remaining_halts(release, known_halts)
        if remaining:
            return self.store_release(
                release._replace(halts=remaining),
                f"resumed by {operator}, but halted by {remaining[0].operator} still",
            )
        return self.store_release(
            release._replace(state=release.halted_state, halts=(), halted_state="", reason=reason),
            f"RESUMED by {operator}: {reason}",
        )

    def roll_back(
        self, release: Release, known_halts: tuple[str, ...], reason: str, operator: str
    ) -> ApplyResult:
        """Returns all nodes of a release to the previous version.

        A halt that the operator has not seen stays in force, and halts the rollback.
        """
        remaining = _remaining_halts(release, known_halts)
        updated = release._replace(
            state=ROLLING_BACK, halted_state="", halts=(), approval_reason="", reason=reason
        )
        if remaining:
            updated = updated._replace(state=HALTED, halted_state=ROLLING_BACK, halts=remaining)
        elif release.slot == BUDGETS:
            self.fleet.budgets = release.previous_budgets
            updated = updated._replace(state=ABANDONED)
        halt_note = f"; halted by {remaining[0].operator}" if remaining else ""
        return self.store_release(updated, f"goes BACK by {operator}: {reason}{halt_note}")

    def approve(self, release: Release, reason: str, operator: str) -> ApplyResult:
        """Finishes the wave of a release that waits for a person's approval."""
        if not release.approval_reason:
            return ApplyResult(
                False, f"release {release.name} asks for nothing: {release.description}"
            )
        return self.finish_wave(release, f"approved by {operator}: {reason}")

    def finish_wave(self, release: Release, reason: str) -> ApplyResult:
        """Ends a harmless wave and starts the next one. Completes the release after the last."""
        release = release._replace(approval_reason="", reason=reason)
        if release.wave + 1 < len(release.waves):
            return self.store_release(
                release._replace(state=DRAINING, wave=release.wave + 1), reason
            )
        self.current_versions[release.slot] = release.version
        return self.store_release(release._replace(state=DONE), f"done: {reason}")


def _overlap(first: Release, second: Release) -> bool:
    has_budgets = BUDGETS in (first.slot, second.slot)
    return has_budgets or bool(set(first.nodes) & set(second.nodes))


def _remaining_halts(release: Release, known_halts: tuple[str, ...]) -> tuple[ReleaseHalt, ...]:
    return tuple(halt for halt in release.halts if halt.key not in known_halts)
