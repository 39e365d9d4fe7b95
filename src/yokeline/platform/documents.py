"""Documents that the operator and engines write to the platform's store (PROTOCOL.md)."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure, Result, Success

from yokeline.bearer_tokens import token_digest
from yokeline.effects import Address
from yokeline.errors import ErrorKind, YokelineError
from yokeline.registry.formats import RetireOrder, short_reason

if TYPE_CHECKING:
    from yokeline.forwarding.model import Engine, RoutingTable

CONFIGURATION_KEY = "op/config"
ENGINE_PREFIX = "servers/"
"""Prefix of the engines' entries; the rest of a key is the engine's instance id."""
_TENANTS_FIELD = "tenants"
_API_KEYS_FIELD = "api-keys"
_KEY_DIGESTS_FIELD = "key-digests"


class _RetireDocument(msgspec.Struct, kw_only=True, rename="kebab"):
    duration_s: float = 10.0


class PlatformDocuments:
    """Implements :class:`yokeline.registry.formats.DeploymentFormats` for the platform."""

    configuration_key = CONFIGURATION_KEY
    engine_prefix = ENGINE_PREFIX
    retire_prefix = "op/retire/"
    evacuation_prefix = "op/evacuate/"

    def read_routing(self, value: bytes) -> Result[RoutingTable, YokelineError]:
        """Decode the configuration in ``op/config``."""
        # Imported by the role that serves requests, as the engines' entries below.
        from yokeline.platform.configuration import decode_configuration

        try:
            return Success(decode_configuration(value))
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            return Failure(_invalid_document_error(self.configuration_key, error))

    def read_engine(self, key: str, value: bytes) -> Result[Engine, YokelineError]:
        """Decode the engine's entry in ``servers/ID``."""
        from yokeline.platform.engine_entries import read_engine_entry

        return read_engine_entry(key.removeprefix(self.engine_prefix), value)

    def read_retire_order(self, key: str, value: bytes) -> Result[RetireOrder, YokelineError]:
        """Decode the retire order in ``op/retire/NODE``."""
        try:
            document = msgspec.json.decode(value, type=_RetireDocument)
        except (msgspec.DecodeError, RecursionError) as error:
            return Failure(_invalid_document_error(key, error))
        return Success(RetireOrder(key.removeprefix(self.retire_prefix), document.duration_s))

    def retire_status(self, node: str, *, completed: bool) -> tuple[str, bytes]:
        """Return the key and the document of ``status/retire/NODE``."""
        state = "completed" if completed else "running"
        return f"status/retire/{node}", msgspec.json.encode({"state": state})


def hash_api_keys(value: bytes) -> bytes:
    """Return a configuration in which digests replace the tenants' API keys.

    Nodes store the configuration and send it to each other, and must not expose API keys. An
    invalid document is replaced by an empty one. The result is always encoded anew, because a
    duplicate field that is not in the decoded document could hold keys.
    """
    try:
        document = msgspec.json.decode(value)
        for tenant in document.get(_TENANTS_FIELD) or ():
            keys = msgspec.convert(tenant.pop(_API_KEYS_FIELD, []), list[str])
            tenant.setdefault(_KEY_DIGESTS_FIELD, [token_digest(key) for key in keys])
        return msgspec.json.encode(document)
    except (msgspec.MsgspecError, AttributeError, TypeError, ValueError, RecursionError):
        return b"{}"


def address_of(text: str) -> Address:
    """Return the address in ``IP:PORT``.

    Raises:
        ValueError: The port is not a number.
    """
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


def _invalid_document_error(key: str, error: Exception) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.BAD_REQUEST,
        message=f"invalid document {key}: {short_reason(error)}",
        remedy="write a document in the format of the protocol page",
    )
