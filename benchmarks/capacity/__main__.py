"""python -m benchmarks.capacity [ROLE...] [--by WHAT] [--sizes N...] [--seed N] [--out FILE] [--page]

Measures slopes and prints JSON lines; with --out merges them into a file; with --page makes the tables of
docs/CAPACITY.md anew from docs/capacity/slopes.jsonl.
"""

import argparse
import os
import subprocess
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import NoReturn

from benchmarks.capacity import page, records, roles
from benchmarks.capacity.records import InvalidSlopesError, Measurement
from benchmarks.capacity.slope import Slope
from pumicenotch.errors import InputError

ROOT = Path(__file__).resolve().parents[2]
SLOPES_FILE = ROOT / "docs" / "capacity" / "slopes.jsonl"
PAGE_FILE = ROOT / "docs" / "CAPACITY.md"
SIZE_MOST = 10_000_000
WRONG_USE = 2


class InvalidSizeError(InputError):
    """A size that a slope cannot be measured at; the text says what is allowed."""


class Parser(argparse.ArgumentParser):
    def error(self, message: str) -> NoReturn:
        print(f"capacity: {message}", file=sys.stderr)
        raise SystemExit(WRONG_USE)


def size(text: str) -> float:
    try:
        found = float(text)
    except ValueError:
        found = 0.0
    if not 0.0 < found <= SIZE_MOST:
        raise argparse.ArgumentTypeError(
            f"{text!r} is no size; allowed: a number above 0, up to {SIZE_MOST}"
        )
    return found


def parser() -> Parser:
    made = Parser(
        prog="python -m benchmarks.capacity", description=__doc__.splitlines()[2] if __doc__ else ""
    )
    made.add_argument("roles", nargs="*", metavar="ROLE", help=", ".join(roles.ROLES))
    made.add_argument(
        "--by", metavar="WHAT", help="only slopes by this: " + ", ".join(records.GROWS)
    )
    made.add_argument(
        "--sizes", type=size, nargs="+", metavar="N", help="in place of each slope's own sizes"
    )
    made.add_argument("--seed", type=int, default=1)
    made.add_argument("--out", type=Path, metavar="FILE", help="merge into this file")
    made.add_argument(
        "--page", action="store_true", help="make the tables of docs/CAPACITY.md anew"
    )
    return made


def commit() -> str:
    """What is measured; with a + where files differ from it."""

    def git(*words: str) -> str:
        return subprocess.run(
            ["git", *words], cwd=ROOT, capture_output=True, text=True, check=True
        ).stdout.strip()

    try:
        changed = git("status", "--porcelain", "--", "pumicenotch", "benchmarks")
        return git("rev-parse", "--short", "HEAD") + ("+" if changed else "")
    except (OSError, subprocess.CalledProcessError):
        return "unknown"


def chosen(wanted: set[str], by: str | None, sizes: Sequence[float] | None) -> list[Slope]:
    """The slopes of these roles. Raises InvalidSizeError."""
    found = [
        slope for slope in roles.SLOPES if wanted & set(slope.roles) and by in (None, slope.by)
    ]
    for slope in found:
        for each in sizes or ():
            if each < slope.least:
                raise InvalidSizeError(
                    f"size {each:g} of {slope.roles[0]} by {slope.by}; allowed: from {slope.least:g} on"
                )
    if not found:
        raise InvalidSizeError(
            f"--by {by}: no slope of these roles; allowed: leave it out to measure all"
        )
    return found


def measure(
    wanted: set[str], slopes: list[Slope], sizes: Sequence[float] | None, seed: int
) -> Iterator[Measurement]:
    at = commit()
    for slope in slopes:
        for each in sizes or slope.sizes:
            for role, name, value in slope.measure(each, seed):
                if role in wanted:
                    kept = float(f"{value:.6g}")
                    yield Measurement(
                        role, name, records.MEASURES[name], slope.by, each, kept, seed, at
                    )


def main(told: Sequence[str] | None = None) -> int:
    made = parser()
    options = made.parse_args(told)
    if options.by is not None and options.by not in records.GROWS:
        made.error(f"--by {options.by!r} is unknown; allowed: {', '.join(records.GROWS)}")
    try:
        wanted = roles.named(options.roles)
        slopes = chosen(wanted, options.by, options.sizes)
        if options.page:
            page.renew(PAGE_FILE, records.read(SLOPES_FILE, roles.RECORDED))
            print(
                f"{PAGE_FILE.relative_to(ROOT)} is made from {SLOPES_FILE.relative_to(ROOT)}",
                file=sys.stderr,
            )
            return 0
        kept = records.read(options.out, roles.RECORDED) if options.out is not None else []
    except (
        roles.UnknownRoleError,
        InvalidSizeError,
        InvalidSlopesError,
        page.InvalidPageError,
    ) as error:
        print(f"capacity: {error}", file=sys.stderr)
        return WRONG_USE
    for each in measure(wanted, slopes, options.sizes, options.seed):
        print(records.line(each), flush=True)
        if options.out is not None:
            kept = records.merged(kept, [each])
            records.write(options.out, kept)
    return 0


if __name__ == "__main__":
    try:
        status = main()
    except BrokenPipeError:  # whoever reads has enough
        os._exit(0)
    raise SystemExit(status)
