"""Guards against an instance that may not be a relay being counted among its zone's relays."""

from pumicenotch.distribution.events import Peer
from pumicenotch.distribution.replica.zone import Zone


def peer(name: str) -> Peer:
    return Peer(name, "z", "r", f"{name}:1", "life")


def test_an_instance_that_is_not_eligible_is_no_relay_even_alone() -> None:
    zone = Zone(peer("n0"), 3, eligible=False)
    assert not zone.is_relay() and zone.relays() == []
    zone.update_peer(peer("n1"))
    assert not zone.is_relay() and zone.relays() == ["n1:1"]


def test_an_instance_that_is_not_eligible_does_not_count_itself_among_the_relays() -> None:
    zone = Zone(peer("n0"), 2, eligible=False)
    for name in ("n1", "n2", "n3"):
        zone.update_peer(peer(name))
    assert len(zone.relays()) == 2 and "n0:1" not in zone.relays()
