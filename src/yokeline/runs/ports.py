"""Interfaces of the node components that the executor depends on."""

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
"""Returns whether the back end at an address is draining, so that it receives no new calls."""


class Host(Protocol):
    """The replicated shards of this node (``shards.host.ShardHost``)."""

    def propose(
        self,
        shard: ShardId,
        command: Command,
        done: Callable[[Result[ApplyResult, YokelineError]], None],
    ) -> None:
        """Replicate a command; ``done`` gets the result of applying it."""
        ...

    def read(
        self, shard: ShardId, done: Callable[[Result[RunStateMachine, YokelineError]], None]
    ) -> None:
        """Read the state linearizably: it includes all commands committed before the call."""
        ...

    def state_machine(self, shard: ShardId) -> RunStateMachine | None:
        """Return the locally applied state, or None if this node has no replica."""
        ...

    def leads(self, shard: ShardId) -> bool:
        """Return whether this node leads the shard."""
        ...

    def term(self, shard: ShardId) -> int:
        """Return the shard's current term."""
        ...

    def holds_lease(self, shard: ShardId) -> bool:
        """Return whether the leader lease is valid, so that calls may be sent."""
        ...


class Configuration(Protocol):
    """The part of ``labels.view.ConfigurationView`` that the executor uses."""

    def program(self, tenant: str, name: str) -> Program | None:
        """Return a tenant's program."""
        ...

    def tool(self, tenant: str, name: str) -> Tool | None:
        """Return a tool available to a tenant."""
        ...

    def app(self, tenant: str, name: str) -> App | None:
        """Return an app available to a tenant."""
        ...

    def resolve(self, program: Program) -> ResolvedPolicy:
        """Return the combination of all program policies that match a program."""
        ...


def nothing_leaves(_address: Address) -> bool:
    """Report no back end as draining; for nodes without service discovery."""
    return False
