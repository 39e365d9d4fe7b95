"""Callers that wait for a run's answer or watch its events."""

from __future__ import annotations

import msgspec
from returns.result import Failure, Success

from yokeline.errors import YokelineError
from yokeline.identifiers import RunId, ShardId
from yokeline.runs import rules
from yokeline.runs.core import ExecutorCore
from yokeline.runs.cursor import RunCursor
from yokeline.runs.errors import leadership_lost, run_not_found
from yokeline.runs.model import Run, RunStatus
from yokeline.runs.ports import EventsHandler, OperationDone
from yokeline.shards.operations import RunResult
from yokeline.timers import Timer


class Watcher:
    """One caller that waits for a run or watches it.

    Attributes:
        turn: Turn whose answer the caller waits for; 0 for the current turn.
        cursor: Position in the event stream; None if the caller only waits for the answer.
    """

    __slots__ = ("cursor", "done", "on_events", "run", "shard", "ticket", "timer", "turn")

    def __init__(self, *, ticket: str, shard: ShardId, run: RunId, done: OperationDone) -> None:
        """Create a watcher that waits for the answer of the current turn."""
        self.ticket = ticket
        self.shard = shard
        self.run = run
        self.done = done
        self.turn = 0
        self.cursor: RunCursor | None = None
        self.on_events: EventsHandler | None = None
        self.timer: Timer | None = None

    def waits_for_text(self) -> bool:
        """Return whether the watcher has received no text of the current call yet."""
        return self.cursor is not None and self.cursor.offset == 0


class Watchers:
    """The watchers of all shards that this node leads."""

    def __init__(self, core: ExecutorCore) -> None:
        self._core = core
        self._by_ticket: dict[str, Watcher] = {}
        self._by_run: dict[RunId, dict[str, Watcher]] = {}
        self._flush_timer: Timer | None = None
        self._runs_with_new_text: dict[RunId, None] = {}

    def __len__(self) -> int:
        """Return the number of watchers."""
        return len(self._by_ticket)

    def add(self, watcher: Watcher, run: Run, deadline_seconds: float) -> None:
        """Register a watcher and send it what is already available.

        Args:
            watcher: The watcher.
            run: The current state of its run.
            deadline_seconds: Seconds after which the watcher gets the run in its current state.
        """
        self._by_ticket[watcher.ticket] = watcher
        self._by_run.setdefault(watcher.run, {})[watcher.ticket] = watcher
        due = self._core.context.now + deadline_seconds
        watcher.timer = self._core.timers.schedule(due, lambda: self._deadline(watcher))
        self._update(watcher, run)

    def remove(self, ticket: str) -> Watcher | None:
        """Remove and return a watcher, or return None if the ticket has none."""
        watcher = self._by_ticket.pop(ticket, None)
        if watcher is None:
            return None
        of_run = self._by_run[watcher.run]
        del of_run[ticket]
        if not of_run:
            del self._by_run[watcher.run]
        if watcher.timer is not None:
            watcher.timer.cancel()
        return watcher

    # ------------------------------------------------------------ notification

    def run_changed(self, run: Run) -> None:
        """Notify a run's watchers of a committed change immediately."""
        self._runs_with_new_text.pop(run.run, None)
        for watcher in list(self._by_run.get(run.run, {}).values()):
            self._update(watcher, run)

    def text_arrived(self, run: RunId) -> None:
        """Notify a run's watchers of new text, batched for ``runs.stream_flush_seconds``.

        The first text of a call is sent immediately to keep the time to first token low.
        """
        waiting = self._by_run.get(run)
        if waiting is None:
            return
        if any(watcher.waits_for_text() for watcher in waiting.values()):
            self._notify(run)
            return
        self._runs_with_new_text[run] = None
        if self._flush_timer is None:
            due = self._core.context.now + self._core.settings.runs.stream_flush_seconds
            self._flush_timer = self._core.timers.schedule(due, self._flush)

    def _flush(self) -> None:
        self._flush_timer = None
        run_ids = list(self._runs_with_new_text)
        self._runs_with_new_text.clear()
        for run_id in run_ids:
            self._notify(run_id)

    def _notify(self, run_id: RunId) -> None:
        for watcher in list(self._by_run.get(run_id, {}).values()):
            run = self._core.find(watcher.shard, run_id)
            if run is not None:
                self._update(watcher, run)

    def _update(self, watcher: Watcher, run: Run) -> None:
        if watcher.cursor is None:
            if answered(run, watcher.turn):
                self._finish(watcher, run)
            return
        events = watcher.cursor.advance(run, self._core.partial_texts.get(run.run))
        if events and watcher.on_events is not None:
            watcher.on_events(tuple(events))
        if watcher.cursor.ended:
            self._finish(watcher, run)

    def _finish(self, watcher: Watcher, run: Run) -> None:
        if self.remove(watcher.ticket) is not None:
            watcher.done(Success(RunResult(run=copy_of(run))))

    def _deadline(self, watcher: Watcher) -> None:
        run = self._core.find(watcher.shard, watcher.run)
        if run is None:
            self._fail(watcher, run_not_found())
        else:
            self._finish(watcher, run)

    def _fail(self, watcher: Watcher, error: YokelineError) -> None:
        if self.remove(watcher.ticket) is not None:
            watcher.done(Failure(error))

    def leadership_lost(self, shard: ShardId) -> None:
        """Fail the watchers of a shard, so that their callers retry at the new leader."""
        for watcher in [w for w in self._by_ticket.values() if w.shard == shard]:
            self._fail(watcher, leadership_lost())

    def runs_forgotten(self, runs: tuple[RunId, ...]) -> None:
        """Fail the watchers of removed runs with a not-found error."""
        for run in runs:
            for watcher in list(self._by_run.get(run, {}).values()):
                self._fail(watcher, run_not_found())


def answered(run: Run, turn: int) -> bool:
    """Return whether a turn of a run is answered; turn 0 is the current one."""
    if rules.is_final(run) or (turn and run.turn > turn):
        return True
    return run.status is not RunStatus.ACTIVE and run.turn >= turn


def copy_of(run: Run) -> Run:
    """Return a copy of a run that later commands do not modify."""
    return msgspec.structs.replace(run, history=list(run.history), calls=list(run.calls))


def summary_of(run: Run) -> Run:
    """Return a copy of a run without its history."""
    return msgspec.structs.replace(run, history=[], calls=list(run.calls))
