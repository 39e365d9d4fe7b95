"""Interface to a deployment's documents in the key-value service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec
from returns.result import Result

from yokeline.errors import YokelineError

if TYPE_CHECKING:
    from yokeline.forwarding.model import Engine, RoutingTable

_MAX_REASON_CHARACTERS = 200


class RetireOrder(msgspec.Struct, frozen=True):
    """An order to retire a storage node.

    Attributes:
        node: Name of the node.
        seconds: Requested duration of the retirement.
    """

    node: str
    seconds: float


class DeploymentFormats(Protocol):
    """Keys of a deployment's documents, and their decoders.

    Attributes:
        evacuation_prefix: Prefix of the keys that order a zone's evacuation; the rest of a key is
            the zone. An order holds while its key exists, whatever its value.
    """

    configuration_key: str
    engine_prefix: str
    retire_prefix: str
    evacuation_prefix: str

    def read_routing(self, value: bytes) -> Result[RoutingTable, YokelineError]:
        """Decode the configuration."""
        ...

    def read_engine(self, key: str, value: bytes) -> Result[Engine, YokelineError]:
        """Decode an engine's entry."""
        ...

    def read_retire_order(self, key: str, value: bytes) -> Result[RetireOrder, YokelineError]:
        """Decode a retire order."""
        ...

    def retire_status(self, node: str, *, completed: bool) -> tuple[str, bytes]:
        """Return the key and the document that report the progress of a retire order."""
        ...


def short_reason(error: Exception) -> str:
    """Return the message of a decoder, cut to a length that a log line can hold.

    Decoders name what they found, and other writers leave texts of megabytes.
    """
    return str(error)[:_MAX_REASON_CHARACTERS]
