"""Faults at one instance: it keeps its last verified view, reports the error and recovers.

The faults are unreadable records, corrupted memory, lost sources, overload and late messages.
"""

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

NEWER_TABLES = {**TABLES, "tenants": TABLES["tenants"]._replace(form=2)}


def tables_with_one_older_program(index: int) -> dict[str, Table]:
    """Returns the tables of an older program for instance 1, and of a newer one for the others."""
    return dict(TABLES if index == 1 else NEWER_TABLES)


def leader(network: Network) -> VoterSource:
    reducer = network.reducers["v0"]
    assert isinstance(reducer, VoterSource)
    return reducer


def test_an_older_program_keeps_the_last_readable_version_and_is_named_in_the_status() -> None:
    network = Network(1, instances=6, tables=tables_with_one_older_program)
    for publications in network.publications.values():
        publications.tables = NEWER_TABLES
    network.publish([tenant("c", "a", 1)])
    network.run(5_000)
    network.publish(
        [Change("tenants", "c/new", canonical({"form": 2, "weight": 1})), tenant("c", "a", 2)]
    )
    network.run(15_000)
    older_node = network.node("i1")
    assert (
        older_node.view.version == 1 and older_node.view.lookup("tenants", "c/a") == '{"weight":1}'
    )
    assert isinstance(
        older_node.error, errors.UnreadableFormError
    ) and "upgrade this instance" in str(older_node.error)
    assert all(node.view.version == 2 for name, node in network.nodes().items() if name != "i1")
    status = leader(network).status(network.now, network.peers)
    assert (status["copies"], status["in_force"], status["missing"]) == (6, 5, [])
    assert [(problem["name"], problem["code"]) for problem in status["behind"]] == [
        ("i1", "unreadable-form")
    ]
    # Without the record, the older program can read the newest version again.
    network.publish([Change("tenants", "c/new", None)])
    network.run(25_000)
    network.assert_settled()
    assert older_node.error is None


def test_relays_that_cannot_read_a_record_do_not_delay_newer_programs() -> None:
    relays = {
        name for name, node in run_start_up(Network(1, instances=8)).nodes().items() if node.relay
    }
    network = Network(
        1, instances=8, tables=lambda index: dict(TABLES if f"i{index}" in relays else NEWER_TABLES)
    )
    for publications in network.publications.values():
        publications.tables = NEWER_TABLES
    run_start_up(network).publish([Change("tenants", "c/new", canonical({"form": 2, "weight": 1}))])
    network.run(network.now + 6_000)
    versions = {name: node.view.version for name, node in network.nodes().items()}
    assert versions == {name: int(name not in relays) for name in network.peers}


def run_start_up(network: Network) -> Network:
    network.run(5_000)
    return network


def corrupt(node: Node, key: str, value: str) -> None:
    """Changes a record in memory without its digest, like a memory fault."""
    scope, _, name = key.partition("/")
    stored_scope = node.view.find(ScopeId("tenants", scope))
    assert stored_scope is not None
    stored_scope.records[name] = value


def test_a_corrupted_scope_is_found_by_an_audit_and_repaired() -> None:
    network = Network(2, instances=5, settings=DEFAULTS._replace(audit_ms=1_000.0))
    network.publish([tenant(f"c{index % 3}", f"t{index}", index) for index in range(600)])
    network.run(5_000)
    corrupt(network.node("i2"), "c1/t4", '{"weight":666}')
    network.run(20_000)
    network.assert_settled()
    counts = network.node("i2").counts
    assert counts["digest-mismatch"] == 1 and counts["transfers"] >= 2
    assert network.node("i2").error is None


def test_a_scope_that_differs_from_the_source_is_found_by_a_check_and_repaired() -> None:
    network = Network(3, instances=5, settings=DEFAULTS._replace(audit_ms=1_000.0))
    network.publish([tenant("c", f"t{index}", index) for index in range(10)])
    network.run(5_000)
    node = network.node("i2")
    corrupt(node, "c/t4", '{"weight":666}')
    stored_scope = node.view.find(ScopeId("tenants", "c"))
    assert stored_scope is not None
    # The digest matches the corrupted record, so that only a comparison detects the fault.
    stored_scope.digest = stored_scope.compute_digest(ScopeId("tenants", "c"))
    network.run(20_000)
    network.assert_settled()


def test_a_corrupted_scope_is_found_when_a_delta_changes_it() -> None:
    network = Network(4, instances=5, settings=DEFAULTS._replace(audit_ms=1e9))
    network.publish([tenant("c", f"t{index}", index) for index in range(10)])
    network.run(5_000)
    corrupt(network.node("i2"), "c/t4", '{"weight":666}')
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
    for name in network.publications:
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
    network = Network(8, instances=5, subscription=lambda index: Subscription({"tenants": ["c1"]}))
    network.publish([tenant(f"c{index % 3}", f"t{index}", index) for index in range(30)])
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
    network = Network(
        9, instances=6, subscription=lambda index: Subscription({"tenants": [f"c{index}"]})
    )
    network.publish([tenant(f"c{index}", "t", index) for index in range(20)])
    network.run(6_000)
    network.assert_settled()
    for node in network.nodes().values():
        scopes = {scope for _, scope in node.view.scope_ids()}
        assert scopes <= {f"c{index}" for index in range(6)}
        assert node.relay or len(scopes) == 1


def test_a_relay_that_is_replaced_lingers_and_then_dismisses_its_children() -> None:
    network = Network(10, instances=8)
    network.run(5_000)
    former = {name for name, node in network.nodes().items() if node.relay}
    joined = 0
    while former <= {
        name for name, node in network.nodes().items() if node._placement._zone.is_relay()
    }:
        # Instances join until one of them replaces a former relay.
        joined += 1
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


def step_and_collect_messages(
    source: VoterSource, sender: events.Sender, message: m.Message, now: float
) -> list[m.Message]:
    effects = source.step(now, events.Received(sender, message))
    return [effect.message for effect in effects if isinstance(effect, SendTo)]


def test_a_pull_without_a_subscription_is_refused() -> None:
    source, sender = child_of_a_voter()
    assert step_and_collect_messages(source, sender, m.Pull(7, 1, 0), 1.0) == [
        m.Refused(7, m.UNKNOWN_CHILD, 0)
    ]
    assert step_and_collect_messages(source, sender, m.Unsubscribe(), 1.0) == []


def test_a_transfer_is_kept_until_the_child_ends_it() -> None:
    network = Network(15, instances=0, settings=DEFAULTS._replace(page_scopes=1))
    network.publish([tenant("c0", "t", 1), tenant("c1", "t", 1)])
    network.run(1_000)
    source, sender = leader(network), events.Sender("x", "1", "x")
    step_and_collect_messages(
        source, sender, m.Subscribe(1, 1, 1, True, Subscription({"tenants": None})), 1.0
    )
    (first,) = step_and_collect_messages(source, sender, m.Compare(2, 1, 5), 1.0)
    assert isinstance(first, m.Scopes) and not first.done
    report = own_report("x", 1, 1, "")
    assert step_and_collect_messages(source, sender, m.Acknowledge(1, True, report), 1.0) == []
    following = m.Compare(3, 1, 5, ScopeId("tenants", "c0"))
    (second,) = step_and_collect_messages(source, sender, following, 1.0)
    assert isinstance(second, m.Scopes) and second.done and second.version == first.version
    step_and_collect_messages(source, sender, m.EndTransfer(5), 1.0)
    assert step_and_collect_messages(source, sender, following, 1.0) == [
        m.Refused(3, m.NO_TRANSFER, 0)
    ]


@pytest.mark.parametrize("limit", ["max_children", "max_transfers"])
def test_too_many_at_once_are_refused_with_a_retry_after(limit: str) -> None:
    network = Network(12, instances=0, settings=DEFAULTS._replace(busy_ms=500.0, **{limit: 2}))
    source, refused = leader(network), 0
    for index in range(4):
        sender = events.Sender(f"x{index}", "1", f"x{index}")
        replies = step_and_collect_messages(
            source, sender, m.Subscribe(1, 1, 0, True, Subscription({"tenants": None})), 1.0
        )
        replies += step_and_collect_messages(source, sender, m.Compare(2, 1, 1), 1.0)
        refused += sum(isinstance(reply, m.Refused) and reply.reason == m.BUSY for reply in replies)
        busy = [
            reply.retry_after_ms
            for reply in replies
            if isinstance(reply, m.Refused) and reply.reason == m.BUSY
        ]
        assert all(500 <= wait <= 1_000 for wait in busy)
    assert refused == 2


def test_only_a_relay_accepts_children() -> None:
    me = events.Peer("i1", "z", "r", "i1", "1")
    node = Node(me, ["v0"], Subscription({"tenants": None}), new_context(random.Random(1)))
    message = m.Subscribe(1, 1, 0, True, Subscription({"tenants": None}))
    effects = node.step(0.0, events.Received(events.Sender("i2", "1", "i2"), message))
    refusals = [effect.message for effect in effects if isinstance(effect, SendTo)]
    assert [reply.reason for reply in refusals if isinstance(reply, m.Refused)] == [m.NOT_A_RELAY]


def test_a_relay_serves_no_log_from_before_it_had_a_scope() -> None:
    network = Network(13, instances=1, subscription=lambda index: Subscription({"tenants": ["c0"]}))
    for index in range(4):
        network.publish([tenant("c0", "t", index), tenant("c1", "t", index)])
        network.run(network.now + 2_000)
    relay, replies = network.node("i0"), list[m.Message]()
    assert relay.relay and relay.view.version == 4
    child = events.Sender("x", "1", "x")
    both = Subscription({"tenants": ["c0", "c1"]})
    network.step("i0", events.Received(child, m.Subscribe(1, 1, 2, False, both)))
    network.run(network.now + 2_000)
    assert relay.view.lookup("tenants", "c1/t") is not None
    for effect in relay.step(network.now, events.Received(child, m.Pull(2, 1, 2))):
        if isinstance(effect, SendTo):
            replies.append(effect.message)
    assert replies == [m.Refused(2, m.COMPACTED, 0)]


def test_a_delta_of_a_former_subscription_is_ignored() -> None:
    network = Network(14, instances=1, subscription=lambda index: Subscription({"tenants": ["c0"]}))
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
    records_read, max_records_read = [0], [0]

    def count_and_read(table: Table, key: str, text: str) -> Mapping[str, Any]:
        records_read[0] += 1
        return read_value(table, key, text)

    class CountingNetwork(Network):
        def step(self, name: str, event: Any) -> None:
            records_read[0] = 0
            super().step(name, event)
            max_records_read[0] = max(max_records_read[0], records_read[0])

    network = CountingNetwork(16, instances=5)
    for module in (staging, fetching):
        monkeypatch.setattr(module, "read_value", count_and_read)
    network.publish([tenant(f"c{index % 3}", f"t{index}", index) for index in range(3_000)])
    network.run(8_000)
    network.publish([tenant(f"c{index % 3}", f"t{index}", -index) for index in range(3_000)])
    network.run(16_000)
    network.assert_settled()
    assert 0 < max_records_read[0] <= DEFAULTS.slice_changes


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
