"""Releases that the fleet has agreed: a version goes out in waves, is halted, is rolled back.

Every step is an entry of the log. What follows from the entries, as whose server is to be drained
next, needs none.
"""

from pumicenotch.fleet.drains.budgets import SERVING, Member
from pumicenotch.fleet.releases.commands import (
    CompleteSoak,
    MoveNode,
    ReportHarm,
    ReportNode,
    SetBaseline,
    SetLevel,
)
from pumicenotch.fleet.releases.control import ReleaseControl
from pumicenotch.fleet.releases.release import (
    ABANDONED,
    BUDGETS,
    DRAINING,
    FORWARD_STATES,
    HALTED,
    MOVING,
    REQUESTED_BY,
    RESTART_SLOTS,
    ROLLING_BACK,
    SOAKING,
    STORAGE_PROBLEM,
    NodeStatus,
    PermittedMove,
    Release,
    ReleaseHalt,
    Step,
)
from pumicenotch.fleet.replicated.records import RELEASE_PERMIT, ApplyResult


class Releases(ReleaseControl):
    """Applies what the leader and the agents say of versions, and what follows from all entries."""

    def set_level(self, command: SetLevel) -> ApplyResult:
        """From now on no version that reads less may be released, nor be rolled back to."""
        if command.level > self.level and not self.active_releases():
            self.level = command.level
            self.fleet.record_event(f"the fleet is at level {command.level}")
        return ApplyResult(True, f"level {self.level}")

    # Of the leader

    def complete_soak(self, command: CompleteSoak) -> ApplyResult:
        """Ends a wave's soak; without conclusive observations a person is asked."""
        name, wave, conclusive, reason = command
        release = self.releases.get(name)
        is_soaking = release is not None and release.state == SOAKING and release.wave == wave
        if release is None or not is_soaking or release.approval_reason:
            return ApplyResult(False, f"release {name}: no soak of wave {wave} is on")
        if halt_reason := self.fleet.halt_reason():
            return ApplyResult(False, halt_reason)
        if not conclusive or release.gate == wave + 1:
            gate_reason = f"approval was planned after wave {wave + 1}"
            approval_reason = gate_reason if conclusive else reason
            return self.put(
                release._replace(approval_reason=approval_reason),
                f"wave {wave + 1} ASKS: {approval_reason}",
            )
        return self.finish_wave(release, f"wave {wave + 1} is good: {reason}")

    def set_baseline(self, command: SetBaseline) -> ApplyResult:
        """Remembers how the fleet did before a wave, so that the next leader knows it too."""
        release = self.releases.get(command.name)
        is_current = release is not None and release.wave == command.wave
        if release is not None and is_current and release.state in FORWARD_STATES:
            baseline = (float(command.wave), *command.figures)
            self.put(release._replace(baseline=baseline))
        return ApplyResult(True, "noted")

    def report_harm(self, command: ReportHarm) -> ApplyResult:
        """Halts a release that does harm, and rolls it back where that is planned."""
        release = self.releases.get(command.name)
        if release is None or not release.is_active:
            return ApplyResult(False, f"release {command.name} is not on")
        was_forward = release.state in FORWARD_STATES
        reporter = command.reported_by
        reason = command.reason
        harmed = tuple(dict.fromkeys((*release.harmed, *command.nodes)))
        release = release._replace(harmed=harmed)
        if release.state == HALTED:
            return self.put(release, f"harm seen by {reporter}: {reason}")
        key = f"{reporter}-{self.fleet.log_index}"
        result = self.halt(release, ReleaseHalt(key, reporter, reason))
        rolls_back = release.rolls_back and not reason.startswith(STORAGE_PROBLEM)
        if not (was_forward and rolls_back):
            return result
        halted = self.releases[command.name]
        keys = tuple(halt.key for halt in halted.halts)
        return self.roll_back(halted, keys, reason, reporter)

    # Of agents

    def report_node(self, command: ReportNode) -> ApplyResult:
        """Takes an agent's report. Of two agents the one that reported last has the node."""
        name = command.name
        problem = command.problem
        server_state = command.server_state
        known = self.nodes.get(name, NodeStatus(name, command.agent))
        if server_state != known.server_state:
            self.fleet.invalidate_counts()
        went_down = bool(server_state) and not known.server_state
        crashed = went_down and self.is_expected_to_serve(name)
        node = known._replace(
            agent=command.agent,
            versions=command.versions,
            stored=command.stored,
            server_state=server_state,
            problem=problem,
            crashes=known.crashes + crashed,
        )
        self.nodes[name] = node
        if problem and problem != known.problem:
            self.fleet.record_event(f"the agent of {name}: {problem}")
            self._report_problem(node)
        return ApplyResult(True, "noted")

    def _report_problem(self, node: NodeStatus) -> None:
        """Holds a node's problem against the releases that it may come from."""
        name = node.name
        problem = node.problem
        for release in self.active_releases():
            may_run_it = node.may_run(release.slot, self.wanted_version(release, name))
            if name in release.nodes and (problem.startswith(STORAGE_PROBLEM) or may_run_it):
                self.report_harm(ReportHarm(release.name, name, (name,), problem))

    def move_node(self, command: MoveNode) -> ApplyResult:
        """Allows a node's agent to put a version in place now.

        Its server has stopped, by its agent's report, or goes on where nothing stops for it.
        """
        name = command.name
        slot = command.slot
        version = command.version
        node = self.nodes.get(name)
        if node is None or node.agent != command.agent:
            return ApplyResult(False, f"{name}: another agent has this node")
        if halt_reason := self.fleet.halt_reason():
            return ApplyResult(False, halt_reason)
        step = Step(slot, version)
        if self.next_step(node) != step:
            reason = self.describe_active_releases(node) or "nothing is due"
            return ApplyResult(False, f"{name} is not to run {version}: {reason}")
        if slot in RESTART_SLOTS and not self.is_server_down(name):
            return ApplyResult(False, f"{name}: its server is in service")
        if reason := self._majority_problem(name, step):
            return ApplyResult(False, reason)
        if node.last_move.step != step:
            move = PermittedMove(slot, version, self.fleet.log_index)
            node = node._replace(last_move=move, crashes=0)
            self.nodes[name] = node
            self.fleet.record_event(f"{name} may move to {slot} {version}")
        return ApplyResult(True, "go on", node.last_move.epoch)

    def _majority_problem(self, name: str, step: Step) -> str:
        """Returns why one more voter may not move; "" if it may.

        A majority of the voters never runs a version before a minority has run it through a soak.
        """
        slot, version = step
        member = self.fleet.members.get(name)
        if member is None or not member.voter:
            return ""
        release = next(
            (
                each
                for each in self.active_releases()
                if each.slot == slot and each.version == version
            ),
            None,
        )
        limit = self.fleet.max_unavailable_voters()
        if release is None or not limit:
            return ""
        proven = sum(
            self._is_voter_on(each, step) for wave in release.waves[: release.wave] for each in wave
        )
        others = sum(self._is_voter_on(each, step) for each in release.nodes if each != name)
        if others + 1 > limit and proven < limit:
            return (
                f"{others} voters are on {version}, and {proven} were through a soak: a majority"
                " must not be"
            )
        return ""

    def _is_voter_on(self, name: str, step: Step) -> bool:
        member = self.fleet.members.get(name)
        node = self.nodes.get(name)
        is_voter = member is not None and member.voter
        return is_voter and node is not None and node.may_run(step.slot, step.version)

    # What follows from each entry

    def advance_all(self, name: str = "") -> None:
        """Notes how far each release is, and queues the drains that follow.

        Args:
            name: the one member that the entry spoke of; "" if others may be concerned.
        """
        for release in self.active_releases():
            self.advance(release)
        has_advanced = self.has_advanced
        self.has_advanced = False
        for each in self.drain_order() if has_advanced or not name else [name]:
            if each in self.nodes:
                self.queue_drain(self.nodes[each])
        if self.has_advanced:  # a permit that was taken back had counted its node as unavailable
            self.advance_all()

    def advance(self, release: Release) -> None:
        """Moves a release on to its next state, if its nodes are where it wants them."""
        if release.slot == BUDGETS or release.state not in (DRAINING, MOVING, ROLLING_BACK):
            return
        missing = self.missing_nodes(release)
        if release.state == ROLLING_BACK:
            if not missing:
                event = f"all are back on {release.replaces}"
                self.put(release._replace(state=ABANDONED), event)
            return
        if not missing:
            self.put(release._replace(state=SOAKING), f"wave {release.wave + 1} soaks")
        elif release.state == DRAINING and self.has_moved(release):
            self.put(release._replace(state=MOVING))

    def has_moved(self, release: Release) -> bool:
        """Tells whether any node of the current wave may have the version by now."""
        nodes = (self.nodes.get(name) for name in release.waves[release.wave])
        return any(
            node is not None and node.may_run(release.slot, release.version) for node in nodes
        )

    def queue_drain(self, node: NodeStatus) -> None:
        """Keeps a node's drain in the fleet's queue as long as it needs one, and no longer."""
        fleet = self.fleet
        name = node.name
        slot, version = self.next_step(node)
        needs_drain = self._needs_drain(node, Step(slot, version), fleet.members.get(name))
        queued = next((request for request in fleet.queue if request.name == name), None)
        permit = fleet.permits.get(name)
        if needs_drain and queued is None and permit is None:
            fleet.enqueue_drain(name, f"{slot} {version}", REQUESTED_BY)
        elif not needs_drain and queued is not None and queued.requested_by == REQUESTED_BY:
            fleet.dequeue_drain(queued)
        is_unused = permit is not None and not permit.started
        if permit is not None and is_unused and permit.kind == RELEASE_PERMIT and not slot:
            fleet.end_permit(name, "nothing is due any more")
            self.has_advanced = True
            fleet.invalidate_counts()

    def _needs_drain(self, node: NodeStatus, step: Step, member: Member | None) -> bool:
        return (
            step.slot in RESTART_SLOTS
            and step.version in node.stored
            and not self.is_server_down(node.name)
            and member is not None
            and member.status == SERVING
        )
