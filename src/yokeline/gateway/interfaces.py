"""What the gateway needs of the other components of its node."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

import msgspec
from returns.result import Result

from yokeline.errors import YokelineError
from yokeline.gateway.requests import RecoverBody
from yokeline.identifiers import RequestId, ShardId
from yokeline.labels.objects import ObjectKind
from yokeline.labels.view import ConfigurationView
from yokeline.runs.events import RunEvent
from yokeline.shards.operations import Operation, OperationResult
from yokeline.store.history import StatusDone
from yokeline.store.writes import WriteDone

OperationDone = Callable[[Result[OperationResult, YokelineError]], None]
RecoveryDone = Callable[[Result[Any, YokelineError]], None]
EventsReceived = Callable[[tuple[RunEvent, ...]], None]


class RunRouter(Protocol):
    """Sends operations to the leaders of shards (``shards.router.ShardRouter``)."""

    def request(
        self,
        shard: ShardId,
        operation: Operation,
        *,
        deadline_seconds: float,
        done: OperationDone,
        on_events: EventsReceived | None = None,
    ) -> RequestId:
        """Send an operation; ``done`` is called once, unless it is cancelled."""
        ...

    def cancel(self, request: RequestId) -> None:
        """Stop waiting for a request; its ``done`` is not called any more."""
        ...


class ConfigurationReader(Protocol):
    """The configuration in force at this node (``store.configuration``)."""

    def view(self) -> ConfigurationView:
        """Return the current immutable view."""
        ...

    def revision(self) -> int:
        """Return the highest revision applied here."""
        ...

    def ready(self) -> bool:
        """Return whether the view is as new as a majority of the live nodes report."""
        ...


class AdminReader(Protocol):
    """What the node tells operators about itself and the nodes it sees.

    The structs are turned into JSON objects as they are; a field ``name``, ``shard`` or
    ``zone`` is what people look for first.
    """

    def nodes(self) -> Sequence[msgspec.Struct]:
        """Return the members of the deployment as this node sees them."""
        ...

    def shards(self) -> Sequence[msgspec.Struct]:
        """Return the shards with their leaders as far as they are known here."""
        ...

    def copies(self) -> Sequence[msgspec.Struct]:
        """Return the copies of shards that this node holds for a recovery."""
        ...

    def recover(self, shard: ShardId, body: RecoverBody, done: RecoveryDone) -> None:
        """Start a shard that lost its majority from a copy; ``done`` is called once."""
        ...

    def engines(self) -> Sequence[msgspec.Struct]:
        """Return the engines with their load as far as it is known here."""
        ...

    def live_nodes(self) -> int:
        """Return how many nodes are alive, this one included; tenants' rates are shared."""
        ...

    def gauges(self) -> Mapping[str, float]:
        """Return current values by metric name (``name`` or ``name{label="value"}``)."""
        ...

    def transport_counters(self) -> Mapping[str, float]:
        """Return counters of the transports by metric name; they only rise."""
        ...

    def unready_reasons(self) -> Sequence[str]:
        """Return why this node should get no requests; empty if it is ready."""
        ...

    def drain(self) -> None:
        """Begin a planned stop of this node."""
        ...


class ConfigurationWriter(Protocol):
    """Writes objects to the key-value service by compare-and-swap (``store.writer``)."""

    def put(
        self,
        kind: ObjectKind,
        name: str,
        body: str,
        expected_revision: int,
        operation: str,
        done: WriteDone,
    ) -> None:
        """Write an object if its revision is the expected one (0: it does not exist)."""
        ...

    def delete(
        self,
        kind: ObjectKind,
        name: str,
        expected_revision: int,
        operation: str,
        done: WriteDone,
    ) -> None:
        """Delete an object if its revision is the expected one."""
        ...

    def resolve(self, kind: ObjectKind, name: str, operation: str, done: StatusDone) -> None:
        """Read from the store whether an operation on an object was applied."""
        ...
