"""Tests of message encoding, subscriptions, merged reports, rendezvous hashing and the rate limit.

Guards against malformed messages that raise anything but MalformedMessageError.
"""

import random
from typing import Any

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pumicenotch.distribution.data.records import Change, ScopeId
from pumicenotch.distribution.data.subscription import (
    MAX_SCOPES,
    NOTHING,
    Subscription,
    decode_subscription,
)
from pumicenotch.distribution.errors import InvalidSubscriptionError, MalformedMessageError
from pumicenotch.distribution.protocol import messages as m
from pumicenotch.distribution.protocol.codec import FIELD_READERS, decode, encode
from pumicenotch.distribution.protocol.reports import (
    BEHIND,
    MAX_NAMED_PROBLEMS,
    Report,
    merge_reports,
    own_report,
)
from pumicenotch.distribution.replica.rendezvous import rank_candidates
from pumicenotch.distribution.source.admission import TokenBucket

REPORT = own_report("i1", 3, 4, "unreadable-form")
DIGEST = m.ScopeDigest("tenants", "c", (1 << 128) - 1)
MESSAGES: list[m.Message] = [
    m.Subscribe(1, 2, 3, True, Subscription({"tenants": None, "routes": ["s1", "s2"]})),
    m.Unsubscribe(),
    m.Acknowledge(3, True, REPORT),
    m.Pull(1, 2, 3, m.Cursor("tenants", "c", 4)),
    m.Compare(1, 2, 3, ScopeId("tenants", "c")),
    m.Fetch(1, 2, (m.Want("tenants", "c", "t"),)),
    m.EndTransfer(2),
    m.Check(1, DIGEST),
    m.Accepted(1, 2, 3),
    m.Refused(1, m.BUSY, 500, ("h:1",)),
    m.Announce(1, 2),
    m.Delta(1, 2, 3, 4, 5, m.START, m.START, True, (Change("tenants", "c/t", None),), (DIGEST,)),
    m.Scopes(1, 2, 3, 4, (DIGEST,), False),
    m.Records(1, 2, (m.ScopePage("tenants", "c", (("t", "{}"),), True),)),
    m.Mismatch(1, "tenants", "c"),
    m.Progress(REPORT),
    m.Roster("i1", ("i2", "i3")),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_a_message_is_the_same_after_the_wire(message: m.Message) -> None:
    encoded = msgpack.unpackb(msgpack.packb(encode(message)))
    decoded = decode(encoded)
    assert decoded == message and type(decoded) is type(message)
    with pytest.raises(MalformedMessageError):
        decode([*encoded, 1])


def test_every_kind_has_its_fields() -> None:
    assert {type(message) for message in MESSAGES} == set(m.KINDS_BY_TYPE)
    assert {name: len(readers) for name, readers in FIELD_READERS.items()} == {
        name: len(kind._fields) for name, kind in m.MESSAGE_TYPES.items()
    }


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5) | st.binary(max_size=20),
    lambda inner: st.lists(inner, max_size=5),
    max_leaves=12,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.sampled_from(sorted(m.MESSAGE_TYPES)), st.integers(0, 10), VALUES)
def test_a_corrupted_message_is_malformed_and_nothing_else(
    kind: str, index: int, value: Any
) -> None:
    encoded = encode(
        next(message for message in MESSAGES if m.KINDS_BY_TYPE[type(message)] == kind)
    )
    encoded[min(index, len(encoded) - 1)] = value
    try:
        decode(encoded)
    except MalformedMessageError as error:
        assert error.remedy


@pytest.mark.parametrize("encoded", [None, [], "pull", [7], ["nothing"], ["pull", 1], {"pull": 1}])
def test_what_is_no_message_is_malformed(encoded: Any) -> None:
    with pytest.raises(MalformedMessageError):
        decode(encoded)


def test_subscriptions_are_combined_and_compared_by_scope() -> None:
    first = Subscription({"tenants": ["a", "b"], "routes": None})
    second = Subscription({"tenants": ["b", "c"]})
    assert (
        first.contains("routes", "any")
        and first.contains("tenants", "a")
        and not first.contains("tenants", "c")
    )
    assert first.union(second) == Subscription({"tenants": ["a", "b", "c"], "routes": None})
    assert first.intersection(second) == Subscription({"tenants": ["b"]})
    assert first.union(second).covers(first) and not first.covers(second) and first.covers(NOTHING)
    assert decode_subscription(first.encode()) == first
    many = Subscription({"tenants": [f"c{index}" for index in range(MAX_SCOPES)]})
    # The union would name too many scopes, and contains the complete table instead.
    assert many.union(first).tables["tenants"] is None


@pytest.mark.parametrize(
    "encoded",
    [
        7,
        [["t"]],
        [["t", [1]]],
        [["t", ["a b"]]],
        [["t", "abc"]],
        [["t", [f"c{index}" for index in range(1025)]]],
        [["t", None]] * 17,
    ],
)
def test_a_malformed_subscription_is_refused(encoded: Any) -> None:
    with pytest.raises(InvalidSubscriptionError):
        decode_subscription(encoded)


def test_reports_are_merged_and_name_a_bounded_number_of_copies() -> None:
    late_reports = [own_report(f"i{index}", 1, 2, "") for index in range(MAX_NAMED_PROBLEMS + 6)]
    report = merge_reports([own_report("ok", 2, 2, ""), *late_reports])
    assert (report.copies, report.lowest, report.newest, report.current) == (
        MAX_NAMED_PROBLEMS + 7,
        1,
        2,
        1,
    )
    assert len(report.problems) == MAX_NAMED_PROBLEMS and report.unnamed == 6
    assert report.problems[0].code == BEHIND
    # Only copies with the newest version are current.
    assert merge_reports([Report(2, 5, 5, 2), Report(3, 4, 4, 3)]).current == 2


def test_a_candidate_that_leaves_moves_only_its_own_share() -> None:
    candidates = [f"relay{index}" for index in range(5)]
    first = {f"i{index}": rank_candidates(f"i{index}", candidates, str)[0] for index in range(500)}
    remaining = {name: rank_candidates(name, candidates[1:], str)[0] for name in first}
    assert all(remaining[name] == relay for name, relay in first.items() if relay != "relay0")
    shares = [list(first.values()).count(relay) for relay in candidates]
    assert min(shares) > 60


def test_a_token_bucket_limits_the_rate() -> None:
    bucket, sent, rng = TokenBucket(1_000.0, 500.0), 0, random.Random(1)
    for now in range(0, 10_000, 10):
        if bucket.is_open(now):
            size = rng.randrange(200)
            bucket.spend(size)
            sent += size
    assert 10_000 <= sent <= 10_000 + 500 + 200
    bucket.spend(3_000)
    assert bucket.wait_ms(10_000) > 2_000
