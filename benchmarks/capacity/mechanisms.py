"""What carries each cost at the size: a file and a name, or what is missing."""

from typing import NamedTuple

MISSING = "missing"
FORMER = {  # roles as they were before a mechanism, and the commit that they were measured on
    "server.decisions.before": "ff3e199",
}


class Mechanism(NamedTuple):
    """Of the rows of a role, by what grows and measure; an empty text stands for any."""

    role: str
    by: str
    measure: str
    text: str


MECHANISMS = (
    Mechanism(
        "server.decisions",
        "tenants_known",
        "",
        "`control/` `TenantQueues`, `SlotShares`: a tenant costs from its first request on",
    ),
    Mechanism(
        "server.decisions",
        "tenants_seen",
        "longest_step",
        f"{MISSING}: `control/slot_shares.py` `SlotShares` adds up all tenants' weights where a share has changed",
    ),
    Mechanism(
        "server.decisions",
        "",
        "",
        "`control/fair_scheduler.py` `FairScheduler.on_sample`: only active tenants are gone over",
    ),
    Mechanism(
        "server.decisions.before", "", "", "replaced: the sample went over all known tenants"
    ),
    Mechanism(
        "server.connections",
        "",
        "",
        "`server/gateway_connections.py` `GatewayConnections.sweep`, four times a second",
    ),
    Mechanism(
        "server.configuration", "", "start", "`cells/map.py` `load`, before the server serves"
    ),
    Mechanism(
        "server.configuration", "", "state", "`cells/map.py` `CellMap`: the whole fleet's map"
    ),
    Mechanism("server.configuration", "", "text", "`cells/map.py` `dump`"),
    Mechanism(
        "server.configuration",
        "",
        "",
        "`distribution/node.py` `Node` in its place, with a block `distribution`; whole files else",
    ),
    Mechanism(
        "distribution.replica",
        "",
        "",
        "`distribution/replica/replica.py` `Replica`, by its subscription",
    ),
    Mechanism(
        "distribution.relay",
        "",
        "",
        "`distribution/source/source.py` `Source`, three relays a zone",
    ),
    Mechanism(
        "distribution.voter",
        "",
        "",
        "`distribution/source/voter_source.py`, `distribution/publications/book.py`",
    ),
    Mechanism("server.process", "", "", "the parts below, held together"),
    Mechanism(
        "server.membership",
        "servers",
        "traffic",
        f"{MISSING}: `membership/full_state.py` `FullStateExchange` sends and gets everything each 15 s",
    ),
    Mechanism(
        "server.membership",
        "servers",
        "longest_step",
        f"{MISSING}: `membership/swim.py` `_begin_period` sorts and sends all in one step",
    ),
    Mechanism(
        "server.membership",
        "",
        "traffic",
        f"{MISSING}: `membership/full_state.py` `FullStateExchange`, at 640 servers",
    ),
    Mechanism(
        "server.membership",
        "",
        "",
        "`membership/swim.py` `MAX_GOSSIP_UPDATES`: 12 updates a message",
    ),
    Mechanism(
        "server.agreement", "", "", "`fleet/voter/proposals.py` `ProposerNode.heartbeat_interval`"
    ),
    Mechanism(
        "voter.leader",
        "servers",
        "traffic",
        "`membership/full_state.py` `FullStateExchange`: as n squared",
    ),
    Mechanism(
        "voter.follower",
        "servers",
        "",
        "`membership/full_state.py` `FullStateExchange`: as n squared",
    ),
    Mechanism(
        "voter.leader",
        "",
        "",
        "`fleet/voter/proposals.py` `heartbeat_interval`; `consensus/voter.py`",
    ),
    Mechanism(
        "voter.follower",
        "",
        "",
        "`consensus/replication.py` `LogReplication.on_append_entries`; `fleet/replicated/state.py` `FleetState.apply`",
    ),
    Mechanism(
        "agent", "", "", "`fleet/agent/agent.py` `Agent.on_hint`: at the pace that the leader names"
    ),
    Mechanism(
        "router", "tenants_known", "start", "`cells/map.py` `load`, before the router serves"
    ),
    Mechanism(
        "router.configuration",
        "",
        "",
        f"{MISSING}: whole files, read in one piece in the event loop (`route/__main__.py` `maps`)",
    ),
    Mechanism(
        "router.dials",
        "",
        "",
        f"{MISSING}: `route/__main__.py` `address_of` goes over all nodes and tenants for each dial",
    ),
    Mechanism(
        "router", "", "", "`route/decide.py` `Router.onward`; `cells/place.py` `unit`, remembered"
    ),
)


def mechanism(role: str, by: str, measure: str) -> str:
    for each in MECHANISMS:
        if each.role == role and each.by in ("", by) and each.measure in ("", measure):
            return each.text
    return MISSING
