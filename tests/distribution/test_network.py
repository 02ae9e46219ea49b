"""Replicas over a network that does its worst: in the end all have what was published, and never anything
else on the way.
"""

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from pumicenotch.distribution.data.changelog import ChangeLog
from pumicenotch.distribution.data.records import Change
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.events import SubscriptionChanged
from tests.distribution.network import Network, Weather, tenant

STORM = Weather(delay_ms=(0.5, 60.0), loss=0.2, doubled=0.1)


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
    for at in range(50):
        network.publish([tenant("c1", f"t{at}", at)])
    network.run(6_000)
    network.assert_settled()


def test_a_replica_that_missed_two_hundred_versions_is_current_within_five_seconds() -> None:
    network = Network(3, instances=6, log=lambda: ChangeLog(max_entries=50))
    network.run(3_000)
    network.cut = {"i0", "i1", "i2"}
    for at in range(200):
        network.publish([tenant(f"c{at % 7}", f"t{at}", at)])
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
    del network.reducers[relay]  # nobody is told
    network.publish([tenant("c1", "a", 1)])
    network.run(6_000)
    network.assert_settled()


SUBSCRIPTIONS = [Subscription({"tenants": scopes}) for scopes in (None, ["c0"], ["c1", "c2"])]


def run_script(seed: int, script: list[tuple[str, int]], weather: Weather) -> Network:
    network = Network(
        seed,
        voters=2,
        instances=5,
        weather=weather,
        log=lambda: ChangeLog(max_entries=4),
        subscription=lambda at: SUBSCRIPTIONS[at % 3],
    )
    network.run(1_500)
    for what, which in script:
        act(network, what, which)
        network.run(network.now + 150 + 37 * which)
    network.weather, network.cut = Weather(), set()
    for name in network.peers:
        if name not in network.reducers:
            network.start_instance(name)
    network.run(network.now + 15_000)
    return network


def act(network: Network, what: str, which: int) -> None:
    name = f"i{which % 5}"
    if what == "put":
        network.publish([tenant(f"c{which % 3}", f"t{which % 4}", network.serial)])
    elif what == "drop":
        network.publish([Change("tenants", f"c{which % 3}/t{which % 4}", None)])
    elif what == "bulk":
        network.publish([tenant(f"c{at % 3}", f"bulk{at}-{which}", at) for at in range(900)])
    elif what == "subscribe":
        network.subscriptions[name] = SUBSCRIPTIONS[which // 5]
        network.step(name, SubscriptionChanged(network.subscriptions[name]))
    elif what == "cut":
        network.cut ^= {name}
    elif what == "crash" and name in network.reducers:
        network.stop(name)
    elif what == "crash":
        network.start_instance(name)


STEPS = st.tuples(
    st.sampled_from(["put", "put", "drop", "bulk", "cut", "crash", "subscribe"]), st.integers(0, 14)
)


@settings(max_examples=25, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(st.integers(0, 10_000), st.lists(STEPS, min_size=1, max_size=12))
def test_all_replicas_converge_on_what_was_published(
    seed: int, script: list[tuple[str, int]]
) -> None:
    run_script(seed, script, STORM).assert_settled()
