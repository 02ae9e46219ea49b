"""The tables of one role each, of events, and of what is assumed."""

from collections.abc import Callable, Iterable

from benchmarks.capacity.assumptions import EVENTS, Assumption
from benchmarks.capacity.markdown import amount, count, percent, signed, table
from benchmarks.capacity.records import GROWS, Measurement
from benchmarks.capacity.rows import Row

MEASURES_OF_ROLE = (
    "state",
    "memory",
    "text",
    "sent",
    "received",
    "traffic",
    "sent_messages",
    "received_messages",
    "processor",
    "longest_step",
    "start",
)

ROLE_HEAD = (
    "role | by | at the size | measure | value | basis | fit | residual | tried"
    " | budget | share | mechanism | command"
)


def role_table(*roles: str) -> Callable[[list[Row]], str]:
    def make(found: list[Row]) -> str:
        own = [row for row in found if row.role in roles and row.by not in EVENTS]
        order = {measure: at for at, measure in enumerate(MEASURES_OF_ROLE)}
        own.sort(key=lambda row: (row.role, row.by, order.get(row.measure, len(order))))
        return table(ROLE_HEAD, map(role_line, own)) if own else "not measured\n"

    return make


def role_line(row: Row) -> list[str]:
    made, trial, budget = row.fit, row.trial, row.budget
    return [
        row.role,
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


def assumption_table(some: Iterable[Assumption]) -> Callable[[list[Row]], str]:
    def make(_: list[Row]) -> str:
        lines = ([each.name, amount(each.value, each.unit), each.why] for each in some)
        return table("what | figure | why", lines)

    return make


def grows_table(found: list[Row]) -> str:
    known = sorted({row.by for row in found}, key=list(GROWS).index)
    return table("by | what grows", ([by, GROWS[by]] for by in known))


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
                amount(row.value, row.unit) if row.reaches else "-",
                row.basis,
                made.name,
                percent(made.residual),
                signed(trial.error) if trial is not None else "not tried",
                row.command,
            ]
        )
    head = "event | role | measure | largest measured | at the size | basis | fit | residual | tried | command"
    return table(head, lines) if lines else "not measured\n"


def commits(measurements: Iterable[Measurement]) -> str:
    found: dict[str, set[str]] = {}
    for each in measurements:
        found.setdefault(each.commit, set()).add(each.role)
    return table(
        "commit | roles measured on it",
        ([commit, ", ".join(sorted(some))] for commit, some in sorted(found.items())),
    )
