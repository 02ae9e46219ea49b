"""The published state at a voter: atomic versions, ordered uploads, and identical snapshots.

Guards against partly applied publications, and against voters that differ after the same entries.
"""

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


def apply_entry(publications: Publications, verb: str, *encoded: Any) -> Outcome:
    args = tuple(
        reader(field) for reader, field in zip(publications.verbs[verb], encoded, strict=True)
    )
    return publications.apply(1, verb, args)


def publish_directly(
    publications: Publications, changes: list[Change], *, request: str = "r", previous: int = -1
) -> Outcome:
    previous = publications.version if previous < 0 else previous
    encoded = [list(change) for change in changes]
    return apply_entry(
        publications,
        "publish",
        request,
        "",
        0,
        changes_digest(changes),
        previous,
        "me",
        "why",
        1,
        encoded,
    )


def test_a_publication_is_one_version() -> None:
    publications = Publications()
    outcome = publish(publications, [tenant("c1", "a", 1), tenant("c2", "b", 2)])
    assert (outcome.ok, outcome.value, publications.version) == (True, 1, 1)
    assert publications.view.lookup("tenants", "c1/a") == '{"weight":1}'
    assert publications.view.scope("tenants", "c2") == {"b": '{"weight":2}'}
    publish(publications, [Change("tenants", "c1/a", None)])
    assert (
        publications.view.lookup("tenants", "c1/a") is None
        and publications.view.digest("tenants", "c1") == 0
    )


def test_the_second_of_two_concurrent_publications_has_a_conflict() -> None:
    publications = Publications()
    assert publish_directly(publications, [tenant("c", "a", 1)], request="r1", previous=0).ok
    outcome = publish_directly(publications, [tenant("c", "b", 1)], request="r2", previous=0)
    assert (
        not outcome.ok
        and outcome.value == errors.ConflictError.code
        and "publish again" in outcome.text
    )
    assert publications.version == 1 and publications.view.lookup("tenants", "c/b") is None


def test_a_retried_request_changes_nothing() -> None:
    publications = Publications()
    first = publish_directly(publications, [tenant("c", "a", 1)], request="same", previous=0)
    assert (
        publish_directly(publications, [tenant("c", "a", 1)], request="same", previous=0) == first
    )
    assert publications.version == 1


def test_a_large_publication_comes_in_parts_and_into_force_at_once() -> None:
    publications = Publications()
    changes = [tenant(f"c{index % 9}", f"t{index}", index) for index in range(3 * MAX_PART_CHANGES)]
    *parts, last = entries_of("big", 0, "me", "why", 1, changes)
    assert len(parts) == 3
    for verb, *encoded in parts:
        assert apply_entry(publications, verb, *encoded).ok
        assert publications.version == 0 and publications.view.record_count() == 0
    assert apply_entry(publications, parts[1][0], *parts[1][1:]).text == "staged already"
    assert apply_entry(publications, last[0], *last[1:]).ok
    assert publications.view.record_count() == len(changes)


def test_a_publication_with_a_missing_or_superseded_part_is_refused() -> None:
    publications = Publications()
    changes = [tenant("c", f"t{index}", index) for index in range(2 * MAX_PART_CHANGES)]
    first, second, last = entries_of("big", 0, "me", "why", 1, changes)
    outcome = apply_entry(publications, second[0], *second[1:])
    assert not outcome.ok and "part 0 is missing" in outcome.text
    apply_entry(publications, first[0], *first[1:])
    assert (
        apply_entry(publications, last[0], *last[1:]).value == errors.InvalidPublicationError.code
    )
    publish_directly(publications, [tenant("c", "a", 1)])
    assert apply_entry(publications, second[0], *second[1:]).value == errors.ConflictError.code
    assert apply_entry(publications, last[0], *last[1:]).value == errors.ConflictError.code
    assert publications.view.record_count() == 1 and not publications.uploads


def test_too_many_uploads_drop_the_oldest() -> None:
    publications = Publications()
    for index in range(6):
        assert apply_entry(
            publications, "stage", f"u{index}", 0, 0, [["tenants", f"c/{index}", '{"weight":1}']]
        ).ok
    assert list(publications.uploads) == ["u2", "u3", "u4", "u5"]


def test_the_records_of_a_scope_are_bounded() -> None:
    publications = Publications()
    for first_index in range(0, MAX_SCOPE_RECORDS, 1024):
        publish(
            publications, [tenant("c", f"t{first_index + offset}", 1) for offset in range(1024)]
        )
    outcome = publish_directly(publications, [tenant("c", "one-more", 1)])
    assert not outcome.ok and outcome.value == errors.OversizedScopeError.code
    assert publish_directly(publications, [Change("tenants", "c/t0", None)], request="r2").ok


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
    publications = Publications()
    with pytest.raises(error) as raised:
        publications.admit("publish", ("r", "", 0, "", 0, "me", "why", 1, (Change(*change),)))
    assert raised.value.remedy and str(raised.value).endswith(raised.value.remedy)


@pytest.mark.parametrize(
    "encoded",
    [
        [["tenants", "no-scope", "{}"]],
        [["tenants", "c/a/b", "{}"]],
        [["tenants", "c/" + "x" * 65, "{}"]],
        [["tenants", "c/a", "x" * 5000]],
        [["tenants", "c/a", '{"n":"\u00e9"}']],
        [["tenants", "c/a"]],
        [7],
        "changes",
        [["tenants", f"c/{index}", None] for index in range(MAX_PART_CHANGES + 1)],
        [["tenants", f"c/{index}", "x" * 4000] for index in range(12)],
    ],
)
def test_fields_of_a_wrong_form_are_refused_by_the_readers(encoded: Any) -> None:
    with pytest.raises(ValueError):
        Publications.verbs["publish"][-1](encoded)


def test_a_repeated_record_or_a_wrong_digest_is_refused() -> None:
    publications = Publications()
    outcome = publish_directly(publications, [tenant("c", "a", 1), tenant("c", "a", 2)])
    assert outcome.value == errors.InvalidPublicationError.code
    encoded = [list(tenant("c", "a", 1))]
    outcome = apply_entry(
        publications, "publish", "r", "", 0, changes_digest([]), 0, "me", "why", 1, encoded
    )
    assert outcome.value == errors.InvalidPublicationError.code and publications.version == 0


def test_a_snapshot_restores_the_same_state() -> None:
    publications = Publications(log=ChangeLog(max_entries=3))
    for index in range(6):
        publish(publications, [tenant(f"c{index % 2}", f"t{index}", index)])
    apply_entry(publications, "stage", "open", 0, 6, [list(tenant("c", "staged", 1))])
    dump = publications.dump()
    restored = Publications(log=ChangeLog(max_entries=3))
    restored.load(dump)
    assert restored.dump() == dump == publications.dump()
    assert (restored.version, restored.log.base, restored.log.version) == (6, 3, 6)
    assert restored.view.digest("tenants", "c0") == publications.view.digest("tenants", "c0") != 0
    assert apply_entry(restored, "stage", "open", 1, 6, [list(tenant("c", "more", 1))]).ok
    # A retry of the first publication returns its outcome.
    assert publish_directly(restored, [tenant("c", "x", 1)], request="r1", previous=0).ok


@pytest.mark.parametrize(
    "encoded", [b"", b"[]", b'["head",99,0,0,{},[]]', b"\xff", b'["head",1,0,0]']
)
def test_a_malformed_snapshot_changes_nothing(encoded: bytes) -> None:
    publications = Publications()
    publish(publications, [tenant("c", "a", 1)])
    with pytest.raises(errors.InvalidPublicationError):
        publications.load(encoded)
    assert publications.view.lookup("tenants", "c/a") is not None and publications.version == 1


def test_the_log_serves_only_versions_that_it_contains() -> None:
    publications = Publications(log=ChangeLog(max_entries=3))
    for index in range(5):
        publish(publications, [tenant("c", "same", index), tenant(f"d{index}", "x", index)])
    assert publications.log.page(1, START, EVERYTHING) is None
    page = publications.log.page(2, START, Subscription({"tenants": ["c"]}))
    assert page is not None and (page.previous, page.version, page.done) == (2, 5, True)
    # A page has only the last change of each record.
    assert page.changes == (tenant("c", "same", 4),)
    assert [digest.scope for digest in page.digests] == ["c"]


def test_the_pages_of_one_version_contain_all_of_it() -> None:
    publications = Publications()
    changes = [tenant(f"c{index % 3}", f"t{index}", index) for index in range(2_000)]
    publish(publications, changes)
    subscription, start, received_changes = (
        Subscription({"tenants": ["c0", "c2"]}),
        START,
        list[Change](),
    )
    for _ in range(100):
        page = publications.log.page(0, start, subscription)
        assert page is not None and page.start == start and len(page.changes) <= 512
        received_changes += page.changes
        start = page.end
        if page.done:
            break
    expected = [change for change in changes if not change.key.startswith("c1/")]
    assert sorted(received_changes) == sorted(expected)


def test_canonical_text_is_one_for_each_value() -> None:
    assert canonical({"b": 1, "a": "\u00e9"}) == '{"a":"\\u00e9","b":1}'
