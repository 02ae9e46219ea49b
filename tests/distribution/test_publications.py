"""The voters' book: atomic, in order, and the same after a snapshot."""

from typing import Any

import pytest

from pumicenotch.distribution import errors
from pumicenotch.distribution.data.changelog import ChangeLog
from pumicenotch.distribution.data.records import MAX_SCOPE_RECORDS, Change
from pumicenotch.distribution.data.subscription import EVERYTHING, Subscription
from pumicenotch.distribution.data.tables import canonical
from pumicenotch.distribution.protocol.messages import START
from pumicenotch.distribution.publications.book import Outcome, Publications
from pumicenotch.distribution.publications.uploads import (
    MAX_PART_CHANGES,
    changes_digest,
    entries_of,
)
from tests.distribution.network import publish, tenant


def entry(book: Publications, verb: str, *told: Any) -> Outcome:
    args = tuple(reader(each) for reader, each in zip(book.verbs[verb], told, strict=True))
    return book.apply(1, verb, args)


def small(
    book: Publications, changes: list[Change], *, request: str = "r", previous: int = -1
) -> Outcome:
    previous = book.version if previous < 0 else previous
    told = [list(change) for change in changes]
    return entry(
        book, "publish", request, "", 0, changes_digest(changes), previous, "me", "why", 1, told
    )


def test_a_publication_is_one_version() -> None:
    book = Publications()
    outcome = publish(book, [tenant("c1", "a", 1), tenant("c2", "b", 2)])
    assert (outcome.ok, outcome.value, book.version) == (True, 1, 1)
    assert book.view.lookup("tenants", "c1/a") == '{"weight":1}'
    assert book.view.scope("tenants", "c2") == {"b": '{"weight":2}'}
    publish(book, [Change("tenants", "c1/a", None)])
    assert book.view.lookup("tenants", "c1/a") is None and book.view.digest("tenants", "c1") == 0


def test_the_second_of_two_concurrent_publications_has_a_conflict() -> None:
    book = Publications()
    assert small(book, [tenant("c", "a", 1)], request="r1", previous=0).ok
    outcome = small(book, [tenant("c", "b", 1)], request="r2", previous=0)
    assert (
        not outcome.ok
        and outcome.value == errors.ConflictError.code
        and "publish again" in outcome.text
    )
    assert book.version == 1 and book.view.lookup("tenants", "c/b") is None


def test_a_retried_request_changes_nothing() -> None:
    book = Publications()
    first = small(book, [tenant("c", "a", 1)], request="same", previous=0)
    assert small(book, [tenant("c", "a", 1)], request="same", previous=0) == first
    assert book.version == 1


def test_a_large_publication_comes_in_parts_and_into_force_at_once() -> None:
    book = Publications()
    changes = [tenant(f"c{at % 9}", f"t{at}", at) for at in range(3 * MAX_PART_CHANGES)]
    *parts, last = entries_of("big", 0, "me", "why", 1, changes)
    assert len(parts) == 3
    for verb, *told in parts:
        assert entry(book, verb, *told).ok
        assert book.version == 0 and book.view.record_count() == 0
    assert entry(book, parts[1][0], *parts[1][1:]).text == "staged already"
    assert entry(book, last[0], *last[1:]).ok
    assert book.view.record_count() == len(changes)


def test_a_publication_with_a_missing_or_superseded_part_is_refused() -> None:
    book = Publications()
    changes = [tenant("c", f"t{at}", at) for at in range(2 * MAX_PART_CHANGES)]
    first, second, last = entries_of("big", 0, "me", "why", 1, changes)
    outcome = entry(book, second[0], *second[1:])
    assert not outcome.ok and "part 0 is missing" in outcome.text
    entry(book, first[0], *first[1:])
    assert entry(book, last[0], *last[1:]).value == errors.InvalidPublicationError.code
    small(book, [tenant("c", "a", 1)])
    assert entry(book, second[0], *second[1:]).value == errors.ConflictError.code
    assert entry(book, last[0], *last[1:]).value == errors.ConflictError.code
    assert book.view.record_count() == 1 and not book.uploads


def test_too_many_uploads_drop_the_oldest() -> None:
    book = Publications()
    for at in range(6):
        assert entry(book, "stage", f"u{at}", 0, 0, [["tenants", f"c/{at}", '{"weight":1}']]).ok
    assert list(book.uploads) == ["u2", "u3", "u4", "u5"]


def test_the_records_of_a_scope_are_bounded() -> None:
    book = Publications()
    for at in range(0, MAX_SCOPE_RECORDS, 1024):
        publish(book, [tenant("c", f"t{at + each}", 1) for each in range(1024)])
    outcome = small(book, [tenant("c", "one-more", 1)])
    assert not outcome.ok and outcome.value == errors.OversizedScopeError.code
    assert small(book, [Change("tenants", "c/t0", None)], request="r2").ok


@pytest.mark.parametrize(
    ("change", "error"),
    [
        (("nowhere", "c/a", '{"n":1}'), errors.UnknownTableError),
        (("tenants", "c/a", '{"weight":"x"}'), errors.InvalidRecordError),
        (("tenants", "c/a", "{}"), errors.InvalidRecordError),
        (("tenants", "c/a", '{"weight": 1}'), errors.InvalidRecordError),
        (("tenants", "c/a", "nonsense"), errors.InvalidRecordError),
        (("tenants", "c/a", '{"form":2,"weight":1}'), errors.UnreadableFormError),
        (("tenants", "c/a", '{"form":true,"weight":1}'), errors.InvalidRecordError),
    ],
)
def test_a_record_that_does_not_validate_is_refused_before_it_is_proposed(
    change: tuple[str, str, str], error: type[errors.DistributionError]
) -> None:
    book = Publications()
    with pytest.raises(error) as found:
        book.admit("publish", ("r", "", 0, "", 0, "me", "why", 1, (Change(*change),)))
    assert found.value.remedy and str(found.value).endswith(found.value.remedy)


@pytest.mark.parametrize(
    "told",
    [
        [["tenants", "no-scope", "{}"]],
        [["tenants", "c/a/b", "{}"]],
        [["tenants", "c/" + "x" * 65, "{}"]],
        [["tenants", "c/a", "x" * 5000]],
        [["tenants", "c/a", '{"n":"\u00e9"}']],
        [["tenants", "c/a"]],
        [7],
        "changes",
        [["tenants", f"c/{at}", None] for at in range(MAX_PART_CHANGES + 1)],
        [["tenants", f"c/{at}", "x" * 4000] for at in range(12)],
    ],
)
def test_fields_of_a_wrong_form_are_refused_by_the_readers(told: Any) -> None:
    with pytest.raises(ValueError):
        Publications.verbs["publish"][-1](told)


def test_one_record_twice_or_another_digest_is_refused() -> None:
    book = Publications()
    outcome = small(book, [tenant("c", "a", 1), tenant("c", "a", 2)])
    assert outcome.value == errors.InvalidPublicationError.code
    told = [list(tenant("c", "a", 1))]
    outcome = entry(book, "publish", "r", "", 0, changes_digest([]), 0, "me", "why", 1, told)
    assert outcome.value == errors.InvalidPublicationError.code and book.version == 0


def test_a_snapshot_gives_the_same_book_again() -> None:
    book = Publications(log=ChangeLog(max_entries=3))
    for at in range(6):
        publish(book, [tenant(f"c{at % 2}", f"t{at}", at)])
    entry(book, "stage", "open", 0, 6, [list(tenant("c", "staged", 1))])
    dump = book.dump()
    other = Publications(log=ChangeLog(max_entries=3))
    other.load(dump)
    assert other.dump() == dump == book.dump()
    assert (other.version, other.log.base, other.log.version) == (6, 3, 6)
    assert other.view.digest("tenants", "c0") == book.view.digest("tenants", "c0") != 0
    assert entry(other, "stage", "open", 1, 6, [list(tenant("c", "more", 1))]).ok
    assert small(
        other, [tenant("c", "x", 1)], request="r1", previous=0
    ).ok  # a repeat of the first one


@pytest.mark.parametrize("told", [b"", b"[]", b'["head",99,0,0,{},[]]', b"\xff", b'["head",1,0,0]'])
def test_a_malformed_snapshot_changes_nothing(told: bytes) -> None:
    book = Publications()
    publish(book, [tenant("c", "a", 1)])
    with pytest.raises(errors.InvalidPublicationError):
        book.load(told)
    assert book.view.lookup("tenants", "c/a") is not None and book.version == 1


def test_the_log_leads_on_from_what_it_has() -> None:
    book = Publications(log=ChangeLog(max_entries=3))
    for at in range(5):
        publish(book, [tenant("c", "same", at), tenant(f"d{at}", "x", at)])
    assert book.log.page(1, START, EVERYTHING) is None
    page = book.log.page(2, START, Subscription({"tenants": ["c"]}))
    assert page is not None and (page.previous, page.version, page.done) == (2, 5, True)
    assert page.changes == (tenant("c", "same", 4),)  # of each record the last change alone
    assert [digest.scope for digest in page.digests] == ["c"]


def test_the_pages_of_one_version_contain_all_of_it() -> None:
    book = Publications()
    changes = [tenant(f"c{at % 3}", f"t{at}", at) for at in range(2_000)]
    publish(book, changes)
    subscription, start, found = Subscription({"tenants": ["c0", "c2"]}), START, list[Change]()
    for _ in range(100):
        page = book.log.page(0, start, subscription)
        assert page is not None and page.start == start and len(page.changes) <= 512
        found += page.changes
        start = page.end
        if page.done:
            break
    wanted = [change for change in changes if not change.key.startswith("c1/")]
    assert sorted(found) == sorted(wanted)


def test_canonical_text_is_one_for_each_value() -> None:
    assert canonical({"b": 1, "a": "\u00e9"}) == '{"a":"\\u00e9","b":1}'
