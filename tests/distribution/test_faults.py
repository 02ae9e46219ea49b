"""What goes wrong at one instance: it keeps what it has, says so, and is whole again once it can be."""

import random
from collections.abc import Mapping
from typing import Any

import pytest

from pumicenotch.distribution import errors, events
from pumicenotch.distribution.context import new_context
from pumicenotch.distribution.data.records import Change, ScopeId
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.data.tables import TABLES, Table, canonical, read_value
from pumicenotch.distribution.effects import SendTo
from pumicenotch.distribution.node import Node
from pumicenotch.distribution.protocol import messages as m
from pumicenotch.distribution.protocol.reports import own_report
from pumicenotch.distribution.replica import fetching, staging
from pumicenotch.distribution.settings import DEFAULTS
from pumicenotch.distribution.source.voter_source import VoterSource
from tests.distribution.network import Network, tenant

NEWER = {**TABLES, "tenants": TABLES["tenants"]._replace(form=2)}


def older_at(which: int) -> dict[str, Table]:
    """Of two programs: one instance has the older one."""
    return dict(TABLES if which == 1 else NEWER)


def leader(network: Network) -> VoterSource:
    reducer = network.reducers["v0"]
    assert isinstance(reducer, VoterSource)
    return reducer


def test_a_program_that_cannot_read_a_record_lags_and_is_named() -> None:
    network = Network(1, instances=6, tables=older_at)
    for book in network.books.values():
        book.tables = NEWER
    network.publish([tenant("c", "a", 1)])
    network.run(5_000)
    network.publish(
        [Change("tenants", "c/new", canonical({"form": 2, "weight": 1})), tenant("c", "a", 2)]
    )
    network.run(15_000)
    old = network.node("i1")
    assert old.view.version == 1 and old.view.lookup("tenants", "c/a") == '{"weight":1}'
    assert isinstance(old.error, errors.UnreadableFormError) and "upgrade this instance" in str(
        old.error
    )
    assert all(node.view.version == 2 for name, node in network.nodes().items() if name != "i1")
    status = leader(network).status(network.now, network.peers)
    assert (status["copies"], status["in_force"], status["missing"]) == (6, 5, [])
    assert [(each["name"], each["code"]) for each in status["behind"]] == [
        ("i1", "unreadable-form")
    ]
    network.publish([Change("tenants", "c/new", None)])  # the newest version can be read again
    network.run(25_000)
    network.assert_settled()
    assert old.error is None


def test_relays_that_cannot_read_a_record_do_not_delay_newer_programs() -> None:
    relays = {name for name, node in started(Network(1, instances=8)).nodes().items() if node.relay}
    network = Network(
        1, instances=8, tables=lambda at: dict(TABLES if f"i{at}" in relays else NEWER)
    )
    for book in network.books.values():
        book.tables = NEWER
    started(network).publish([Change("tenants", "c/new", canonical({"form": 2, "weight": 1}))])
    network.run(network.now + 6_000)
    versions = {name: node.view.version for name, node in network.nodes().items()}
    assert versions == {name: int(name not in relays) for name in network.peers}


def started(network: Network) -> Network:
    network.run(5_000)
    return network


def spoil(node: Node, key: str, value: str) -> None:
    """Memory changes by itself."""
    scope, _, name = key.partition("/")
    held = node.view.find(ScopeId("tenants", scope))
    assert held is not None
    held.records[name] = value


def test_a_corrupted_scope_is_found_by_an_audit_and_repaired() -> None:
    network = Network(2, instances=5, settings=DEFAULTS._replace(audit_ms=1_000.0))
    network.publish([tenant(f"c{at % 3}", f"t{at}", at) for at in range(600)])
    network.run(5_000)
    spoil(network.node("i2"), "c1/t4", '{"weight":666}')
    network.run(20_000)
    network.assert_settled()
    counts = network.node("i2").counts
    assert counts["digest-mismatch"] == 1 and counts["transfers"] >= 2
    assert network.node("i2").error is None


def test_a_scope_that_differs_from_the_source_is_found_by_a_check_and_repaired() -> None:
    network = Network(3, instances=5, settings=DEFAULTS._replace(audit_ms=1_000.0))
    network.publish([tenant("c", f"t{at}", at) for at in range(10)])
    network.run(5_000)
    node = network.node("i2")
    spoil(node, "c/t4", '{"weight":666}')
    held = node.view.find(ScopeId("tenants", "c"))
    assert held is not None
    held.digest = held.compute_digest(ScopeId("tenants", "c"))  # wrong, and consistent
    network.run(20_000)
    network.assert_settled()


def test_a_corrupted_scope_is_found_when_a_delta_changes_it() -> None:
    network = Network(4, instances=5, settings=DEFAULTS._replace(audit_ms=1e9))
    network.publish([tenant("c", f"t{at}", at) for at in range(10)])
    network.run(5_000)
    spoil(network.node("i2"), "c/t4", '{"weight":666}')
    network.publish([tenant("c", "t4", 4.5)])
    network.run(15_000)
    network.assert_settled()
    assert network.node("i2").counts["digest-mismatch"] == 1


def test_a_partitioned_replica_serves_on_and_knows_its_age() -> None:
    network = Network(5, instances=4)
    network.publish([tenant("c", "a", 1)])
    network.run(5_000)
    node = network.node("i0")
    assert node.age_ms(network.now) < 3_000 and node.error is None
    network.cut = {"i0"}
    network.publish([tenant("c", "a", 2)])
    network.run(65_000)
    assert node.view.lookup("tenants", "c/a") == '{"weight":1}'
    assert node.age_ms(network.now) > 55_000
    assert (
        isinstance(node.error, errors.SourceRefusedError)
        and node.status(network.now)["error"]["code"]
    )
    network.cut = set()
    network.run(70_000)
    network.assert_settled()
    assert node.error is None and node.age_ms(network.now) < 5_000


def test_voters_out_of_touch_with_their_leader_announce_their_age() -> None:
    network = Network(6, instances=4)
    network.run(5_000)
    for name in network.books:
        network.step(name, events.LeaderChanged("", False, False))
    network.run(35_000)
    assert all(node.age_ms(network.now) > 25_000 for node in network.nodes().values())


def test_the_leader_knows_the_missing_copies_after_a_change_of_leaders_too() -> None:
    network = Network(7, voters=3, zones=2, instances=12)
    network.publish([tenant("c", "a", 1)])
    network.run(8_000)
    status = leader(network).status(network.now, [*network.peers, "ghost"])
    assert (status["copies"], status["in_force"], status["missing"]) == (12, 12, ["ghost"])
    network.stop("i3")
    network.elect("v1")
    network.run(40_000)
    new = network.reducers["v1"]
    assert isinstance(new, VoterSource)
    status = new.status(network.now, network.peers)
    assert (status["copies"], status["in_force"], status["missing"]) == (11, 11, ["i3"])


def test_a_changed_subscription_is_fetched_and_other_scopes_are_dropped() -> None:
    network = Network(8, instances=5, subscription=lambda at: Subscription({"tenants": ["c1"]}))
    network.publish([tenant(f"c{at % 3}", f"t{at}", at) for at in range(30)])
    network.run(5_000)
    network.assert_settled()
    network.subscriptions["i4"] = Subscription({"tenants": ["c2"]})
    network.step("i4", events.SubscriptionChanged(network.subscriptions["i4"]))
    network.publish([tenant("c2", "later", 1)])
    network.run(10_000)
    network.assert_settled()
    if not network.node("i4").relay:
        assert not network.node("i4").view.scope("tenants", "c1")


def test_a_relay_subscribes_to_what_its_children_need_and_no_more() -> None:
    network = Network(9, instances=6, subscription=lambda at: Subscription({"tenants": [f"c{at}"]}))
    network.publish([tenant(f"c{at}", "t", at) for at in range(20)])
    network.run(6_000)
    network.assert_settled()
    for node in network.nodes().values():
        scopes = {scope for _, scope in node.view.scope_ids()}
        assert scopes <= {f"c{at}" for at in range(6)}
        assert node.relay or len(scopes) == 1


def test_a_relay_that_is_replaced_lingers_and_then_dismisses_its_children() -> None:
    network = Network(10, instances=8)
    network.run(5_000)
    former = {name for name, node in network.nodes().items() if node.relay}
    joined = 0
    while former <= {
        name for name, node in network.nodes().items() if node._placement._zone.is_relay()
    }:
        joined += 1  # until one of those that join takes the place of one of them
        name = f"i{8 + joined}"
        network.peers[name] = events.Peer(name, "z0", "r", name, "")
        network.subscriptions[name] = Subscription({"tenants": None})
        network.start_instance(name)
    network.run(network.now + 3_000)
    relays = {name for name, node in network.nodes().items() if node.relay}
    assert len(relays) == 4 and former < relays
    network.run(network.now + 60_000)
    assert sum(node.relay for node in network.nodes().values()) == 3
    network.publish([tenant("c", "a", 1)])
    network.run(network.now + 3_000)
    network.assert_settled()


def child_of_a_voter() -> tuple[VoterSource, events.Sender]:
    network = Network(11, instances=0)
    return leader(network), events.Sender("x", "1", "x")


def answers(
    source: VoterSource, sender: events.Sender, message: m.Message, now: float
) -> list[m.Message]:
    effects = source.step(now, events.Received(sender, message))
    return [effect.message for effect in effects if isinstance(effect, SendTo)]


def test_a_pull_without_a_subscription_is_refused() -> None:
    source, sender = child_of_a_voter()
    assert answers(source, sender, m.Pull(7, 1, 0), 1.0) == [m.Refused(7, m.UNKNOWN_CHILD, 0)]
    assert answers(source, sender, m.Unsubscribe(), 1.0) == []


def test_a_transfer_is_kept_until_the_child_ends_it() -> None:
    network = Network(15, instances=0, settings=DEFAULTS._replace(page_scopes=1))
    network.publish([tenant("c0", "t", 1), tenant("c1", "t", 1)])
    network.run(1_000)
    source, sender = leader(network), events.Sender("x", "1", "x")
    answers(source, sender, m.Subscribe(1, 1, 1, True, Subscription({"tenants": None})), 1.0)
    (first,) = answers(source, sender, m.Compare(2, 1, 5), 1.0)
    assert isinstance(first, m.Scopes) and not first.done
    report = own_report("x", 1, 1, "")
    assert answers(source, sender, m.Acknowledge(1, True, report), 1.0) == []
    following = m.Compare(3, 1, 5, ScopeId("tenants", "c0"))
    (second,) = answers(source, sender, following, 1.0)
    assert isinstance(second, m.Scopes) and second.done and second.version == first.version
    answers(source, sender, m.EndTransfer(5), 1.0)
    assert answers(source, sender, following, 1.0) == [m.Refused(3, m.NO_TRANSFER, 0)]


@pytest.mark.parametrize("what", ["max_children", "max_transfers"])
def test_too_many_at_once_are_refused_with_a_retry_after(what: str) -> None:
    network = Network(12, instances=0, settings=DEFAULTS._replace(busy_ms=500.0, **{what: 2}))
    source, refused = leader(network), 0
    for at in range(4):
        sender = events.Sender(f"x{at}", "1", f"x{at}")
        told = answers(
            source, sender, m.Subscribe(1, 1, 0, True, Subscription({"tenants": None})), 1.0
        )
        told += answers(source, sender, m.Compare(2, 1, 1), 1.0)
        refused += sum(isinstance(each, m.Refused) and each.reason == m.BUSY for each in told)
        busy = [
            each.retry_after_ms
            for each in told
            if isinstance(each, m.Refused) and each.reason == m.BUSY
        ]
        assert all(500 <= wait <= 1_000 for wait in busy)
    assert refused == 2


def test_only_a_relay_accepts_children() -> None:
    me = events.Peer("i1", "z", "r", "i1", "1")
    node = Node(me, ["v0"], Subscription({"tenants": None}), new_context(random.Random(1)))
    message = m.Subscribe(1, 1, 0, True, Subscription({"tenants": None}))
    effects = node.step(0.0, events.Received(events.Sender("i2", "1", "i2"), message))
    refusals = [each.message for each in effects if isinstance(each, SendTo)]
    assert [each.reason for each in refusals if isinstance(each, m.Refused)] == [m.NOT_A_RELAY]


def test_a_relay_serves_no_log_from_before_it_had_a_scope() -> None:
    network = Network(13, instances=1, subscription=lambda at: Subscription({"tenants": ["c0"]}))
    for at in range(4):
        network.publish([tenant("c0", "t", at), tenant("c1", "t", at)])
        network.run(network.now + 2_000)
    relay, told = network.node("i0"), list[m.Message]()
    assert relay.relay and relay.view.version == 4
    child = events.Sender("x", "1", "x")
    both = Subscription({"tenants": ["c0", "c1"]})
    network.step("i0", events.Received(child, m.Subscribe(1, 1, 2, False, both)))
    network.run(network.now + 2_000)
    assert relay.view.lookup("tenants", "c1/t") is not None
    for effect in relay.step(network.now, events.Received(child, m.Pull(2, 1, 2))):
        if isinstance(effect, SendTo):
            told.append(effect.message)
    assert told == [m.Refused(2, m.COMPACTED, 0)]


def test_a_delta_of_a_former_subscription_is_ignored() -> None:
    network = Network(14, instances=1, subscription=lambda at: Subscription({"tenants": ["c0"]}))
    network.publish([tenant("c0", "t", 1), tenant("c1", "t", 1)])
    network.run(5_000)
    node = network.node("i0")
    former = node._replica.generation
    network.step("i0", events.SubscriptionChanged(Subscription({"tenants": ["c0", "c1"]})))
    network.run(10_000)
    for generation, version in ((former, 1), (node._replica.generation, 2)):
        late = m.Delta(0, generation, 1, 2, 0, m.START, m.START, True, (), ())
        network.published.append(network.published[-1])
        network.step("i0", events.Received(events.Sender("v0", "1", "v0"), late))
        network.step("i0", events.Ticked())
        assert node.view.version == version


def test_no_step_reads_more_records_than_a_slice(monkeypatch: pytest.MonkeyPatch) -> None:
    read, most = [0], [0]

    def counted(table: Table, key: str, text: str) -> Mapping[str, Any]:
        read[0] += 1
        return read_value(table, key, text)

    class Counted(Network):
        def step(self, name: str, event: Any) -> None:
            read[0] = 0
            super().step(name, event)
            most[0] = max(most[0], read[0])

    network = Counted(16, instances=5)
    for module in (staging, fetching):
        monkeypatch.setattr(module, "read_value", counted)
    network.publish([tenant(f"c{at % 3}", f"t{at}", at) for at in range(3_000)])
    network.run(8_000)
    network.publish([tenant(f"c{at % 3}", f"t{at}", -at) for at in range(3_000)])
    network.run(16_000)
    network.assert_settled()
    assert 0 < most[0] <= DEFAULTS.slice_changes


def test_the_queue_of_deltas_is_bounded() -> None:
    network = Network(17, instances=1)
    network.run(3_000)
    node, value = network.node("i0"), canonical({"weight": 1, "class": "x" * 3_000})
    copy = node._replica.copy
    for version in range(2, 200):
        change = Change("tenants", f"c/t{version}", value)
        late = m.Delta(
            0,
            node._replica.generation,
            version,
            version + 1,
            0,
            m.START,
            m.START,
            True,
            (change,),
            (),
        )
        network.step("i0", events.Received(events.Sender("v0", "1", "v0"), late))
    assert 0 < copy._pending_bytes <= DEFAULTS.max_queue_bytes
    assert node.view.version == 0
