"""Callers who wait for a run to be answered, or watch its events."""

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
    """One waiting caller.

    Attributes:
        turn: For one who waits: the turn that must be answered.
        cursor: For one who watches: what it has seen.
    """

    __slots__ = ("cursor", "done", "on_events", "run", "shard", "ticket", "timer", "turn")

    def __init__(self, *, ticket: str, shard: ShardId, run: RunId, done: OperationDone) -> None:
        """Create a caller who waits for the current turn."""
        self.ticket = ticket
        self.shard = shard
        self.run = run
        self.done = done
        self.turn = 0
        self.cursor: RunCursor | None = None
        self.on_events: EventsHandler | None = None
        self.timer: Timer | None = None

    def waits_for_text(self) -> bool:
        """Return whether it watches and has no text of the current call yet."""
        return self.cursor is not None and self.cursor.offset == 0


class Watchers:
    """All waiting callers of the shards that this node leads."""

    def __init__(self, core: ExecutorCore) -> None:
        """Create it without callers."""
        self._core = core
        self._by_ticket: dict[str, Watcher] = {}
        self._by_run: dict[RunId, dict[str, Watcher]] = {}
        self._flush_timer: Timer | None = None
        self._grown: dict[RunId, None] = {}

    def __len__(self) -> int:
        """Return how many callers wait."""
        return len(self._by_ticket)

    def add(self, watcher: Watcher, run: Run, deadline_seconds: float) -> None:
        """Add a caller, unless what it waits for is there already."""
        self._by_ticket[watcher.ticket] = watcher
        self._by_run.setdefault(watcher.run, {})[watcher.ticket] = watcher
        due = self._core.context.now + deadline_seconds
        watcher.timer = self._core.timers.schedule(due, lambda: self._deadline(watcher))
        self._update(watcher, run)

    def remove(self, ticket: str) -> Watcher | None:
        """Take a caller out, if it is there."""
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

    # ------------------------------------------------------------ news

    def run_changed(self, run: Run) -> None:
        """Tell the callers of a run what is new at once."""
        self._grown.pop(run.run, None)
        for watcher in list(self._by_run.get(run.run, {}).values()):
            self._update(watcher, run)

    def text_arrived(self, run: RunId) -> None:
        """Tell the callers of a run about new text soon, together with what follows.

        The first text of a call is not held back: callers wait for it.
        """
        waiting = self._by_run.get(run)
        if waiting is None:
            return
        if any(watcher.waits_for_text() for watcher in waiting.values()):
            self._tell(run)
            return
        self._grown[run] = None
        if self._flush_timer is None:
            due = self._core.context.now + self._core.settings.runs.stream_flush_seconds
            self._flush_timer = self._core.timers.schedule(due, self._flush)

    def _flush(self) -> None:
        self._flush_timer = None
        grown = list(self._grown)
        self._grown.clear()
        for run_id in grown:
            self._tell(run_id)

    def _tell(self, run_id: RunId) -> None:
        for watcher in list(self._by_run.get(run_id, {}).values()):
            run = self._core.find(watcher.shard, run_id)
            if run is not None:
                self._update(watcher, run)

    def _update(self, watcher: Watcher, run: Run) -> None:
        if watcher.cursor is None:
            if answered(run, watcher.turn):
                self._finish(watcher, run)
            return
        events = watcher.cursor.advance(run, self._core.live.get(run.run))
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
        """Send the callers of a shard to its next leader."""
        for watcher in [w for w in self._by_ticket.values() if w.shard == shard]:
            self._fail(watcher, leadership_lost())

    def runs_forgotten(self, runs: tuple[RunId, ...]) -> None:
        """Answer the callers of runs that were removed."""
        for run in runs:
            for watcher in list(self._by_run.get(run, {}).values()):
                self._fail(watcher, run_not_found())


def answered(run: Run, turn: int) -> bool:
    """Return whether a turn of a run is answered (0: the current one)."""
    if rules.is_final(run) or (turn and run.turn > turn):
        return True
    return run.status is not RunStatus.ACTIVE and run.turn >= turn


def copy_of(run: Run) -> Run:
    """Return a run that later commands do not change."""
    return msgspec.structs.replace(run, history=list(run.history), calls=list(run.calls))


def summary_of(run: Run) -> Run:
    """Return a run without its history, as lists show it."""
    return msgspec.structs.replace(run, history=[], calls=list(run.calls))
