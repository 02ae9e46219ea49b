"""Who may drain: the queue of drains, the permits given, and what the budgets allow.

A member is unavailable if it holds a permit, drains, has stopped, or has failed. A permit ends only
when its member is back in service as a new process, when its holder returns it, or when an operator
revokes it with a reason.
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

MAX_EVENTS = 500  # some days of an ordinary fleet, some 50 KB
MAX_ANSWERS = 1000  # to operators' requests, so that a retry changes nothing


class DrainScheduler:
    """Members, budgets, permits and halts, and what follows from them."""

    def __init__(self) -> None:
        self.log_index = 0  # of the entry applied last
        self.voters: tuple[str, ...] = ()
        self.members: dict[str, Member] = {}
        self.budgets: tuple[Budget, ...] = ()
        self.queue: list[QueuedDrain] = []
        self.permits: dict[str, DrainPermit] = {}
        self.wait_reasons: dict[str, str] = {}  # by member in the queue, as of the last entry
        self.halts: dict[str, FleetHalt] = {}  # by request id
        self.answers: dict[str, RecordedAnswer] = {}  # by request id
        self.history: list[Event] = []
        self.releases = Releases(self)
        # Counting 1,000 members takes milliseconds, and hundreds of entries may come in a second.
        self.cached_counts: CachedCounts | None = None

    # For operators

    def record_event(self, text: str) -> None:
        """Adds a line to the fleet's event history."""
        self.history.append(Event(self.log_index, text))
        del self.history[:-MAX_EVENTS]

    def record_answer(self, request_id: str, result: ApplyResult) -> ApplyResult:
        """Remembers the answer to an operator's request, and returns it."""
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

    # Who is unavailable

    def is_unavailable(self, member: Member) -> bool:
        """Tells whether the member counts as unavailable."""
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
        """Counts the unavailable members of all groups anew."""
        members = self.members.values()
        return OutageCounts(self.budgets, ((each, self.is_unavailable(each)) for each in members))

    def violations(self) -> list[str]:
        """Returns how groups exceed their budgets."""
        groups = self.outage_counts().groups.values()
        return [violation for group in groups if (violation := group.violation())]

    def violation_with(self, member: Member, permit: DrainPermit) -> str:
        """Returns which budget would be exceeded if this permit's holder started its drain now.

        Counted are the unavailable members, and of those whose permits are not in use only the ones
        with an earlier permit: if all counted, all would wait for each other for ever.
        """
        counts = self._current_counts()
        if not any(group.violation() for group in counts.groups_of(member)):
            return ""
        members = self.members.values()
        earlier = OutageCounts(
            self.budgets, ((each, self._is_unavailable_before(each, permit)) for each in members)
        )
        groups = earlier.groups_of(member)
        return next((violation for group in groups if (violation := group.violation())), "")

    def _is_unavailable_before(self, member: Member, permit: DrainPermit) -> bool:
        other = self.permits.get(member.name)
        if other is None or other.started or member.status != SERVING or member.failure:
            return self.is_unavailable(member)
        return (other.epoch, other.name) <= (permit.epoch, permit.name)

    def _current_counts(self) -> OutageCounts:
        return self.cached_counts.outages if self.cached_counts else self.outage_counts()

    def invalidate_counts(self) -> None:
        """Notes that other members are unavailable than before."""
        self.cached_counts = None

    # The queue

    def enqueue_drain(self, name: str, reason: str, requested_by: str) -> None:
        """Queues a drain of that member."""
        self.queue.append(QueuedDrain(name, self.log_index, reason, requested_by))

    def dequeue_drain(self, request: QueuedDrain) -> None:
        """Removes a drain from the queue."""
        self.queue.remove(request)

    def dequeue_member(self, name: str) -> None:
        """Removes the drains of that member from the queue."""
        self.queue = [request for request in self.queue if request.name != name]

    def grant_permits(self) -> None:
        """Gives every permit that fits, in the order of the requests.

        A request that does not fit blocks later ones in its groups, and no others: so no drain
        waits for ever behind one of another group, nor is it overtaken within its own.
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
        first_waiting: dict[int, str] = {}  # by the group's identity: who waits there first
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
        others = unavailable_voters - was_unavailable
        if not member.voter or others < self.max_unavailable_voters():
            return ""
        return f"{unavailable_voters} of {len(self.voters)} voters are out: a majority must stay"

    def give_permit(self, member: Member, kind: str, reason: str) -> None:
        """Gives the member a permit whose epoch is the current log index."""
        # A member without a process is drained by whoever asked, on seeing the permit.
        started = not member.process_id
        epoch = self.log_index
        self.permits[member.name] = DrainPermit(
            member.name, member.process_id, epoch, kind, reason, started
        )
        if started:
            self.members[member.name] = member._replace(status=DRAINING)
        self.record_event(f"permit for {member.name} (epoch {epoch}): {reason}")

    def end_permit(self, name: str, reason: str) -> None:
        """Ends that member's permit."""
        permit = self.permits.pop(name)
        self.record_event(f"permit of {name} (epoch {permit.epoch}) ends: {reason}")


def _group_refusal(
    member: Member,
    was_unavailable: bool,
    groups: Iterable[GroupOutages],
    first_waiting: dict[int, str],
) -> str:
    """Returns why the member's groups do not let it drain; "" if they do.

    One that is thought to be unavailable is counted already, but may serve in truth: so it may go
    only where its groups are within their budgets with it.
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
