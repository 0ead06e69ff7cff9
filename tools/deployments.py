"""Two example deployments: failure domains, hosts, replicas, workspaces and delays."""

from typing import NamedTuple


class ReplicaGroup(NamedTuple):
    """The replicas of a service in one failure domain."""

    service: str
    domain: str
    count: int


class Deployment(NamedTuple):
    """The layout of a deployment; delays are one way, in milliseconds.

    `regions` maps each failure domain to its region, `hosts` to its number of hosts,
    and `workspaces` maps each workspace to its home domain. `weights` are the policy
    weights for tail latency, cost and calls served away from home.
    """

    name: str
    regions: dict[str, str]
    hosts: dict[str, int]
    replicas: tuple[ReplicaGroup, ...]
    model_service: str
    plain_service: str
    model: str
    workspaces: dict[str, str]
    store_region: str
    domain_delay_ms: float
    region_delay_ms: float
    client_delay_ms: float
    weights: tuple[float, float, float]


COOPERATIVA = Deployment(
    name="cooperativa",
    regions={"serra-a": "serra", "campos-a": "campos", "planalto-a": "planalto"},
    hosts={"serra-a": 3, "campos-a": 2, "planalto-a": 2},
    replicas=(
        ReplicaGroup("cellar-questions", "serra-a", 2),
        ReplicaGroup("cellar-questions", "campos-a", 2),
        ReplicaGroup("cellar-questions", "planalto-a", 1),
        ReplicaGroup("app-prensa", "serra-a", 1),
        ReplicaGroup("app-prensa", "campos-a", 1),
        ReplicaGroup("app-prensa", "planalto-a", 1),
    ),
    model_service="cellar-questions",
    plain_service="app-prensa",
    model="modelo-pomar",
    workspaces={
        "press-serra": "serra-a",
        "press-campos": "campos-a",
        "press-planalto": "planalto-a",
    },
    store_region="serra",
    domain_delay_ms=4.0,
    region_delay_ms=80.0,
    client_delay_ms=1.0,
    weights=(4.0, 1.0, 1.0),
)

ATLAS = Deployment(
    name="atlas",
    regions={"fes-a": "fes", "casa-a": "casa", "agadir-a": "agadir"},
    hosts={"fes-a": 2, "casa-a": 2, "agadir-a": 2},
    replicas=(
        ReplicaGroup("quote-chat", "fes-a", 3),
        ReplicaGroup("quote-chat", "casa-a", 2),
        ReplicaGroup("quote-chat", "agadir-a", 1),
        ReplicaGroup("order-desk", "fes-a", 1),
        ReplicaGroup("order-desk", "casa-a", 1),
        ReplicaGroup("order-desk", "agadir-a", 1),
    ),
    model_service="quote-chat",
    plain_service="order-desk",
    model="keel-llm",
    workspaces={
        "shop-fes": "fes-a",
        "shop-casa": "casa-a",
        "shop-agadir": "agadir-a",
    },
    store_region="fes",
    domain_delay_ms=3.0,
    region_delay_ms=80.0,
    client_delay_ms=1.0,
    weights=(1.0, 3.0, 3.0),
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (COOPERATIVA, ATLAS)}
