"""The drain scheduler: which queued drains get permits within the disruption budgets.

A member is unavailable if it holds a permit, drains, has stopped, has failed, or if its agent
reports its server as down. A permit ends only when its member is back in service as a new process,
when its holder returns the permit, or when an operator withdraws or revokes it with a reason.
"""

from collections.abc import Iterable

from pumicenotch.fleet.drains.budgets import (
    DRAINING,
    SERVING,
    Budget,
    GroupOutages,
    Member,
    OutageCounts,
)
from pumicenotch.fleet.releases.release import RELEASE_REQUESTER
from pumicenotch.fleet.releases.releases import Releases
from pumicenotch.fleet.replicated.records import (
    DRAIN_PERMIT,
    RELEASE_PERMIT,
    ApplyResult,
    CachedCounts,
    DrainPermit,
    Event,
    FleetHalt,
    QueuedDrain,
    RecordedAnswer,
)

MAX_EVENTS = 500  # length of the event history: several days of a typical fleet, about 50 KB
MAX_ANSWERS = 1000  # recorded answers to operators' requests, so that a retry changes nothing


class DrainScheduler:
    """Owns the members, budgets, permits and halts, and grants permits to queued drains."""

    def __init__(self) -> None:
        self.log_index = 0  # log index of the last applied entry
        self.voters: tuple[str, ...] = ()
        self.members: dict[str, Member] = {}
        self.budgets: tuple[Budget, ...] = ()
        self.queue: list[QueuedDrain] = []
        self.permits: dict[str, DrainPermit] = {}
        self.wait_reasons: dict[str, str] = {}  # by name of queued member, as of the last entry
        self.halts: dict[str, FleetHalt] = {}  # by request id
        self.answers: dict[str, RecordedAnswer] = {}  # by request id
        self.history: list[Event] = []
        self.releases = Releases(self)
        # Cached because counting 1,000 members takes milliseconds, and hundreds of entries may be
        # applied per second.
        self.cached_counts: CachedCounts | None = None

    # Events and answers for operators

    def record_event(self, text: str) -> None:
        """Adds a line to the fleet's event history."""
        self.history.append(Event(self.log_index, text))
        del self.history[:-MAX_EVENTS]

    def record_answer(self, request_id: str, result: ApplyResult) -> ApplyResult:
        """Records the answer to an operator's request for its retries, and returns the answer."""
        self.answers[request_id] = RecordedAnswer(result.ok, result.text)
        if len(self.answers) > MAX_ANSWERS:
            del self.answers[next(iter(self.answers))]
        return result

    def halt_reason(self) -> str:
        """Returns why the whole fleet is halted; "" if it is not."""
        if not self.halts:
            return ""
        halts = (f"by {operator}: {reason}" for operator, reason in self.halts.values())
        return "halted: " + "; ".join(halts)

    # Unavailable members

    def is_unavailable(self, member: Member) -> bool:
        """Returns whether the member counts as unavailable."""
        return (
            member.status != SERVING
            or bool(member.failure)
            or member.name in self.permits
            or self.releases.is_server_down(member.name)
        )

    def unavailable_voters(self) -> int:
        """Returns how many voters are unavailable."""
        return sum(member.voter and self.is_unavailable(member) for member in self.members.values())

    def max_unavailable_voters(self) -> int:
        """Returns how many voters may be unavailable while a majority remains."""
        return max(0, (len(self.voters) - 1) // 2)

    def outage_counts(self) -> OutageCounts:
        """Returns the outage counts of all groups, counted without the cache."""
        members = self.members.values()
        return OutageCounts(
            self.budgets, ((member, self.is_unavailable(member)) for member in members)
        )

    def violations(self) -> list[str]:
        """Returns how groups exceed their budgets, one text per group."""
        groups = self.outage_counts().groups.values()
        return [violation for group in groups if (violation := group.violation())]

    def violation_with(self, member: Member, permit: DrainPermit) -> str:
        """Returns which budget would be exceeded if this permit's holder drained now; "" if none.

        Members whose permits are not in use count as unavailable only if their permits are
        earlier. If all of them counted, they could all wait for each other forever.
        """
        counts = self._current_counts()
        if not any(group.violation() for group in counts.groups_of(member)):
            return ""
        members = self.members.values()
        earlier = OutageCounts(
            self.budgets, ((other, self._is_unavailable_before(other, permit)) for other in members)
        )
        groups = earlier.groups_of(member)
        return next((violation for group in groups if (violation := group.violation())), "")

    def _is_unavailable_before(self, member: Member, permit: DrainPermit) -> bool:
        other_permit = self.permits.get(member.name)
        if (
            other_permit is None
            or other_permit.started
            or member.status != SERVING
            or member.failure
        ):
            return self.is_unavailable(member)
        return (other_permit.epoch, other_permit.name) <= (permit.epoch, permit.name)

    def _current_counts(self) -> OutageCounts:
        return self.cached_counts.outages if self.cached_counts else self.outage_counts()

    def invalidate_counts(self) -> None:
        """Discards the cached outage counts, after a change of which members are unavailable."""
        self.cached_counts = None

    # Queue and permits

    def enqueue_drain(self, name: str, reason: str, requested_by: str) -> None:
        """Queues a drain of the named member."""
        self.queue.append(QueuedDrain(name, self.log_index, reason, requested_by))

    def dequeue_drain(self, request: QueuedDrain) -> None:
        """Removes a drain from the queue."""
        self.queue.remove(request)

    def dequeue_member(self, name: str) -> None:
        """Removes the drains of the named member from the queue."""
        self.queue = [request for request in self.queue if request.name != name]

    def grant_permits(self) -> None:
        """Grants every permit that fits the budgets, in the order of the requests.

        A request that does not fit blocks later requests in its groups, and no other requests. No
        drain waits behind one of an unrelated group, and none is starved by later requests of its
        own groups.
        """
        self.wait_reasons.clear()
        if not self.queue:
            return
        if self.halts:
            names = (request.name for request in self.queue)
            self.wait_reasons = dict.fromkeys(names, self.halt_reason())
            return
        counts = self.cached_counts or CachedCounts(self.outage_counts(), self.unavailable_voters())
        outages, unavailable_voters = counts
        first_waiting: dict[int, str] = {}  # name of the first waiting member, by id() of the group
        waiting: list[QueuedDrain] = []
        for request in self.queue:
            member = self.members[request.name]
            groups = outages.groups_of(member)
            was_unavailable = self.is_unavailable(member)
            reason = self._voter_refusal(member, was_unavailable, unavailable_voters)
            reason = reason or _group_refusal(member, was_unavailable, groups, first_waiting)
            if reason:
                waiting.append(request)
                self.wait_reasons[request.name] = reason
                for group in groups:
                    first_waiting.setdefault(id(group), request.name)
                continue
            kind = RELEASE_PERMIT if request.requested_by == RELEASE_REQUESTER else DRAIN_PERMIT
            self.give_permit(member, kind, request.reason)
            if not was_unavailable:
                unavailable_voters += member.voter
                for group in groups:
                    group.add_unavailable(member)
        self.queue = waiting
        self.cached_counts = CachedCounts(outages, unavailable_voters)

    def _voter_refusal(self, member: Member, was_unavailable: bool, unavailable_voters: int) -> str:
        other_unavailable_voters = unavailable_voters - was_unavailable
        if not member.voter or other_unavailable_voters < self.max_unavailable_voters():
            return ""
        return f"{unavailable_voters} of {len(self.voters)} voters are out: a majority must stay"

    def give_permit(self, member: Member, kind: str, reason: str) -> None:
        """Gives the member a permit whose epoch is the current log index."""
        # A member without a process is drained by the requester as soon as there is a permit.
        started = not member.process_id
        epoch = self.log_index
        self.permits[member.name] = DrainPermit(
            member.name, member.process_id, epoch, kind, reason, started
        )
        if started:
            self.members[member.name] = member._replace(status=DRAINING)
        self.record_event(f"permit for {member.name} (epoch {epoch}): {reason}")

    def end_permit(self, name: str, reason: str) -> None:
        """Ends the permit of the named member."""
        permit = self.permits.pop(name)
        self.record_event(f"permit of {name} (epoch {permit.epoch}) ends: {reason}")


def _group_refusal(
    member: Member,
    was_unavailable: bool,
    groups: Iterable[GroupOutages],
    first_waiting: dict[int, str],
) -> str:
    """Returns why the budgets of the member's groups do not let it drain; "" if they do.

    A member found unavailable is already counted, but may in fact still serve. It may drain only
    if its groups, with the member counted, are within their budgets.
    """
    if was_unavailable:
        refusals = (group.violation() or group.conflict(member) for group in groups)
        return next(filter(None, refusals), "")
    for group in groups:
        if refusal := group.refusal(member):
            return refusal
    for group in groups:
        if id(group) in first_waiting:
            return f"{group.label()}: behind {first_waiting[id(group)]}"
    return ""
