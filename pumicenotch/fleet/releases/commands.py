"""The entries that speak of versions: what each one's fields may hold."""

from typing import Any

from pumicenotch.fleet.releases.release import (
    BUDGETS,
    GONE,
    SLOTS,
    STARTING,
    VERSION,
    WAVES_MOST,
    Release,
)
from pumicenotch.fleet.replicated.fields import (
    BadEntry,
    Reader,
    budgets_of,
    name,
    names,
    number,
    reason,
    text,
)

PLAN_FIELDS = 13  # of Release, the first of them: what a plan says

WORDS = ("start", "abandon", "halt", "resume", "back", "approve")


def word_of(told: Any) -> str:
    if told not in WORDS:
        raise BadEntry(f"{told!r:.40}: {', '.join(WORDS)} are known")
    return str(told)


def maybe_names(told: Any) -> tuple[str, ...]:
    return names(told) if told else ()


def down_of(told: Any) -> str:
    if told not in ("", GONE, STARTING):
        raise BadEntry(f"{told!r:.40}: {GONE}, {STARTING} or nothing is wanted")
    return str(told)


def truth(told: Any) -> bool:
    if type(told) is not bool:
        raise BadEntry(f"yes or no is wanted, not {told!r:.40}")
    return told


def usual_of(told: Any) -> tuple[float, ...]:
    if not isinstance(told, list | tuple) or len(told) != 3:
        raise BadEntry("three figures are wanted")
    found = tuple(float(each) for each in told if isinstance(each, int | float))
    if len(found) < 3 or not all(0.0 <= each < 1e12 for each in found):
        raise BadEntry(f"no figures: {told!r:.60}")
    return found


def version_of(told: Any) -> str:
    """It names a folder: nothing that leads elsewhere."""
    if not VERSION.fullmatch(name(told)):
        raise BadEntry(f"a version of letters, digits, dots, dashes is wanted, not {told!r:.80}")
    return str(told)


def runs_of(told: Any) -> tuple[tuple[str, str], ...]:
    if not isinstance(told, list | tuple) or len(told) > len(SLOTS):
        raise BadEntry("what a node runs: slot and version, for each slot")
    found = tuple((name(slot), version_of(version)) for slot, version in told)
    if unknown := [slot for slot, _ in found if slot not in SLOTS]:
        raise BadEntry(f"no slot {unknown[0]}; known: {', '.join(SLOTS)}")
    return found


def release_of(told: Any) -> Release:
    """Of what a plan says: the first fields of Release, to `budgets`."""
    try:
        (
            one,
            slot,
            version,
            replaces,
            level,
            waves,
            soak,
            wait,
            back,
            gate,
            urgent,
            mixed,
            budgets,
        ) = told
        made = Release(
            name(one),
            slot,
            version_of(version),
            replaces and version_of(replaces),
            number(level),
            tuple(map(maybe_names, waves)),
            number(soak),
            number(wait),
            truth(back),
            number(gate),
            truth(urgent),
            truth(mixed),
            budgets_of(budgets),
        )
    except (TypeError, ValueError) as error:
        raise BadEntry(f"no plan of a release: {error}") from None
    if slot not in SLOTS:
        raise BadEntry(f"no slot {slot!r:.40}; known: {', '.join(SLOTS)}")
    if slot != BUDGETS and (not made.nodes or not all(made.waves) or len(made.waves) > WAVES_MOST):
        raise BadEntry(f"1 to {WAVES_MOST} waves of one node or more are wanted")
    if len(set(made.nodes)) < len(made.nodes):
        raise BadEntry("a node stands in two waves")
    return made


def plan_fields(made: Release) -> tuple[Any, ...]:
    """As a plan's entry says it."""
    return tuple(made[:PLAN_FIELDS])


ENTRIES: dict[str, tuple[str, tuple[Reader, ...]]] = {
    "level": ("agree_level", (number,)),
    "plan": ("plan", (name, release_of, name)),
    "release": ("release", (name, name, word_of, maybe_names, reason, name)),
    "soaked": ("soaked", (name, number, truth, text)),
    "usual": ("note_usual", (name, number, usual_of)),
    "harm": ("harm", (name, name, maybe_names, reason)),
    "word": ("note_agent", (name, name, runs_of, maybe_names, down_of, text)),
    "move": ("move", (name, name, name, version_of)),
}
REQUESTS = ("plan", "release")  # with an id first
OF_ONE = ("word", "move", "join", "serving", "leaving", "began", "gone", "against", "returned")
