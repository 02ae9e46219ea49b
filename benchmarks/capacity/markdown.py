"""Figures, tables and lists as Markdown."""

from collections.abc import Iterable

LEAST_SHOWN = 1e-6
SCALES = ((1024.0**2, "MB"), (1024.0, "KB"), (0.0, "B"))


def amount(value: float, unit: str) -> str:
    if unit in ("bytes", "bytes/s"):
        scale, name = next(each for each in SCALES if value >= each[0])
        return f"{value / (scale or 1.0):.3g} {name}{unit.removeprefix('bytes')}"
    if unit in ("s/s", "of a core"):
        return f"{100.0 * value:.3g}% of a core"
    if unit == "ms":
        return f"{value / 1000.0:.3g} s" if value >= 1000.0 else f"{value:.3g} ms"
    if value >= 1000.0:
        return f"{value:,.0f} {unit}"
    return f"{value:.3g} {unit}"


def count(value: float) -> str:
    return f"{value:,.0f}" if value >= 10 or value == int(value) else f"{value:.3g}"


def percent(part: float) -> str:
    if part < LEAST_SHOWN:
        return "0%"
    return f"{100.0 * part:,.0f}%" if part >= 0.1 else f"{100.0 * part:.2g}%"


def signed(part: float) -> str:
    """Returns a fraction as a signed percentage; one that rounds to nothing has no sign.

    The sign of such a figure is rounding noise, which differs between kinds of machine.
    """
    percentage = round(100.0 * part)
    return f"{percentage:+d}%" if percentage else "0%"


def table(head: str, lines: Iterable[Iterable[str]]) -> str:
    """`head` names the columns, parted by ` | `."""
    titles = head.split(" | ")
    made = [titles, ["---"] * len(titles), *map(list, lines)]
    return "".join(f"| {' | '.join(cells)} |\n" for cells in made)
