"""The tables of totals: a server's budget, the time added to a request, and load."""

from typing import NamedTuple

from benchmarks.capacity import assumptions
from benchmarks.capacity.markdown import amount, count, percent, table
from benchmarks.capacity.rows import Row, find, worst


class Part(NamedTuple):
    """Of a server; `by` is what grows in it, "" whatever comes to the most. `whole` and `changes` say with
    which way of configuration it is there.
    """

    role: str
    by: str = ""
    whole: bool = True
    changes: bool = True


SERVER_PARTS = (
    Part("server.decisions", "tenants_known"),
    Part("server.connections", "callers"),
    Part("server.membership"),
    Part("server.agreement"),
    Part("agent"),
    Part("server.configuration", changes=False),
    Part("distribution.replica", whole=False),
    Part("distribution.relay", whole=False),
)
MEASURES = ("processor", "traffic", "state", "longest_step")
UNITS = ("s/s", "bytes/s", "bytes", "ms")
BUDGETS = (assumptions.PROCESSOR, assumptions.TRAFFIC, assumptions.MEMORY, assumptions.STEP)


def server_total(found: list[Row]) -> str:
    """What a server spends on control, part by part, against its budget."""
    figures = {
        part: [worst(found, part.role, measure, part.by) for measure in MEASURES]
        for part in SERVER_PARTS
    }
    lines = [[part.role, *map(cell, own)] for part, own in figures.items()]
    whole = [own for part, own in figures.items() if part.whole]
    lines += sum_lines("configuration as whole files", whole)
    relay = [own for part, own in figures.items() if part.changes]
    lines += sum_lines("as changes, on a relay", relay)
    replica = [
        own for part, own in figures.items() if part.changes and part.role != "distribution.relay"
    ]
    lines += sum_lines("as changes, on any other", replica)
    lines.append(["budget", *(amount(each.value, each.unit) for each in BUDGETS)])
    return table("part | processor | sent and received | state | longest step", lines)


def sum_lines(name: str, some: list[list[Row | None]]) -> list[list[str]]:
    """The sums (of steps the longest) and their shares of the budgets."""
    columns = [
        [row.value for row in column if row is not None] for column in zip(*some, strict=True)
    ]
    totals = [*map(sum, columns[:-1]), max(columns[-1], default=0.0)]
    shares = [each / budget.value for each, budget in zip(totals, BUDGETS, strict=True)]
    return [
        [f"**{name}**", *(amount(each, unit) for each, unit in zip(totals, UNITS, strict=True))],
        ["share of the budget", *map(percent, shares)],
    ]


def cell(row: Row | None) -> str:
    if row is None:
        return "-"
    return f"{amount(row.value, row.unit)} ({row.by})"


STEPS: tuple[tuple[str, str, str, float], ...] = (  # role, by, what, how often a second
    ("server.decisions", "tenants_known", "the sample of the tenants", 1.0),
    ("server.connections", "callers", "the look for idle connections", 4.0),
    ("server.membership", "servers", "a probe with an exchange of everything", 1.0 / 15.0),
    (
        "server.configuration",
        "tenants_known",
        "a whole cell map read",
        assumptions.CHANGES.value / 86_400.0,
    ),
    ("distribution.replica", "records_per_publication", "a slice of a publication of 54,000", 1.0),
    ("distribution.relay", "children", "its longest, taken as one a second", 1.0),
)


SLOWEST_PART = 0.01  # of requests, that the bound leaves out


def added_table(found: list[Row]) -> str:
    """Where the time that is added to a request goes: steps that hold the loop while it waits."""
    lines = []
    sums = {"whole": 0.0, "changes": 0.0}
    for role, by, what, rate in STEPS:
        row = find(found, role, by, "longest_step")
        if row is None:
            lines.append([role, what, "not measured", "-", "-", "-"])
            continue
        met = min(1.0, row.value / 1000.0 * rate)
        lines.append(
            [role, what, amount(row.value, "ms"), f"{rate:.3g}/s", percent(met), rank(met)]
        )
        sums["whole"] += met if not role.startswith("distribution.") else 0.0
        sums["changes"] += met if role != "server.configuration" else 0.0
    for name, title in (
        ("whole", "configuration as whole files"),
        ("changes", "as changes, on a relay"),
    ):
        lines.append([f"**{title}**", "any of them", "", "", percent(sums[name]), rank(sums[name])])
    return table("part | step | longest | how often | requests that meet it | which", lines)


def rank(met: float) -> str:
    return "in the slowest of 100" if met >= SLOWEST_PART else "beyond 99 in 100"


def load_table(found: list[Row]) -> str:
    """Requests and connections a server, and what bounds them."""
    mean = assumptions.REQUESTS.value / assumptions.SERVERS.value
    lines = [["requests a server, mean", f"{mean:.0f}/s", "320,000 requests/s over 2,500 servers"]]
    busiest = mean * assumptions.UNEVEN.value
    lines.append(["requests a server, busiest", f"{busiest:.0f}/s", "assumed uneven, below"])
    for role, what in (
        ("server.connections", "the whole core"),
        ("server.decisions", "the decisions alone"),
    ):
        row = find(found, role, "requests_per_s", "processor")
        if row is not None:
            each = row.value / row.target
            lines.append(
                [
                    f"requests that {what} bears in one process",
                    f"{1.0 / each:,.0f}/s",
                    f"{1e6 * each:.0f} us a request at {row.target:.0f}/s; sockets not in it; "
                    + row.command,
                ]
            )
    row = find(found, "server.connections", "callers", "state")
    lines.append(
        [
            "connections of callers a server",
            count(assumptions.CALLERS_AT_SERVER.value),
            "assumed, below",
        ]
    )
    lines.append(
        [
            "bound by descriptors",
            count(assumptions.SOCKETS.value / 2.0),
            "half of them go to callers",
        ]
    )
    if row is not None:
        each = row.fit.slope
        lines.append(
            [
                "bound by memory",
                count(assumptions.MEMORY.value / each),
                f"{each:.0f} bytes of state each; buffers of sockets not in it; {row.command}",
            ]
        )
    step = find(found, "server.connections", "callers", "longest_step")
    if step is not None:
        lines.append(
            [
                "bound by a step of 1 ms",
                reached(step, assumptions.STEP.value),
                f"the look for idle ones; fit: {step.fit.name}; {step.command}",
            ]
        )
    return table("what | figure | from", lines)


def reached(row: Row, value: float) -> str:
    """The size between whose measured neighbours the value is reached."""
    before = 0.0
    for size, each in zip(row.sizes, row.values, strict=True):
        if each > value:
            return f"between {count(before)} and {count(size)}"
        before = size
    return f"beyond {count(before)}, the largest measured"
