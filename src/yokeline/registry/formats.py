"""What a deployment keeps in the key-value service, and how it is spelled there."""

from __future__ import annotations

from typing import Protocol

import msgspec
from returns.result import Result

from yokeline.errors import YokelineError
from yokeline.forwarding.model import Engine, RoutingTable


class RetireOrder(msgspec.Struct, frozen=True):
    """A storage node is to be emptied.

    Attributes:
        node: Its name.
        seconds: Time within which that is wanted.
    """

    node: str
    seconds: float


class DeploymentFormats(Protocol):
    """Keys and documents of a deployment."""

    configuration_key: str
    engine_prefix: str
    retire_prefix: str

    def read_routing(self, value: bytes) -> Result[RoutingTable, YokelineError]:
        """Return the configuration in a document."""
        ...

    def read_engine(self, key: str, value: bytes) -> Result[Engine, YokelineError]:
        """Return the engine in a document."""
        ...

    def read_retire_order(self, key: str, value: bytes) -> Result[RetireOrder, YokelineError]:
        """Return the order in a document."""
        ...

    def retire_status(self, node: str, *, completed: bool) -> tuple[str, bytes]:
        """Return key and document that tell how far an order has come."""
        ...
