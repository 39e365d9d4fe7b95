"""Who sends a request: bearer token (RFC 6750) to tenant and role.

Tokens are kept only as SHA-256 digests (``yokeline.bearer_tokens``), compared by look-up, or in
constant time for the platform operator's.
"""

from __future__ import annotations

import enum
import hmac

import msgspec
from returns.result import Failure, Result, Success

from yokeline.bearer_tokens import read_bearer_token, token_digest
from yokeline.errors import ErrorKind, YokelineError
from yokeline.gateway.interfaces import ConfigurationReader
from yokeline.gateway.problems import unavailable
from yokeline.labels.objects import TokenRole

MAX_TOKEN_LENGTH = 1024
CONFIGURATION_RETRY_SECONDS = 1.0


class Role(enum.Enum):
    """What a sender may do."""

    CALLER = "caller"
    """Start and read the runs of its tenant."""
    TENANT_OPERATOR = "tenant_operator"
    """Also write its tenant's configuration objects."""
    PLATFORM_OPERATOR = "platform_operator"
    """Write all configuration objects and see the nodes; belongs to no tenant."""


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """An authenticated sender; ``tenant`` is empty for the platform operator."""

    tenant: str
    role: Role


def bearer_token(headers: dict[str, str]) -> Result[str, YokelineError]:
    """Return the token of an ``Authorization: Bearer`` header."""
    token = read_bearer_token(headers.get("authorization", ""))
    if not token:
        return Failure(
            _unauthenticated(
                "the request has no bearer token", "send the header Authorization: Bearer TOKEN"
            )
        )
    if len(token) > MAX_TOKEN_LENGTH:
        return Failure(
            _unauthenticated(
                f"the bearer token is longer than {MAX_TOKEN_LENGTH} characters",
                "send the token that the operator gave out",
            )
        )
    return Success(token)


def authenticate(
    headers: dict[str, str], platform_digest: str, configuration: ConfigurationReader
) -> Result[Identity, YokelineError]:
    """Return who sent a request with these headers.

    Args:
        headers: Header names in lower case.
        platform_digest: SHA-256 hex of the platform operator's token; empty for none.
        configuration: Where the tenants' tokens are.
    """
    found = bearer_token(headers)
    if isinstance(found, Failure):
        return found
    digest = token_digest(found.unwrap())
    if platform_digest and hmac.compare_digest(digest, platform_digest.lower()):
        return Success(Identity(tenant="", role=Role.PLATFORM_OPERATOR))
    if not configuration.ready():
        return Failure(
            unavailable(
                "this node does not have the configuration yet",
                "retry, or ask another node",
                CONFIGURATION_RETRY_SECONDS,
            )
        )
    return _tenant_identity(digest, configuration)


def _tenant_identity(
    digest: str, configuration: ConfigurationReader
) -> Result[Identity, YokelineError]:
    grant = configuration.view().token(digest)
    if grant is None:
        return Failure(
            _unauthenticated(
                "the bearer token is not known",
                "check the token, or ask the operator to add its SHA-256 to the tenant",
            )
        )
    operator = grant.role is TokenRole.OPERATOR
    role = Role.TENANT_OPERATOR if operator else Role.CALLER
    return Success(Identity(tenant=grant.tenant, role=role))


def _unauthenticated(message: str, remedy: str) -> YokelineError:
    return YokelineError(kind=ErrorKind.UNAUTHENTICATED, message=message, remedy=remedy)
