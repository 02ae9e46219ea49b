"""docs/CAPACITY.md: its prose is written by hand, its tables are made from the slopes file, each between two
marks: `<!-- table: NAME -->` and `<!-- end -->`."""

import re
from collections.abc import Callable, Iterable
from pathlib import Path

from benchmarks.capacity import assumptions
from benchmarks.capacity.records import GROWS, Measurement
from benchmarks.capacity.rows import EVENTS, Row, rows, worst

TABLE = re.compile(r"<!-- table: ([a-z_]+) -->\n(.*?)<!-- end -->", re.DOTALL)
SERVER_ROLES = (
    "server.decisions",
    "server.connections",
    "server.membership",
    "server.agreement",
    "server.configuration",
    "agent",
)
MEASURES_OF_ROLE = (
    "state",
    "memory",
    "text",
    "sent",
    "received",
    "sent_messages",
    "received_messages",
    "processor",
    "longest_step",
    "start",
)
OVER = 1.0  # of a budget


class BadPage(ValueError):
    """A page with a table that nobody makes, or without a page."""


# Figures


def amount(value: float, unit: str) -> str:
    if unit in ("bytes", "bytes/s"):
        scale, name = (1024.0**2, "MB") if value >= 1024.0**2 else (1024.0, "KB")
        return f"{value / scale:.3g} {name}{unit.removeprefix('bytes')}"
    if unit in ("s/s", "of a core"):
        return f"{100.0 * value:.3g}% of a core"
    if unit == "ms":
        return f"{value / 1000.0:.3g} s" if value >= 10_000.0 else f"{value:.3g} ms"
    if value >= 1000.0:
        return f"{value:,.0f} {unit}"
    return f"{value:.3g} {unit}"


def count(value: float) -> str:
    return f"{value:,.0f}" if value >= 10 or value == int(value) else f"{value:.3g}"


def percent(part: float) -> str:
    return f"{100.0 * part:,.0f}%" if part >= 0.1 else f"{100.0 * part:.2g}%"


def signed(part: float) -> str:
    return f"{100.0 * part:+.0f}%"


def table(head: Iterable[str], lines: Iterable[Iterable[str]]) -> str:
    titles = list(head)
    made = [titles, ["---"] * len(titles), *map(list, lines)]
    return "".join(f"| {' | '.join(cells)} |\n" for cells in made)


# Tables


def role_table(role: str) -> Callable[[list[Row]], str]:
    def make(found: list[Row]) -> str:
        own = [row for row in found if row.role == role and row.by not in EVENTS]
        order = {measure: at for at, measure in enumerate(MEASURES_OF_ROLE)}
        own.sort(key=lambda row: (row.by, order.get(row.measure, len(order))))
        head = (
            "by",
            "at the size",
            "measure",
            "value",
            "basis",
            "fit",
            "residual",
            "tried",
            "budget",
            "share",
            "mechanism",
            "command",
        )
        return table(head, map(role_line, own)) if own else "not measured\n"

    return make


def role_line(row: Row) -> list[str]:
    made, trial, budget = row.fit, row.trial, row.budget
    return [
        row.by,
        count(row.target),
        row.measure,
        amount(row.value, row.unit),
        row.basis,
        made.name,
        percent(made.residual),
        signed(trial.error) if trial is not None else "not tried",
        amount(budget.value, budget.unit) if budget is not None else "none given",
        percent(row.share) if row.share is not None else "-",
        row.mechanism,
        row.command,
    ]


def assumption_table(some: Iterable[assumptions.Assumption]) -> Callable[[list[Row]], str]:
    def make(_: list[Row]) -> str:
        lines = ([each.name, amount(each.value, each.unit), each.why] for each in some)
        return table(("what", "figure", "why"), lines)

    return make


def grows_table(found: list[Row]) -> str:
    known = sorted({row.by for row in found}, key=list(GROWS).index)
    return table(("by", "what grows"), ([by, GROWS[by]] for by in known))


def server_total(found: list[Row]) -> str:
    """What a server spends on control, part by part, against its budget."""
    head = ("part", "processor", "sent and received", "state", "longest step")
    lines, sums = [], {"processor": 0.0, "traffic": 0.0, "state": 0.0, "longest_step": 0.0}
    for role in SERVER_ROLES:
        figures = {
            measure: worst(found, role, measure)
            for measure in ("processor", "sent", "received", "state", "longest_step")
        }
        value = {measure: row.value if row is not None else 0.0 for measure, row in figures.items()}
        traffic = value["sent"] + value["received"]
        told = figures["sent"] is not None or figures["received"] is not None
        lines.append(
            [
                role,
                cell(figures["processor"]),
                amount(traffic, "bytes/s") if told else "none",
                cell(figures["state"]),
                cell(figures["longest_step"]),
            ]
        )
        sums["processor"] += value["processor"]
        sums["traffic"] += traffic
        sums["state"] += value["state"]
        sums["longest_step"] = max(sums["longest_step"], value["longest_step"])
    budgets = (assumptions.PROCESSOR, assumptions.TRAFFIC, assumptions.MEMORY, assumptions.STEP)
    units = ("s/s", "bytes/s", "bytes", "ms")
    lines.append(["**all**", *(amount(each, unit) for each, unit in zip(sums.values(), units, strict=True))])
    lines.append(["budget", *(amount(each.value, each.unit) for each in budgets)])
    shares = [each / budget.value for each, budget in zip(sums.values(), budgets, strict=True)]
    lines.append(["share", *map(percent, shares)])
    return table(head, lines)


def find(found: list[Row], role: str, by: str, measure: str) -> Row | None:
    return find(found, role, by, measure)


def cell(row: Row | None) -> str:
    if row is None:
        return "not measured"
    return f"{amount(row.value, row.unit)} ({row.by})"


STEPS: tuple[tuple[str, str, str, float], ...] = (  # role, by, what, how often a second
    ("server.decisions", "tenants_known", "the sample over all known tenants", 1.0),
    ("server.connections", "callers", "the look for idle connections", 4.0),
    ("server.membership", "servers", "a probe with an exchange of everything", 1.0 / 15.0),
    ("server.configuration", "tenants_known", "a whole cell map read", assumptions.CHANGES.value / 86_400.0),
)


def added_table(found: list[Row]) -> str:
    """Where the time that is added to a request goes: steps that hold the loop while it waits."""
    lines = []
    for role, by, what, rate in STEPS:
        row = find(found, role, by, "longest_step")
        if row is None:
            lines.append([role, what, "not measured", "-", "-", "-"])
            continue
        met = min(1.0, row.value / 1000.0 * rate)
        lines.append(
            [
                role,
                what,
                amount(row.value, "ms"),
                f"{rate:.3g}/s",
                percent(met),
                "in the slowest of 100" if met >= 0.01 else "beyond 99 in 100",
            ]
        )
    return table(("part", "step", "longest", "how often", "requests that meet it", "which"), lines)


def load_table(found: list[Row]) -> str:
    """Requests and connections a server, and what bounds them."""
    mean = assumptions.REQUESTS.value / assumptions.SERVERS.value
    lines = [["requests a server, mean", f"{mean:.0f}/s", "320,000 requests/s over 2,500 servers"]]
    busiest = mean * assumptions.UNEVEN.value
    lines.append(["requests a server, busiest", f"{busiest:.0f}/s", "assumed uneven, below"])
    for role, what in (("server.connections", "the whole core"), ("server.decisions", "the decisions alone")):
        row = find(found, role, "requests_per_s", "processor")
        if row is not None:
            each = row.value / row.target
            lines.append(
                [
                    f"requests that {what} bears in one process",
                    f"{1.0 / each:,.0f}/s",
                    f"{1e6 * each:.0f} us a request at {row.target:.0f}/s; sockets not in it; " + row.command,
                ]
            )
    row = find(found, "server.connections", "callers", "state")
    lines.append(
        ["connections of callers a server", count(assumptions.CALLERS_AT_SERVER.value), "assumed, below"]
    )
    lines.append(
        ["bound by descriptors", count(assumptions.SOCKETS.value / 2.0), "half of them go to callers"]
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
    return table(("what", "figure", "from"), lines)


def reached(row: Row, value: float) -> str:
    """The size between whose measured neighbours the value is reached."""
    before = 0.0
    for size, each in zip(row.sizes, row.values, strict=True):
        if each > value:
            return f"between {count(before)} and {count(size)}"
        before = size
    return f"beyond {count(before)}, the largest measured"


def event_table(found: list[Row]) -> str:
    lines = []
    for row in sorted(
        (row for row in found if row.by in EVENTS), key=lambda row: (row.by, row.role, row.measure)
    ):
        made, trial = row.fit, row.trial
        lines.append(
            [
                row.by,
                row.role,
                row.measure,
                f"{amount(row.values[-1], row.unit)} at {count(row.sizes[-1])}",
                amount(row.value, row.unit),
                row.basis,
                made.name,
                percent(made.residual),
                signed(trial.error) if trial is not None else "not tried",
                row.command,
            ]
        )
    head = (
        "event",
        "role",
        "measure",
        "largest measured",
        "at the size",
        "basis",
        "fit",
        "residual",
        "tried",
        "command",
    )
    return table(head, lines) if lines else "not measured\n"


def over_budget(found: list[Row], missing: bool) -> list[Row]:
    some = [row for row in found if row.by not in EVENTS and row.missing is missing]
    over = [row for row in some if row.share is not None and row.share > OVER]
    return sorted(over, key=lambda row: row.share or 0.0, reverse=True)


def over_cells(row: Row) -> list[str]:
    budget = amount(row.budget.value, row.budget.unit) if row.budget is not None else ""
    return [amount(row.value, row.unit), budget, f"{row.share:,.1f}", row.basis]


def missing_table(found: list[Row]) -> str:
    """Rows over their budget that no mechanism carries, by how far over."""
    lines = [
        [
            str(at),
            row.role,
            row.measure,
            row.by,
            *over_cells(row),
            row.mechanism.removeprefix("missing: "),
            row.command,
        ]
        for at, row in enumerate(over_budget(found, missing=True), 1)
    ]
    head = (
        "",
        "role",
        "measure",
        "by",
        "at the size",
        "budget",
        "times over",
        "basis",
        "what is missing",
        "command",
    )
    return table(head, lines) if lines else "nothing measured is over its budget\n"


def over_table(found: list[Row]) -> str:
    """Rows over their budget though a mechanism carries them."""
    lines = [
        [row.role, row.measure, row.by, *over_cells(row), row.mechanism, row.command]
        for row in over_budget(found, missing=False)
    ]
    head = ("role", "measure", "by", "at the size", "budget", "times over", "basis", "mechanism", "command")
    return table(head, lines) if lines else "none\n"


def commits(measurements: Iterable[Measurement]) -> str:
    found: dict[str, set[str]] = {}
    for each in measurements:
        found.setdefault(each.commit, set()).add(each.role)
    return table(
        ("commit", "roles measured on it"),
        ([commit, ", ".join(sorted(some))] for commit, some in sorted(found.items())),
    )


TABLES: dict[str, Callable[[list[Row]], str]] = {
    "size": assumption_table(assumptions.SIZE),
    "budgets": assumption_table(assumptions.BUDGETS),
    "assumed": assumption_table(assumptions.ASSUMED),
    "grows": grows_table,
    "server_total": server_total,
    "added": added_table,
    "load": load_table,
    "events": event_table,
    "missing": missing_table,
    "over": over_table,
    "decisions": role_table("server.decisions"),
    "connections": role_table("server.connections"),
    "membership": role_table("server.membership"),
    "agreement": role_table("server.agreement"),
    "configuration": role_table("server.configuration"),
    "process": role_table("server.process"),
    "agent": role_table("agent"),
    "leader": role_table("voter.leader"),
    "follower": role_table("voter.follower"),
    "router": role_table("router"),
}
OF_MEASUREMENTS: dict[str, Callable[[Iterable[Measurement]], str]] = {"commits": commits}


def renewed(text: str, measurements: list[Measurement]) -> str:
    """The page with its tables made anew. Raises BadPage."""
    found = rows(measurements)

    def made(match: re.Match[str]) -> str:
        name = match[1]
        if name in OF_MEASUREMENTS:
            body = OF_MEASUREMENTS[name](measurements)
        elif name in TABLES:
            body = TABLES[name](found)
        else:
            line = text[: match.start()].count("\n") + 1
            known = ", ".join((*TABLES, *OF_MEASUREMENTS))
            raise BadPage(f"docs/CAPACITY.md:{line}: table {name!r} is unknown; allowed: {known}")
        return f"<!-- table: {name} -->\n{body}<!-- end -->"

    return TABLE.sub(made, text)


def renew(path: Path, measurements: list[Measurement]) -> None:
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise BadPage(f"{path}:1: {error.strerror}; allowed: the page with its prose and marks") from None
    path.write_text(renewed(text, measurements), encoding="utf-8")
