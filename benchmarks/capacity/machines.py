"""The machines that are set aside for control: where each role runs, what it spends there, what its loss
costs.
"""

from typing import NamedTuple

from benchmarks.capacity import assumptions
from benchmarks.capacity.markdown import amount, table
from benchmarks.capacity.rows import Row, find, worst


class Placement(NamedTuple):
    """Machines of one kind: what `roles` measure together stands for one of them."""

    name: str
    machines: int
    where: str
    roles: tuple[str, ...]
    loss: str


PLACEMENTS = (
    Placement(
        "voter, one of them leads",
        5,
        "one in each of regions 1 to 5",
        ("voter.leader", "distribution.voter"),
        "one: a spare takes its vote, under its name and address; the leader: 1.1 s (p50), 1.7 s (p99)"
        " without one (docs/fleet.md, `python -m benchmarks.fleet --only leaderless`);"
        " two at once: nothing else; three: no majority, all serve, nothing is agreed until one is back",
    ),
    Placement(
        "spare voter",
        2,
        "regions 6 and 7",
        ("voter.follower", "distribution.voter"),
        "nothing until a voter is lost as well",
    ),
    Placement(
        "operators' commands and the lab of releases",
        1,
        "region 1",
        ("agent",),
        "commands run from any other machine",
    ),
    Placement(
        "free for what is missing",
        2,
        "regions 2 and 3",
        (),
        "nothing: kept for the mechanisms named below",
    ),
)
assert sum(each.machines for each in PLACEMENTS) == assumptions.CONTROL_MACHINES.value


def machines_table(found: list[Row]) -> str:
    lines = []
    for each in PLACEMENTS:
        lines.append(
            [each.name, str(each.machines), each.where, *spent(found, each.roles), each.loss]
        )
    head = "role | machines | placed | processor | sent and received | its loss costs"
    return table(head, lines)


def spent(found: list[Row], roles: tuple[str, ...]) -> list[str]:
    """Processor, and what is sent and received, of the roles together."""
    processor = [row.value for role in roles if (row := worst(found, role, "processor"))]
    traffic = [row.value for role in roles if (row := worst(found, role, "traffic"))]
    return [
        amount(sum(processor), "s/s") if processor else "none",
        amount(sum(traffic), "bytes/s") if traffic else "none",
    ]


class Trial(NamedTuple):
    """A figure from before the slopes, and the row that confirms or corrects it."""

    told: str
    value: float
    role: str
    by: str
    measure: str
    size: float


DECISIONS, MAP = "server.decisions.before", "server.configuration"
KNOWN, STEP = "tenants_known", "longest_step"
TRIALS = (
    Trial(
        "an `AdmissionController` with 54,000 tenants holds 25 MB",
        25e6,
        DECISIONS,
        KNOWN,
        "state",
        54_000,
    ),
    Trial("its `tick` takes up to 200 ms", 200.0, DECISIONS, KNOWN, STEP, 54_000),
    Trial("with 3,000: 17 ms", 17.0, DECISIONS, KNOWN, STEP, 3000),
    Trial("with 300: 1.3 ms", 1.3, DECISIONS, KNOWN, STEP, 300),
    Trial("it takes a fifth of a core", 0.2, DECISIONS, KNOWN, "processor", 54_000),
    Trial("a cell map of 54,000 tenants, 2,500 nodes: 3.5 MB", 3.5e6, MAP, KNOWN, "text", 54_000),
    Trial("it takes 0.49 s to load", 490.0, MAP, KNOWN, STEP, 54_000),
    Trial("1,600 whole ones a day: 66 KB/s", 66e3, MAP, "changes_per_day", "received", 1600),
    Trial("the leader sends 22 KB/s at 100 members", 22e3, "voter.leader", "servers", "sent", 95),
    Trial(
        "a step of membership: up to 4 ms at 2,500", 4.0, "server.membership", "servers", STEP, 2500
    ),
)
ALIKE = 0.25  # of the trial's value: confirmed


def trials_table(found: list[Row]) -> str:
    lines = []
    for each in TRIALS:
        row = find(found, each.role, each.by, each.measure)
        if row is None:
            lines.append([each.told, "not measured", "-", "-"])
            continue
        measured = each.size in row.sizes
        value = row.values[row.sizes.index(each.size)] if measured else row.fit.at(each.size)
        off = value / each.value - 1.0
        verdict = (
            "confirmed" if abs(off) <= ALIKE else f"corrected: {value / each.value:.2g} times that"
        )
        lines.append(
            [each.told, amount(value, row.unit), "measured" if measured else "by the fit", verdict]
        )
    return table("trial before | here | basis | verdict", lines)
