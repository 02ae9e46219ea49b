"""One server under load to look at: what it is asked for and answers, a line a second."""

import signal
from collections import Counter
from pathlib import Path

from pumicenotch.lab.experiment_file import Experiment
from pumicenotch.lab.loopback import Loopback, run
from pumicenotch.lab.measure import in_time
from pumicenotch.lab.server_process import Launch


class Lines:
    """What has come since the line before."""

    def __init__(self, told: Experiment) -> None:
        self.told, self.ends, self.asked, self.second = told, 0, 0, 0
        names = " ".join(f"{stage.name:>14}" for stage in told.stage)
        print(
            f"{'s':>4} {'asked':>6} {names} {'rejected':>9} {'p50 ms':>7} {'on cores':>9}  (in time of ended)"
        )

    def __call__(self, carrier: Loopback) -> None:
        self.second += 1
        ledger = carrier.ledger
        ends, self.ends = ledger.ends[self.ends :], len(ledger.ends)
        asked, self.asked = len(ledger.asked) - self.asked, len(ledger.asked)
        good, whole = Counter[int](), Counter[int]()
        for end in ends:
            whole[end.task.stage] += 1
            good[end.task.stage] += in_time(self.told, end)
        parts = " ".join(
            f"{f'{good[at]} of {whole[at]}':>14}" for at in range(len(self.told.stage))
        )
        rejected = sum(end.kind == "rejected" for end in ends)
        times = sorted(end.at - end.task.at for end in ends if end.kind == "served")
        middle = f"{times[len(times) // 2]:.0f}" if times else "-"
        on = sum(node.work.cores.wanting() for node in carrier.nodes)
        print(f"{self.second:>4} {asked:>6} {parts} {rejected:>9} {middle:>7} {on:>9}", flush=True)


def watch(told: Experiment, path: Path) -> int:
    """Until its end or Ctrl-C; the servers are drained either way. 1 where a rule was broken."""
    arm = told.arm[0]
    launch = Launch(config=str(path.parent / arm.pools) if arm.pools else "")
    lines = Lines(told)
    carriers: list[Loopback] = []

    def progress(carrier: Loopback) -> None:
        if not carriers:
            carriers.append(carrier)
            for number in (signal.SIGINT, signal.SIGTERM):
                carrier.loop.add_signal_handler(number, setattr, carrier, "stopped", True)
        lines(carrier)

    ended = run(told, told.seed, launch, progress=progress)
    rules = ended.ledger.rules()
    print("drained; rules broken: " + ", ".join(f"{rule} {times}" for rule, times in rules.items()))
    return 1 if any(rules.values()) else 0
