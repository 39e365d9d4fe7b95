"""Ready-made deployments: the two of the brief."""

from __future__ import annotations

import msgspec

from yokeline.simulation.network import Latencies


class World(msgspec.Struct, frozen=True, kw_only=True):
    """Size and shape of a deployment.

    Attributes:
        nodes: Yokeline nodes, spread over the zones in turn.
        nodes_with_files: How many of them have a data folder.
        engines: Model engines.
        apps: App engines (one service address each).
        tools: Tool services.
        shards: Shards; few, so that a seed takes seconds.
        tenants: Names of the tenants.
    """

    name: str
    zones: tuple[str, ...]
    latencies: Latencies
    nodes: int
    nodes_with_files: int = 2
    engines: int
    apps: int
    tools: int = 2
    shards: int = 8
    replicas: int = 5
    tenants: tuple[str, ...]


DALLIM = World(
    name="dallim",
    zones=("zone-1", "zone-2", "zone-3"),
    latencies=Latencies(between_zones=0.001_5, to_clients=0.001),
    nodes=6,
    engines=6,
    apps=3,
    tenants=("team-finish", "team-roster"),
)
"""Dallim Records: three zones in one region."""

HARVEST = World(
    name="harvest",
    zones=("zone-1", "zone-2", "zone-3", "zone-4"),
    latencies=Latencies(between_zones=0.000_5, to_clients=0.003),
    nodes=8,
    engines=7,
    apps=4,
    tenants=("vineyard", "cellar"),
)
"""Harvest Records Division: four zones in one region."""

WORLDS: dict[str, World] = {world.name: world for world in (DALLIM, HARVEST)}
