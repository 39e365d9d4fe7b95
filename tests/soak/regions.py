"""Two regions of the soak, one tenant that is bound to one of them, and its promises."""

from __future__ import annotations

import re

from tests.processes.platform.deployment import Deployment, TenantKeys
from tests.processes.platform.stand_ins import EngineStandIn
from tests.soak.evacuations import ZONES
from tests.soak.proxy import TEXT_PATTERN, Proxy
from tests.soak.records import Asked, input_of

ZONE_REGIONS = dict(zip(ZONES, ("east", "east", "west"), strict=True))
BOUND_REGIONS = ["east"]


def zone_of_node(name: str) -> str:
    """Return the zone of a node; the first ones of each role stand in both regions."""
    number = int(name.rpartition("-")[2])
    return ZONES[-1 - number % len(ZONES)]


def region_lines(name: str) -> list[str]:
    """Return the lines of a node's settings that tell regions."""
    regions = ", ".join(f'{zone} = "{region}"' for zone, region in ZONE_REGIONS.items())
    own = ZONE_REGIONS[zone_of_node(name)]
    return [f'region = "{own}"', f"zone_regions = {{ {regions} }}"]


def outside_regions(
    deployment: Deployment, proxies: dict[str, Proxy], asked: list[Asked]
) -> list[str]:
    """Return where a request, or the text of a turn, of a bound tenant went that it may not.

    The files are those that the storage nodes have at the end. Connections between nodes pass no
    proxy, so of connections only those to engines and to the key-value service are seen.
    """
    regions = _bound_regions(deployment.tenants)
    bound = {item.request_id: regions[item.tenant] for item in asked if item.tenant in regions}
    texts = {input_of(request_id): allowed for request_id, allowed in bound.items()}
    found = []
    for engine in (*deployment.models, *deployment.apps):
        region = ZONE_REGIONS[deployment.engine_zones[engine.engine_id]]
        found.extend(_wrongly_run(engine, region, bound))
        sent = proxies[engine.engine_id].texts
        found.extend(_wrong_texts(f"{engine.engine_id} was sent", sent, region, texts))
    found.extend(_wrong_texts("the store was sent", proxies["store"].texts, "", texts))
    for process in deployment.storage:
        region = ZONE_REGIONS[zone_of_node(process.name)]
        for path in sorted(deployment.data_folder(process).glob("*")):
            stored = set(re.findall(TEXT_PATTERN, path.read_bytes()))
            place = f"{process.name} has in {path.name}"
            found.extend(_wrong_texts(place, stored, region, texts))
    return found


def _bound_regions(tenants: list[TenantKeys]) -> dict[str, list[str]]:
    return {tenant.name: tenant.allowed_regions for tenant in tenants if tenant.allowed_regions}


def _wrongly_run(engine: EngineStandIn, region: str, bound: dict[str, list[str]]) -> list[str]:
    return [
        f"{request.request_id}, bound to {bound[request.request_id]}, ran on {engine.engine_id}"
        for request in engine.seen
        if request.request_id in bound and region not in bound[request.request_id]
    ]


def _wrong_texts(
    place: str, seen: set[bytes], region: str, texts: dict[bytes, list[str]]
) -> list[str]:
    return [
        f"{place} {text.decode()}, bound to {texts[text]}"
        for text in sorted(seen)
        if text in texts and region not in texts[text]
    ]
