"""Replicas over a faulty network: all of them converge on the published contents.

Guards against views that mix versions, and against replicas that never catch up after lost
messages, cut links, restarts or a changed subscription.
"""

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from pumicenotch.distribution.data.changelog import ChangeLog
from pumicenotch.distribution.data.records import Change
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.events import SubscriptionChanged
from tests.distribution.network import Network, Weather, tenant

HEAVY_FAULTS = Weather(delay_ms=(0.5, 60.0), loss=0.2, doubled=0.1)


def test_a_publication_reaches_all_in_time() -> None:
    network = Network(1, voters=3, zones=2, instances=12)
    network.run(3_000)
    network.publish([tenant("c1", "a", 1)])
    network.run(3_500)
    network.assert_settled()
    assert sum(node.relay for node in network.nodes().values()) == 6


def test_a_burst_of_fifty_is_in_force_within_three_seconds() -> None:
    network = Network(2, zones=1, instances=10)
    network.run(3_000)
    for number in range(50):
        network.publish([tenant("c1", f"t{number}", number)])
    network.run(6_000)
    network.assert_settled()


def test_a_replica_that_missed_two_hundred_versions_is_current_within_five_seconds() -> None:
    network = Network(3, instances=6, log=lambda: ChangeLog(max_entries=50))
    network.run(3_000)
    network.cut = {"i0", "i1", "i2"}
    for number in range(200):
        network.publish([tenant(f"c{number % 7}", f"t{number}", number)])
    network.run(30_000)
    assert network.node("i0").view.version == 0
    assert network.node("i0").age_ms(network.now) > 20_000
    network.cut = set()
    network.run(35_000)
    network.assert_settled()


def test_the_failure_of_a_relay_is_survived_quickly() -> None:
    network = Network(4, instances=9)
    network.run(3_000)
    relay = next(name for name, node in network.nodes().items() if node.relay)
    # The relay fails without notice to its peers.
    del network.reducers[relay]
    network.publish([tenant("c1", "a", 1)])
    network.run(6_000)
    network.assert_settled()


SUBSCRIPTIONS = [Subscription({"tenants": scopes}) for scopes in (None, ["c0"], ["c1", "c2"])]


def run_actions(seed: int, actions: list[tuple[str, int]], weather: Weather) -> Network:
    network = Network(
        seed,
        voters=2,
        instances=5,
        weather=weather,
        log=lambda: ChangeLog(max_entries=4),
        subscription=lambda position: SUBSCRIPTIONS[position % 3],
    )
    network.run(1_500)
    for action, index in actions:
        perform(network, action, index)
        network.run(network.now + 150 + 37 * index)
    network.weather, network.cut = Weather(), set()
    for name in network.peers:
        if name not in network.reducers:
            network.start_instance(name)
    network.run(network.now + 15_000)
    return network


def perform(network: Network, action: str, index: int) -> None:
    name = f"i{index % 5}"
    if action == "put":
        network.publish([tenant(f"c{index % 3}", f"t{index % 4}", network.serial)])
    elif action == "drop":
        network.publish([Change("tenants", f"c{index % 3}/t{index % 4}", None)])
    elif action == "bulk":
        network.publish(
            [tenant(f"c{number % 3}", f"bulk{number}-{index}", number) for number in range(900)]
        )
    elif action == "subscribe":
        network.subscriptions[name] = SUBSCRIPTIONS[index // 5]
        network.step(name, SubscriptionChanged(network.subscriptions[name]))
    elif action == "cut":
        network.cut ^= {name}
    elif action == "crash" and name in network.reducers:
        network.stop(name)
    elif action == "crash":
        network.start_instance(name)


ACTIONS = st.tuples(
    st.sampled_from(["put", "put", "drop", "bulk", "cut", "crash", "subscribe"]), st.integers(0, 14)
)


@settings(max_examples=25, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(st.integers(0, 10_000), st.lists(ACTIONS, min_size=1, max_size=12))
def test_all_replicas_converge_on_what_was_published(
    seed: int, actions: list[tuple[str, int]]
) -> None:
    run_actions(seed, actions, HEAVY_FAULTS).assert_settled()
