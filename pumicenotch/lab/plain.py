"""The baseline that servers without a mechanism have: first come first served by as many places as cores, a
short bounded queue, no classes, no estimates. It keeps the four rules, which the chain around it keeps.
"""

from pumicenotch.control import AdmissionController, Request


class Plain(AdmissionController):
    """Starts requests in the sequence of their arrival."""

    RUNS_PER_CORE = 1
    MAX_QUEUED_PER_CORE = 2

    def enqueue(self, request: Request, now: float) -> None:
        """Queue the request behind all others, unless the queue is full."""
        request.sort_key = request.arrived_at
        queued = sum(map(len, self.queues()))
        if queued >= self.MAX_QUEUED_PER_CORE * self.limit.cores:
            self.reject(request, now)
        else:
            self.scheduler.enqueue(request)
            timer = self.timers.schedule(request.deadline, self.on_objective_missed, request)
            request.timers.append(timer)

    def start_runs(self, now: float) -> None:
        """Start the first of all queued requests while there is a slot."""
        max_runs = self.RUNS_PER_CORE * self.limit.cores
        while self.limit.on_cores < max_runs and self.scheduler.waiting:
            request = min(queue[0] for queue in self.queues())
            if not self.limit.reserve_run_memory(request, self.keys.memory_kb):
                return
            self.start_run(request, now)

    def queues(self) -> list[list[Request]]:
        """Return every queue that has requests, of all tenants and pools."""
        tenants = [self.scheduler.queues[index] for index in self.scheduler.waiting_tenants()]
        return [queue for tenant in tenants for queue in tenant.by_pool.values()]


if __name__ == "__main__":
    from pumicenotch.__main__ import main

    main(Plain)
