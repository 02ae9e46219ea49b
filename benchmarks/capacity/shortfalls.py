"""What is over its budget: carried by no mechanism, or by one that does not hold."""

from benchmarks.capacity.assumptions import EVENTS
from benchmarks.capacity.markdown import amount, table
from benchmarks.capacity.mechanisms import FORMER
from benchmarks.capacity.rows import Row

OVER = 1.0  # of a budget


def over_budget(found: list[Row], missing: bool) -> list[Row]:
    some = [row for row in found if row.by not in EVENTS and row.missing is missing]
    some = [row for row in some if row.role not in FORMER]
    over = [row for row in some if row.share is not None and row.share > OVER]
    over.sort(key=lambda row: row.share or 0.0)
    furthest = {(row.role, row.measure): row for row in over}  # one of a role and measure
    return sorted(furthest.values(), key=lambda row: row.share or 0.0, reverse=True)


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
    head = "# | role | measure | by | at the size | budget | times over | basis | what is missing | command"
    return table(head, lines) if lines else "nothing measured is over its budget\n"


def over_table(found: list[Row]) -> str:
    """Rows over their budget though a mechanism carries them."""
    lines = [
        [row.role, row.measure, row.by, *over_cells(row), row.mechanism, row.command]
        for row in over_budget(found, missing=False)
    ]
    head = "role | measure | by | at the size | budget | times over | basis | mechanism | command"
    return table(head, lines) if lines else "none\n"
