"""Explores event orders of the distribution for mixed views, decreasing versions and lost changes.

The unmodified code must show none of them. With each of the faults below injected, the explorer
must report a violation, which guards against checks that cannot fail.
"""

from typing import Any

import pytest

from pumicenotch.distribution.data.changelog import ChangeLog, Page
from pumicenotch.distribution.data.records import ScopeId
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.data.view import Builder, Scope, View
from pumicenotch.distribution.protocol import messages as m
from pumicenotch.distribution.replica.copy import Copy
from pumicenotch.distribution.replica.fetching import Transfer
from pumicenotch.distribution.replica.replica import Replica
from pumicenotch.distribution.replica.staging import Staging
from pumicenotch.lab.spreading import Spreading
from pumicenotch.lab.spreading_model import Bounds

MESSAGE_FAULTS = Bounds(publications=3, timers=14, losses=1, copies=1, cuts=1)
CORRUPTED_MESSAGE = Bounds(publications=3, timers=14, spoilt=1)
RESTARTED_INSTANCE = Bounds(publications=3, timers=14, restarts=1, cuts=1)


def test_every_order_of_one_publication_is_consistent() -> None:
    result = Spreading(Bounds(publications=1, timers=1)).explore(100_000)
    assert result.whole and not result.violation, result.text()


@pytest.mark.parametrize("log_most", [1, 10])
def test_the_first_orders_of_all_events_are_consistent(log_most: int) -> None:
    result = Spreading(MESSAGE_FAULTS._replace(restarts=1, spoilt=1), log_most=log_most).explore(
        700
    )
    assert not result.violation, result.text()


@pytest.mark.parametrize(
    ("bounds", "log_most"), [(MESSAGE_FAULTS, 1), (CORRUPTED_MESSAGE, 10), (RESTARTED_INSTANCE, 1)]
)
@pytest.mark.parametrize("relayed", [False, True])
def test_random_walks_find_no_violation(bounds: Bounds, log_most: int, relayed: bool) -> None:
    model = Spreading(bounds, log_most=log_most, relayed=relayed)
    result = model.wander(seed=1, walks=4 if relayed else 8, most_deep=70)
    assert not result.violation, result.text()


def test_every_order_of_one_publication_over_relays_is_consistent() -> None:
    result = Spreading(Bounds(publications=1, timers=0), relayed=True).explore(100_000)
    assert result.whole and not result.violation, result.text()


# Injected faults


def complete_without_all_pages(self: Staging) -> bool:
    return not self.has_work


def stage_older_delta(self: Replica, now_ms: float, address: str, delta: m.Delta) -> None:
    """Stages an older delta too."""
    is_older = delta.version <= self.copy.view.version and delta.start == m.START
    if is_older and self.copy.staging is None and not delta.request:
        self.copy.stage(delta)
    else:
        ORIGINAL_DELTA(self, now_ms, address, delta)


def switch_without_check(self: Copy, view: View, coverage: Subscription, entry: Any) -> None:
    self.view, self.coverage = view, coverage


def abort_with_partial_scopes(self: Replica) -> None:
    """Treats the partially fetched scopes of an aborted transfer as complete."""
    transfer = self._transfer
    if transfer is not None:
        partial_scopes = {
            key: Scope(partial.records, transfer._listed[key])
            for key, partial in transfer._partial.items()
        }
        self._reusable = {**transfer.complete, **partial_scopes}
        self._end_transfer(transfer)


def build_without_deletions(self: Transfer, view: View) -> View:
    builder = Builder(view)
    for scope_id, scope in self.complete.items():
        builder.replace(scope_id, scope)
    return builder.finish(self.version)


def page_with_gap(
    self: ChangeLog, have: int, start: m.Cursor, subscription: Subscription, max_bytes: int = 0
) -> Page | None:
    """Serves a page from the oldest entry if the log no longer contains the requested one."""
    start_version = self.base if have < self.base else have
    page = ORIGINAL_PAGE(self, start_version, start, subscription, max_bytes)
    return None if page is None else page._replace(previous=have)


def no_mismatches(self: Staging) -> list[ScopeId]:
    return []


def finish_unverified(self: Transfer, scope_id: ScopeId) -> None:
    self.complete[scope_id] = Scope(self._partial.pop(scope_id).records, self._listed[scope_id])
    self._missing.discard(scope_id)


ORIGINAL_PAGE = ChangeLog.page
ORIGINAL_DELTA = Replica.on_delta
NO_MESSAGE_FAULTS = Bounds(publications=3, timers=9)
NO_PUBLICATIONS = Bounds(publications=0, timers=8, cuts=1)
FAULTS: dict[str, tuple[Spreading, list[tuple[type, str, Any]]]] = {
    "switches before all pages are there": (
        Spreading(NO_MESSAGE_FAULTS),
        [(Staging, "complete", property(complete_without_all_pages))],
    ),
    "applies an older delta after a newer": (
        Spreading(NO_MESSAGE_FAULTS._replace(copies=1), begun=2),
        [(Replica, "on_delta", stage_older_delta), (Copy, "switch", switch_without_check)],
    ),
    "takes a part for the whole when the source changes": (
        Spreading(NO_PUBLICATIONS, begun=2, fresh=True),
        [(Replica, "_abort_transfer", abort_with_partial_scopes)],
    ),
    "forgets a deletion in a snapshot by digests": (
        Spreading(NO_MESSAGE_FAULTS, log_most=1),
        [(Transfer, "build", build_without_deletions)],
    ),
    "serves a delta with a gap from a compacted log": (
        Spreading(NO_MESSAGE_FAULTS, log_most=1),
        [(ChangeLog, "page", page_with_gap)],
    ),
    "does not verify a delta": (
        Spreading(NO_MESSAGE_FAULTS._replace(spoilt=1)),
        [(Staging, "mismatches", no_mismatches)],
    ),
    "does not verify a fetched scope": (
        Spreading(NO_MESSAGE_FAULTS._replace(spoilt=1), fresh=True),
        [(Transfer, "_finish_scope", finish_unverified)],
    ),
}


@pytest.mark.parametrize("fault", FAULTS)
def test_an_injected_fault_is_found(fault: str, monkeypatch: pytest.MonkeyPatch) -> None:
    model, patches = FAULTS[fault]
    for owner, name, replacement in patches:
        monkeypatch.setattr(owner, name, replacement)
    result = model.wander(seed=1, walks=300, most_deep=70)
    assert result.violation.startswith(("mixed", "backward", "lost")), result.text()
