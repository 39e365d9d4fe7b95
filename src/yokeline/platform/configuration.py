"""The configuration that the operator writes to the platform's store (PROTOCOL.md).

Loaded by the role that serves requests.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from yokeline.bearer_tokens import token_digest
from yokeline.forwarding.model import (
    CallerLimits,
    ModelTraits,
    Pool,
    PoolWeight,
    Route,
    RouteKind,
    RoutingTable,
)
from yokeline.forwarding.tenants import (
    Credential,
    KeyHolder,
    Tenant,
    TenantDirectory,
)

_MS_PER_SECOND = 1000.0
_MAX_NUMBER = 2**53
"""Larger integers are not exact in all JSON implementations, and from 64 bits on they fit in no
message between nodes."""
_Integer = Annotated[int, msgspec.Meta(ge=-_MAX_NUMBER, le=_MAX_NUMBER)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
_Amount = Annotated[float, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
_PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=_MAX_NUMBER)]
_PositiveAmount = Annotated[float, msgspec.Meta(gt=0, le=_MAX_NUMBER)]


class _Document(msgspec.Struct, kw_only=True, rename="kebab"):
    """Base of the documents: field names in kebab case; unknown fields are ignored."""


class _ServiceWeight(_Document):
    service: str
    weight: _Amount = 1.0


class _Route(_Document):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: _Amount
    target_latency_ms: _Amount = 1000.0
    priority: _Integer = 0
    service: str = ""
    traffic_split: list[_ServiceWeight] = []
    max_attempts: _Integer = 1
    retain: bool = False
    retention_s: _Amount = 60.0
    sticky: bool = False
    resumable: bool = False
    public: bool = False
    allowed_regions: list[str] = []


class _EngineTraits(_Document):
    slots: _Count
    kv_tokens: _Count = 0
    stride: _Count = 1


class _Service(_Document):
    name: str
    max_conns: _Count = 100
    cold_s: _Amount = 0.0
    cold_per_s: _Amount = 0.0
    engine: _EngineTraits | None = None


class _Limits(_Document):
    """Limits of all requests; without room or time for a request's head no request is served."""

    max_header_bytes: _PositiveCount = 16384
    max_body_bytes: _Count = 4194304
    header_timeout_ms: _PositiveAmount = 3000.0
    idle_timeout_ms: _PositiveAmount = 15000.0


class _Tenant(_Document):
    """A tenant; nodes replace ``api_keys`` with ``key_digests`` (:func:`hash_api_keys`)."""

    name: str
    api_keys: list[str] = []
    key_digests: list[str] = []
    priority: _Integer | None = None
    rate_per_s: _Amount = 0.0
    burst: _Amount = 0.0
    allowed_regions: list[str] = []


class _Configuration(_Document):
    version: _Integer
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


def decode_configuration(value: bytes) -> RoutingTable:
    """Decode a configuration.

    Raises:
        msgspec.DecodeError: The document is invalid, as with ValueError and RecursionError.
    """
    return _routing_table(msgspec.json.decode(value, type=_Configuration))


def _routing_table(document: _Configuration) -> RoutingTable:
    limits = document.limits
    return RoutingTable(
        version=document.version,
        routes=tuple(_route(route) for route in document.routes),
        pools={service.name: _pool(service) for service in document.services},
        limits=CallerLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_seconds=limits.header_timeout_ms / _MS_PER_SECOND,
            idle_seconds=limits.idle_timeout_ms / _MS_PER_SECOND,
        ),
        tenants=_tenant_directory(document.tenants) if document.tenants else None,
    )


def _tenant_directory(tenants: list[_Tenant]) -> TenantDirectory:
    return TenantDirectory(
        tuple(
            KeyHolder(credential, _tenant(tenant))
            for tenant in tenants
            for credential in _credentials(tenant)
        )
    )


def _credentials(tenant: _Tenant) -> list[Credential]:
    digests = [token_digest(key) for key in tenant.api_keys] + tenant.key_digests
    return [Credential(digest) for digest in digests]


def _tenant(tenant: _Tenant) -> Tenant:
    return Tenant(
        name=tenant.name,
        priority=tenant.priority,
        rate=tenant.rate_per_s,
        burst=tenant.burst,
        allowed_regions=tuple(tenant.allowed_regions),
    )


def _route(route: _Route) -> Route:
    shares = tuple(PoolWeight(share.service, share.weight) for share in route.traffic_split)
    return Route(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        kind=RouteKind(route.kind),
        pools=shares or (PoolWeight(route.service, 1.0),),
        timeout=route.timeout_ms / _MS_PER_SECOND,
        target_latency=route.target_latency_ms / _MS_PER_SECOND,
        priority=route.priority,
        max_attempts=route.max_attempts,
        retain=route.retain,
        retention=route.retention_s,
        sticky=route.sticky,
        resumable=route.resumable,
        public=route.public,
        allowed_regions=tuple(route.allowed_regions),
    )


def _pool(service: _Service) -> Pool:
    traits = service.engine
    model = None
    if traits is not None:
        model = ModelTraits(
            slots=traits.slots,
            memory_tokens=traits.kv_tokens,
            tokens_per_event=traits.stride,
        )
    return Pool(
        name=service.name,
        max_connections=service.max_conns,
        model=model,
        cold_seconds=service.cold_s,
        cold_rate=service.cold_per_s,
    )
