"""The baseline that servers without a mechanism have: first come first served by as many places as cores, a
short bounded queue, no classes, no estimates. It keeps the four rules, which the chain around it keeps.
"""

from pumicenotch.control import AdmissionController, Request


class Plain(AdmissionController):
    PLACES_A_CORE, HELD_A_CORE = 1, 2

    def queue(self, task: Request, now: float) -> None:
        task.key = task.arrived
        waiting = sum(len(queue) for lanes in self.lanes() for queue in lanes.values())
        if waiting >= self.HELD_A_CORE * self.limit.cores:
            self.reject(task, now)
        else:
            self.queues.put(task)
            self.timers.schedule(task.due, self.too_late, task)

    def start(self, now: float) -> None:
        while self.limit.on_cores < self.PLACES_A_CORE * self.limit.cores and self.queues.waiting:
            task = min(queue[0] for lanes in self.lanes() for queue in lanes.values())
            if not self.limit.takes(task, self.repeats.kb):
                return
            self.go(task, now)

    def lanes(self) -> list[dict[int, list[Request]]]:
        """The queues by lane of each tenant that has tasks waiting."""
        return [self.queues.lines[tenant].lanes for tenant in self.queues.held()]


if __name__ == "__main__":
    from pumicenotch.__main__ import main

    main(Plain)
