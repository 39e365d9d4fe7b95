"""Data residency at a forwarding node: the regions of requests, and what may be kept where.

A restricted request is served by engines of its regions only. The node to which the client has
connected holds the request in any case; it caches texts only if its own region is allowed.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from yokeline.forwarding.engines import EngineState
from yokeline.forwarding.exchange import Exchange
from yokeline.forwarding.model import Call, Route, RoutingTable
from yokeline.forwarding.tenants import Tenant
from yokeline.scheduling.data_residency import RegionRestriction, allowed_regions, both

NO_ENGINE_IN_REGIONS = "no_engine_in_allowed_regions"
"""Refusal reason: no engine of the pool is in a region that the route and the tenant allow."""
CANNOT_KEEP_IN_REGIONS = "no_storage_in_allowed_regions"
"""Refusal reason: the turn is to be kept, and its text would leave the allowed regions."""


class DataResidency:
    """Regions of one node's requests.

    Attributes:
        restriction: The restriction on engine choices. It becomes active with the first
            configuration that restricts, and remains so: requests under way and kept turns stay
            bound when a later configuration restricts nothing.
    """

    def __init__(self, region: str = "", zone_regions: Mapping[str, str] | None = None) -> None:
        """Serve a node in ``region``; empty if its region is not known."""
        self.restriction = RegionRestriction(zone_regions or {})
        self._region = region
        self._regions = frozenset((zone_regions or {}).values())
        self._storage_regions: frozenset[str] = frozenset()

    @property
    def is_active(self) -> bool:
        """Whether any request may be restricted."""
        return self.restriction.is_active

    def activate(self) -> None:
        """Check choices from now on, because a request continues a restricted turn."""
        self.restriction.is_active = True

    def set_storage_zones(self, zones: Iterable[str]) -> None:
        """Set the zones of the storage nodes, to which the ledger may replicate."""
        self._storage_regions = frozenset(self.restriction.region_of(zone) for zone in zones)

    def set_table(self, table: RoutingTable) -> None:
        """Activate the restriction if a route or tenant of a configuration has allowed regions."""
        tenants = table.tenants.tenants if table.tenants is not None else ()
        if any(route.allowed_regions for route in table.routes) or any(
            tenant.allowed_regions for tenant in tenants
        ):
            self.restriction.is_active = True

    def regions_of(
        self, table: RoutingTable, route: Route, call: Call, tenant: Tenant | None
    ) -> frozenset[str] | None:
        """Return the regions that may serve a request; None for all regions.

        On a public route, a key binds the request to the regions of its tenant even if the node
        cannot prove that the key is still valid and ``tenant`` is None.
        """
        if not self.is_active:
            return None
        if table.tenants is not None:
            tenant = table.tenants.find(call.credential) or tenant
        of_tenant = tenant.allowed_regions if tenant is not None else ()
        return allowed_regions(route.allowed_regions, of_tenant)

    def rebind(self, exchange: Exchange, table: RoutingTable) -> None:
        """Restrict a request under way by a new configuration as well.

        The request keeps the regions of the configuration that admitted it, so that a change never
        sends it to a region that one of the two forbids.
        """
        if not self.is_active:
            return
        route = next((item for item in table.routes if item.name == exchange.route.name), None)
        regions = self.regions_of(table, route or exchange.route, exchange.call, exchange.tenant)
        exchange.allowed_regions = both(exchange.allowed_regions, regions)

    def has_engine(self, exchange: Exchange, engines: Iterable[EngineState]) -> bool:
        """Return whether a request may find an engine in its regions.

        A pool without any engine does not show that the regions have none: the node may not have
        read the engines' entries yet, and such a request waits like an unrestricted one.
        """
        regions = exchange.allowed_regions
        if regions is None:
            return True
        if not regions:
            return False
        zones = {state.engine.zone for state in engines}
        return not zones or any(self.restriction.is_allowed(zone, regions) for zone in zones)

    def must_keep_regionally(self, exchange: Exchange) -> bool:
        """Return whether the ledger, which spans all regions, must not hold a turn's text."""
        regions = exchange.allowed_regions
        if regions is None or not exchange.route.retain:
            return False
        return not (self._regions | self._storage_regions) <= regions - {""}

    def may_cache(self, regions: frozenset[str] | None) -> bool:
        """Return whether this node may cache texts that are bound to some regions."""
        return regions is None or (bool(self._region) and self._region in regions)
