"""docs/CAPACITY.md: its prose is written by hand, its tables are made from the slopes file, each between two
marks: `<!-- table: NAME -->` and `<!-- end -->`.
"""

import re
from collections.abc import Callable, Iterable
from pathlib import Path

from benchmarks.capacity import assumptions, machines, role_tables, shortfalls, totals
from benchmarks.capacity.records import Measurement
from benchmarks.capacity.rows import Row, rows
from pumicenotch.errors import InputError

TABLE = re.compile(r"<!-- table: ([a-z_]+) -->\n(.*?)<!-- end -->", re.DOTALL)


class InvalidPageError(InputError):
    """A page with a table that nobody makes, or no page at all."""


TABLES: dict[str, Callable[[list[Row]], str]] = {
    "size": role_tables.assumption_table(assumptions.SIZE),
    "budgets": role_tables.assumption_table(assumptions.BUDGETS),
    "assumed": role_tables.assumption_table(assumptions.ASSUMED),
    "grows": role_tables.grows_table,
    "server_total": totals.server_total,
    "added": totals.added_table,
    "load": totals.load_table,
    "machines": machines.machines_table,
    "trials": machines.trials_table,
    "events": role_tables.event_table,
    "missing": shortfalls.missing_table,
    "over": shortfalls.over_table,
    "decisions": role_tables.role_table("server.decisions", "server.decisions.before"),
    "connections": role_tables.role_table("server.connections"),
    "membership": role_tables.role_table("server.membership"),
    "agreement": role_tables.role_table("server.agreement"),
    "configuration": role_tables.role_table("server.configuration"),
    "process": role_tables.role_table("server.process"),
    "agent": role_tables.role_table("agent"),
    "replica": role_tables.role_table("distribution.replica"),
    "relay": role_tables.role_table("distribution.relay"),
    "distribution_voter": role_tables.role_table("distribution.voter"),
    "leader": role_tables.role_table("voter.leader"),
    "follower": role_tables.role_table("voter.follower"),
    "router": role_tables.role_table("router", "router.configuration", "router.dials"),
}
OF_MEASUREMENTS: dict[str, Callable[[Iterable[Measurement]], str]] = {
    "commits": role_tables.commits
}


def renewed(text: str, measurements: list[Measurement]) -> str:
    """The page with its tables made anew. Raises InvalidPageError."""
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
            raise InvalidPageError(
                f"docs/CAPACITY.md:{line}: table {name!r} is unknown; allowed: {known}"
            )
        return f"<!-- table: {name} -->\n{body}<!-- end -->"

    return TABLE.sub(made, text)


def renew(path: Path, measurements: list[Measurement]) -> None:
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise InvalidPageError(
            f"{path}:1: {error.strerror}; allowed: the page with its prose and marks"
        ) from None
    path.write_text(renewed(text, measurements), encoding="utf-8")
