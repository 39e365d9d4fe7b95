"""Addresses that a tenant's own tools and apps must not be: those of the platform.

A tool or app address is where this service sends requests on a tenant's behalf. Pointed at
the key-value service or at an engine, it would lend the tenant this service's own reach.
"""

from __future__ import annotations

from returns.result import Failure, Result, Success

from yokeline.errors import YokelineError
from yokeline.gateway.problems import forbidden
from yokeline.labels.objects import App, ConfigurationObject, Tool
from yokeline.labels.view import ConfigurationView
from yokeline.settings import PlatformSection


def check_addresses(
    item: ConfigurationObject, view: ConfigurationView, platform: PlatformSection
) -> Result[None, YokelineError]:
    """Refuse a tenant's tool or app that points at the platform's own services."""
    if not isinstance(item, Tool | App):
        return Success(None)
    reserved = {platform.store, platform.machine_list}
    for pool in view.pools():
        reserved.update(pool.addresses)
    for address in item.addresses:
        if address in reserved:
            return Failure(
                forbidden(
                    f"{address} is an address of the platform",
                    "give the address of the tenant's own service",
                )
            )
    return Success(None)
