"""An independent judge of the four rules: it knows only what crossed the wire, and no server's counters."""

from collections import Counter

from pumicenotch.lab.attempt import Attempt
from pumicenotch.lab.cores import result
from pumicenotch.lab.world import Arrival, World

SLACK_MS = 130.0  # the settings' 80 ms and the 50 ms that sockets may take
# Written so shortly before its connection ended a request crosses the end, and is sent again.
CROSSING_MS = 130.0


class End:
    """How a client's task ended."""

    __slots__ = ("at", "kind", "task", "tries")

    def __init__(self, task: Arrival, kind: str, at: float, tries: int) -> None:
        self.task, self.kind, self.at, self.tries = task, kind, at, tries


class Ledger:
    def __init__(self, world: World, grace_ms: float = 2000.0) -> None:
        self.fleet = (
            world.routers > 0
        )  # one run of a fingerprint in the whole fleet, not one on each server
        self.world, self.grace_ms = world, grace_ms
        self.asked: list[Arrival] = []
        self.ends: list[End] = []
        self.tries: dict[str, Attempt] = {}
        self.answers: Counter[str] = Counter()
        self.open: dict[str, Attempt] = {}
        # server and token of a fingerprinted run -> when it began
        self.ran: dict[tuple[int, str], float] = {}
        self.spawned: set[str] = set()
        self.leaving: dict[int, float] = {}
        self.broken: list[tuple[str, float, str]] = []  # rule, when, what
        self.sent = self.repeats = 0

    def breaks(self, rule: str, now: float, what: str) -> None:
        self.broken.append((rule, now, what))

    def wanted(self, task: Arrival) -> None:
        self.asked.append(task)

    def written(self, now: float, sent: Attempt) -> None:
        self.sent += 1
        self.repeats += sent.number > 1
        self.tries[sent.rid] = self.open[sent.rid] = sent

    def cancelled(self, now: float, sent: Attempt) -> None:
        self.overdue(now, sent)
        self.open.pop(sent.rid, None)

    def overdue(self, now: float, sent: Attempt) -> None:
        """Its time limit counts from when it reached the machine; a client may give up long before."""
        limit = sent.sent + self.world.stage[sent.task.stage].limit_ms + SLACK_MS
        if now > limit:
            self.breaks(
                "lost",
                now,
                f"{sent.rid} was answered {now - limit:.0f} ms past its limit, or not at all",
            )

    def answered(self, now: float, sent: Attempt, kind: str, body: bytes) -> None:
        if kind == "refused":  # it was never written
            self.open.pop(sent.rid, None)
            return
        if kind == "lost":
            crosses = sent.server in self.leaving and now - sent.sent <= CROSSING_MS
            if self.open.pop(sent.rid, None) is not None and not crosses:
                self.breaks("lost", now, f"{sent.rid}: the connection ended without an answer")
            return
        self.answers[sent.rid] += 1
        if self.answers[sent.rid] > 1:
            self.breaks("doubled", now, f"{sent.rid} was answered {self.answers[sent.rid]} times")
        if self.open.pop(sent.rid, None) is not None:
            self.overdue(now, sent)
        stage = self.world.stage[sent.task.stage]
        if kind == "served" and body != result(stage.name, sent.task.body):
            self.breaks("lost", now, f"{sent.rid} was answered with what no run of it made")
        if kind == "rejected":
            began = (
                self.ran.get((sent.server, sent.task.token)) if sent.task.token else None
            )  # by a router: not known
            if sent.rid in self.spawned:
                self.breaks("doubled", now, f"{sent.rid} has run and was rejected")
            elif began is not None and began < sent.sent and now < began + stage.window_ms:
                self.breaks(
                    "doubled", now, f"{sent.rid}: its task has run there and it was rejected"
                )

    def spawn(self, now: float, server: int, rid: str) -> Arrival | None:
        """A server has its pool run a try: the task, if there is one of that name."""
        sent = self.tries.get(rid)
        if sent is None:
            self.breaks("doubled", now, f"{rid}: a run for no task that was sent")
            return None
        stage = self.world.stage[sent.task.stage]
        if rid in self.spawned and stage.effect != "restartable":
            return sent.task  # the same command once more, as on a new link: the pool does nothing
        self.spawned.add(rid)
        if sent.task.token:
            key = (-1 if self.fleet else server, sent.task.token)
            if key in self.ran and sent.sent < self.ran[key] + stage.window_ms:
                self.breaks(
                    "doubled", now, f"{rid}: a second run of one fingerprint within its window"
                )
            self.ran[key] = sent.sent
        told = self.leaving.get(server)
        if told is not None and sent.sent > told + self.grace_ms:
            self.breaks(
                "drain",
                now,
                f"{rid} arrived {sent.sent - told:.0f} ms after the notice and was run",
            )
        return sent.task

    def leave(self, now: float, server: int) -> None:
        self.leaving[server] = now

    def fell(self, now: float, server: int, why: str) -> None:
        self.breaks("fallen", now, f"server {server}: {why}")

    def ended(self, now: float, task: Arrival, kind: str, tries: int) -> None:
        self.ends.append(End(task, kind, now, tries))

    def close(self, now: float) -> None:
        """At the end of a run: what is still open although its limit is past was lost."""
        for sent in list(self.open.values()):
            self.overdue(now, sent)

    def rules(self) -> dict[str, int]:
        found = Counter(rule for rule, _, _ in self.broken)
        return {rule: found[rule] for rule in ("lost", "doubled", "drain", "fallen")}
