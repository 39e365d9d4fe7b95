"""What the executor needs of the other components of its node."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from returns.result import Result

from yokeline.effects import Address
from yokeline.errors import YokelineError
from yokeline.identifiers import ShardId
from yokeline.labels.objects import App, Program, Tool
from yokeline.labels.resolution import ResolvedPolicy
from yokeline.runs.events import RunEvent
from yokeline.runs.model import Command
from yokeline.runs.state_machine import ApplyResult, RunStateMachine
from yokeline.shards.operations import OperationResult

OperationDone = Callable[[Result[OperationResult, YokelineError]], None]
EventsHandler = Callable[[tuple[RunEvent, ...]], None]
LeavingPredicate = Callable[[Address], bool]


class Host(Protocol):
    """The replicated shards of this node (``shards.host.ShardHost``)."""

    def propose(
        self,
        shard: ShardId,
        command: Command,
        done: Callable[[Result[ApplyResult, YokelineError]], None],
    ) -> None:
        """Replicate a command; ``done`` gets what applying it did."""
        ...

    def read(
        self, shard: ShardId, done: Callable[[Result[RunStateMachine, YokelineError]], None]
    ) -> None:
        """Hand over a state that is as new as the call (linearizable)."""
        ...

    def machine(self, shard: ShardId) -> RunStateMachine | None:
        """Return the state as far as it is applied here."""
        ...

    def leads(self, shard: ShardId) -> bool:
        """Return whether this node leads the shard."""
        ...

    def term(self, shard: ShardId) -> int:
        """Return the shard's current term."""
        ...

    def may_send(self, shard: ShardId) -> bool:
        """Return whether leadership is certain enough to send to a back end now."""
        ...


class Configuration(Protocol):
    """The part of ``labels.view.ConfigurationView`` that driving runs needs."""

    def program(self, tenant: str, name: str) -> Program | None:
        """Return a tenant's program."""
        ...

    def tool(self, tenant: str, name: str) -> Tool | None:
        """Return a tool that a tenant may use."""
        ...

    def app(self, tenant: str, name: str) -> App | None:
        """Return an app that a tenant may use."""
        ...

    def resolve(self, program: Program) -> ResolvedPolicy:
        """Return what all matching policies together say about a program."""
        ...


def nothing_leaves(_address: Address) -> bool:
    """Return that no back end is leaving (for a node without a machine list)."""
    return False
