"""The baseline that servers without a mechanism have: first come first served by as many places as cores, a
short bounded queue, no classes, no estimates. It keeps the four rules, which the chain around it keeps."""

from bisect import insort

from pumicenotch.control import Control, Task


class Plain(Control):
    PLACES_A_CORE, HELD_A_CORE = 1, 2

    def queue(self, task: Task, now: float) -> None:
        task.key = task.arrived
        waiting = sum(line.queued for line in self.queues.lines)
        if waiting >= self.HELD_A_CORE * self.limit.cores:
            self.reject(task, now)
        else:
            self.queues.put(task)
            self.agenda.at(task.due, self.too_late, task)

    def start(self, now: float) -> None:
        while self.limit.on_cores < self.PLACES_A_CORE * self.limit.cores and self.queues.waiting:
            held: list[Task] = []
            for line in self.queues.lines:
                for lane in line.lanes:
                    if lane:
                        insort(held, lane[0])
            task = held[0]
            if not self.limit.takes(task, self.repeats.kb):
                return
            self.go(task, now)


if __name__ == "__main__":
    from pumicenotch.__main__ import main

    main(Plain)
