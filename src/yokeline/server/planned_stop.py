"""A planned stop: leave, hand leadership over, move replicas, finish streams, exit 0."""

from __future__ import annotations

import enum
from collections.abc import Callable

from yokeline.effects import Exit
from yokeline.errors import EXIT_FAILURE
from yokeline.membership.detector import Membership
from yokeline.server.context import NodeContext
from yokeline.shards.host import ShardHost

MOVE_SECONDS = 30.0
"""Longest wait for other nodes to take over this node's replicas."""

FINISH_SECONDS = 3600.0
"""Longest wait for requests in flight; the longest deadline a caller may ask for."""

CHECK_PERIOD_SECONDS = 0.1


class StopState(enum.Enum):
    """Where a planned stop stands."""

    RUNNING = "running"
    DRAINING = "draining"
    STOPPED = "stopped"


class PlannedStop:
    """Drives a planned stop; see the module's docstring."""

    def __init__(
        self,
        context: NodeContext,
        membership: Membership,
        host: ShardHost,
        in_flight: Callable[[], int],
        stop_accepting: Callable[[], None],
        answer_all: Callable[[], None],
        others_stay: Callable[[], bool],
    ) -> None:
        """Create the component of a running node.

        Args:
            context: The node's context.
            membership: Told that the node leaves.
            host: Hands its leaderships and replicas over.
            in_flight: Number of requests that are not yet answered.
            stop_accepting: Makes the gateway refuse new work.
            answer_all: Answers the requests that are still under way at the exit.
            others_stay: Whether there are nodes that are not in a planned stop themselves.
        """
        self.state = StopState.RUNNING
        self._context = context
        self._membership = membership
        self._host = host
        self._in_flight = in_flight
        self._stop_accepting = stop_accepting
        self._answer_all = answer_all
        self._others_stay = others_stay
        self._began = 0.0
        self._next_check = 0.0

    def transition_draining(self) -> None:
        """Begin the stop; a second request changes nothing."""
        if self.state is not StopState.RUNNING:
            return
        self.state = StopState.DRAINING
        self._began = self._context.now
        self._next_check = self._context.now
        self._context.log("drain_started", in_flight=self._in_flight())
        self._stop_accepting()
        self._membership.leave()
        self._host.transfer_all_leaderships()

    def transition_superseded(self) -> None:
        """End at once: a later process start of this node runs, and this one counts as dead.

        The requests under way are answered, since their runs go on without this process.
        """
        if self.state is StopState.STOPPED:
            return
        self.state = StopState.STOPPED
        self._context.warn(
            "process_superseded",
            replicas_left=self._host.replicas_left(),
            in_flight=self._in_flight(),
        )
        self._answer_all()
        self._context.emit(Exit(EXIT_FAILURE))

    def tick(self) -> None:
        """End the stop once nothing depends on this node."""
        if self.state is not StopState.DRAINING or self._context.now < self._next_check:
            return
        self._next_check = self._context.now + CHECK_PERIOD_SECONDS
        if self._may_exit():
            self._transition_stopped()

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due."""
        return self._next_check if self.state is StopState.DRAINING else None

    def _may_exit(self) -> bool:
        waited = self._context.now - self._began
        if self._in_flight() > 0 and waited < FINISH_SECONDS:
            return False
        nothing_held = self._host.replicas_left() == 0
        return nothing_held or not self._others_stay() or waited >= MOVE_SECONDS

    def _transition_stopped(self) -> None:
        self.state = StopState.STOPPED
        self._context.log(
            "drain_finished",
            replicas_left=self._host.replicas_left(),
            in_flight=self._in_flight(),
        )
        self._answer_all()
        self._membership.depart()
        self._context.emit(Exit(0))
