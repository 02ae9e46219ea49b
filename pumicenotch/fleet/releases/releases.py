"""The agreed releases: a version is rolled out in waves, halted, or rolled back.

Every step is an entry of the log. Consequences of the entries, such as which server is to be
drained next, are derived on each voter and need no entry.
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
    RELEASE_REQUESTER,
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
    """Applies the commands of the leader and of agents, and advances the releases after each entry.

    The replicated state owns one instance and calls `advance_all` after it has applied an entry.
    """

    def set_level(self, command: SetLevel) -> ApplyResult:
        """Raises the fleet's level, unless a release is active.

        From then on a version that reads only lower levels can be neither released nor rolled back
        to.
        """
        if command.level > self.level and not self.active_releases():
            self.level = command.level
            self.fleet.record_event(f"the fleet is at level {command.level}")
        return ApplyResult(True, f"level {self.level}")

    # The leader's commands

    def complete_soak(self, command: CompleteSoak) -> ApplyResult:
        """Ends a wave's soak, or asks for approval if the observations are not conclusive."""
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
            return self.store_release(
                release._replace(approval_reason=approval_reason),
                f"wave {wave + 1} ASKS: {approval_reason}",
            )
        return self.finish_wave(release, f"wave {wave + 1} is good: {reason}")

    def set_baseline(self, command: SetBaseline) -> ApplyResult:
        """Stores a wave's baseline in the replicated state, where the next leader finds it."""
        release = self.releases.get(command.name)
        is_current = release is not None and release.wave == command.wave
        if release is not None and is_current and release.state in FORWARD_STATES:
            baseline = (float(command.wave), *command.metrics)
            self.store_release(release._replace(baseline=baseline))
        return ApplyResult(True, "noted")

    def report_harm(self, command: ReportHarm) -> ApplyResult:
        """Halts a harmful release, and rolls it back if its plan asks for that.

        A storage problem on a node only halts the release: the version is not the cause.
        """
        release = self.releases.get(command.name)
        if release is None or not release.is_active:
            return ApplyResult(False, f"release {command.name} is not on")
        was_forward = release.state in FORWARD_STATES
        reporter = command.reported_by
        reason = command.reason
        harmed = tuple(dict.fromkeys((*release.harmed, *command.nodes)))
        release = release._replace(harmed=harmed)
        if release.state == HALTED:
            return self.store_release(release, f"harm seen by {reporter}: {reason}")
        key = f"{reporter}-{self.fleet.log_index}"
        result = self.halt(release, ReleaseHalt(key, reporter, reason))
        rolls_back = release.rolls_back and not reason.startswith(STORAGE_PROBLEM)
        if not (was_forward and rolls_back):
            return result
        halted = self.releases[command.name]
        keys = tuple(halt.key for halt in halted.halts)
        return self.roll_back(halted, keys, reason, reporter)

    # Agents' commands

    def report_node(self, command: ReportNode) -> ApplyResult:
        """Stores an agent's report. The agent that reported last is the one in charge of the node.

        An exit of a server that is expected to serve counts as a crash.
        """
        name = command.name
        problem = command.problem
        server_state = command.server_state
        previous = self.nodes.get(name, NodeStatus(name, command.agent))
        if server_state != previous.server_state:
            self.fleet.invalidate_counts()
        went_down = bool(server_state) and not previous.server_state
        crashed = went_down and self.is_expected_to_serve(name)
        node = previous._replace(
            agent=command.agent,
            versions=command.versions,
            stored=command.stored,
            server_state=server_state,
            problem=problem,
            crashes=previous.crashes + crashed,
        )
        self.nodes[name] = node
        if problem and problem != previous.problem:
            self.fleet.record_event(f"the agent of {name}: {problem}")
            self._report_problem(node)
        return ApplyResult(True, "noted")

    def _report_problem(self, node: NodeStatus) -> None:
        """Reports a node's problem as harm of the releases that may have caused it."""
        name = node.name
        problem = node.problem
        for release in self.active_releases():
            may_run_version = node.may_be_running(release.slot, self.wanted_version(release, name))
            if name in release.nodes and (problem.startswith(STORAGE_PROBLEM) or may_run_version):
                self.report_harm(ReportHarm(release.name, name, (name,), problem))

    def move_node(self, command: MoveNode) -> ApplyResult:
        """Permits a node's agent to put a version in a slot now, or refuses.

        The node's server must be down by its agent's report, unless the slot needs no restart.
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
        """Returns why another voter must not move now; "" if it may.

        A majority of the voters may run a version only after a minority has run the version through
        a soak.
        """
        slot, version = step
        member = self.fleet.members.get(name)
        if member is None or not member.voter:
            return ""
        release = next(
            (
                active
                for active in self.active_releases()
                if active.slot == slot and active.version == version
            ),
            None,
        )
        limit = self.fleet.max_unavailable_voters()
        if release is None or not limit:
            return ""
        soaked = sum(
            self._is_voter_on(node_name, step)
            for wave in release.waves[: release.wave]
            for node_name in wave
        )
        others = sum(
            self._is_voter_on(node_name, step) for node_name in release.nodes if node_name != name
        )
        if others + 1 > limit and soaked < limit:
            return (
                f"{others} voters are on {version}, and {soaked} were through a soak: a majority"
                " must not be"
            )
        return ""

    def _is_voter_on(self, name: str, step: Step) -> bool:
        member = self.fleet.members.get(name)
        node = self.nodes.get(name)
        is_voter = member is not None and member.voter
        return is_voter and node is not None and node.may_be_running(step.slot, step.version)

    # Consequences of each entry

    def advance_all(self, name: str = "") -> None:
        """Advances the active releases, and updates the queued drains.

        Args:
            name: the only member that the entry concerns; "" if the entry may concern others.
        """
        for release in self.active_releases():
            self.advance(release)
        has_advanced = self.has_advanced
        self.has_advanced = False
        for node_name in self.drain_order() if has_advanced or not name else [name]:
            if node_name in self.nodes:
                self.queue_drain(self.nodes[node_name])
        if self.has_advanced:  # the node of a withdrawn permit had counted as unavailable
            self.advance_all()

    def advance(self, release: Release) -> None:
        """Moves a release to its next state if its nodes have reached the wanted version."""
        if release.slot == BUDGETS or release.state not in (DRAINING, MOVING, ROLLING_BACK):
            return
        missing = self.missing_nodes(release)
        if release.state == ROLLING_BACK:
            if not missing:
                event = f"all are back on {release.replaces}"
                self.store_release(release._replace(state=ABANDONED), event)
            return
        if not missing:
            self.store_release(release._replace(state=SOAKING), f"wave {release.wave + 1} soaks")
        elif release.state == DRAINING and self.has_moved(release):
            self.store_release(release._replace(state=MOVING))

    def has_moved(self, release: Release) -> bool:
        """Tells whether any node of the current wave may be running the release's version."""
        nodes = (self.nodes.get(name) for name in release.waves[release.wave])
        return any(
            node is not None and node.may_be_running(release.slot, release.version)
            for node in nodes
        )

    def queue_drain(self, node: NodeStatus) -> None:
        """Queues a node's drain while its next step needs one, and withdraws it otherwise.

        A release permit that is not in use is withdrawn once the node has no next step.
        """
        fleet = self.fleet
        name = node.name
        slot, version = self.next_step(node)
        needs_drain = self._needs_drain(node, Step(slot, version), fleet.members.get(name))
        queued = next((request for request in fleet.queue if request.name == name), None)
        permit = fleet.permits.get(name)
        if needs_drain and queued is None and permit is None:
            fleet.enqueue_drain(name, f"{slot} {version}", RELEASE_REQUESTER)
        elif not needs_drain and queued is not None and queued.requested_by == RELEASE_REQUESTER:
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
