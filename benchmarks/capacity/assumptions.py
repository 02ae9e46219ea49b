"""The size that is planned for, the budgets, and what has to be assumed between them. All of it stands here
and nowhere else; docs/CAPACITY.md prints it.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class Assumption:
    name: str
    value: float
    unit: str
    why: str


def given(
    name: str, value: float, unit: str, why: str = "the operators' size (issue 43)"
) -> Assumption:
    return Assumption(name, value, unit, why)


SERVERS = given("servers", 2500, "servers")
CALLERS = given("callers", 37_000, "processes")
SERVICES = given("services", 1200, "services")
ROUTES = given("routes", 40_000, "records")
TENANTS = given("tenants", 54_000, "tenants")
REGIONS = given("regions", 7, "regions")
ZONES = given("zones", 20, "zones")
REQUESTS = given("requests at the peak", 320_000, "requests/s")
CHANGES = given("changes of configuration", 1600, "a day")
FAILURES = given("machines that fail", 120, "a day")
RESTARTS = given("servers restarted or replaced", 2900, "a day")
CONTROL_MACHINES = given("machines for control", 10, "machines")

PROCESSOR = given("control at a server, processor", 0.013, "of a core", "the operators' budget")
MEMORY = given("control at a server, memory", 128 * 1024 * 1024, "bytes", "the operators' budget")
TRAFFIC = given(
    "control at a server, traffic", 6 * 1024, "bytes/s", "the operators' budget; sent and received"
)
STEP = given(
    "longest step for control", 1.0, "ms", "the operators' bound; 3.9 ms may be added to a request"
)
ADDED = given("added to a request, 99 in 100", 3.9, "ms", "the operators' bound")
LEADER = given("leader, processor", 1.0, "of a core", "the operators' bound: under one core")
IN_FORCE = given("a change in force everywhere", 3000.0, "ms", "the operators' bound")
REJOINED = given(
    "a replica that comes back is current", 5000.0, "ms", "the operators' bound (issue 43)"
)

UNEVEN = Assumption(
    "the busiest server against the mean",
    2.0,
    "times",
    "services differ in load and balancers spread unevenly; not measured yet, so that twice is planned for",
)
CALLERS_AT_SERVER = Assumption(
    "callers connected to one server",
    1000.0,
    "connections",
    "a caller calls some of 1,200 services; 37,000 callers with about 67 servers each make 1,000 a server;"
    " to be replaced by a count from the deployment",
)
ACTIVE = Assumption(
    "tenants active at one server in a second",
    256.0,
    "tenants",
    "at most one for each request: 128 requests/s in the mean, twice that at the busiest",
)
SERVERS_A_CELL = Assumption(
    "servers of a cell", 8.0, "servers", "as in benchmarks/cells.py: two for each of four zones"
)
TENANTS_AT_SERVER = Assumption(
    "tenants whose records one server needs",
    54_000 / 2500 * 8,
    "tenants",
    "tenants spread evenly over cells of 8 servers: 54,000 / 2,500 x 8",
)
ROUTES_AT_SERVER = Assumption(
    "routes that one server needs",
    40_000 / 1200 * 2,
    "records",
    "routes spread evenly over services, two services at a server: 40,000 / 1,200 x 2",
)
RACK = Assumption("a rack", 40.0, "servers", "the operators' figure: 40 at once (issue 43)")
SWITCH = Assumption("behind one switch", 80.0, "servers", "two racks; the operators name no figure")
ZONE = Assumption("a zone", 125.0, "servers", "2,500 servers in 20 zones")
ROUTERS = Assumption(
    "routers", 250.0, "processes", "one for ten servers; the operators name no figure"
)
RUN = Assumption("a request at work", 20.0, "ms", "only its rate and count matter for control")
CORES = Assumption(
    "cores of a server", 16.0, "cores", "two for each of eight requests that run at a time"
)
SOCKETS = Assumption(
    "descriptors of a server",
    65_536.0,
    "descriptors",
    "a usual limit of a service unit; half go to callers",
)

SIZE = (
    SERVERS,
    CALLERS,
    SERVICES,
    ROUTES,
    TENANTS,
    REGIONS,
    ZONES,
    REQUESTS,
    CHANGES,
    FAILURES,
    RESTARTS,
    CONTROL_MACHINES,
)
BUDGETS = (PROCESSOR, MEMORY, TRAFFIC, STEP, ADDED, LEADER, IN_FORCE, REJOINED)
ASSUMED = (
    UNEVEN,
    CALLERS_AT_SERVER,
    ACTIVE,
    SERVERS_A_CELL,
    TENANTS_AT_SERVER,
    ROUTES_AT_SERVER,
    RACK,
    SWITCH,
    ZONE,
    ROUTERS,
    RUN,
    CORES,
    SOCKETS,
)

EVENTS = (  # of a bad hour; they grow with the servers of the fleet
    "rack_lost",
    "switch_lost",
    "zone_lost",
    "region_cut",
    "zone_returning",
    "zone_joining",
    "rolling_restarts",
)
TARGETS: dict[str, float] = {  # what each size grows to
    "servers": SERVERS.value,
    "callers": CALLERS_AT_SERVER.value,
    "services": SERVICES.value,
    "routes": ROUTES.value,
    "tenants_known": TENANTS.value,
    "tenants_seen": TENANTS.value,  # without cells a server sees all of them in time
    "tenants_active": ACTIVE.value,
    "tenants_held": TENANTS_AT_SERVER.value,
    "zones": ZONES.value,
    "requests_per_s": REQUESTS.value / SERVERS.value * UNEVEN.value,
    "changes_per_s": CHANGES.value / 86_400.0,
    "changes_per_day": CHANGES.value,
    "failures_per_day": FAILURES.value,
    "restarts_per_day": RESTARTS.value,
    "children": SERVERS.value / ZONES.value,
    "records_per_publication": TENANTS.value,
    **dict.fromkeys(EVENTS, SERVERS.value),
}
TARGETS_OF_ROLE: dict[tuple[str, str], float] = {  # where a role's own share is another
    ("router", "requests_per_s"): REQUESTS.value / ROUTERS.value * UNEVEN.value,
    ("router", "callers"): CALLERS.value / ROUTERS.value * UNEVEN.value,
}


def target(role: str, by: str) -> float:
    return TARGETS_OF_ROLE.get((role, by), TARGETS[by])
