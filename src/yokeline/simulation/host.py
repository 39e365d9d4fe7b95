"""A simulated machine and the process of a service on it."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import msgspec

from yokeline.effects import (
    Address,
    DeleteFile,
    Effect,
    Event,
    LogRecord,
    Service,
    StopRequested,
    Tick,
    WriteFile,
)
from yokeline.server.context import COMPONENT_FAULT, HANDLER_FAULT
from yokeline.simulation.clock import LocalClock

if TYPE_CHECKING:
    from yokeline.simulation.kernel import Simulation

FAULT_EVENTS = frozenset({COMPONENT_FAULT, HANDLER_FAULT})
"""Log events of faults that a process survives; each of them fails a simulation."""
TIMER_RESOLUTION_SECONDS = 0.001
"""A process is not ticked more often than this."""


class ProcessStart(msgspec.Struct, frozen=True, kw_only=True):
    """What a process gets when it starts.

    Attributes:
        source: Its own random source, new with every start.
        now: Local monotonic seconds.
        wall_offset: Wall seconds minus monotonic seconds.
        files: Content of the data folder; empty on machines without one.
    """

    source: random.Random
    now: float
    wall_offset: float
    files: dict[str, bytes]


ServiceFactory = Callable[[ProcessStart], Service]


class HostObserver(Protocol):
    """Sees, from outside the process, what reaches a host and what leaves it."""

    def event_delivered(self, host: Host, event: Event) -> None:
        """Note an event before the process handles it."""
        ...

    def effect_emitted(self, host: Host, effect: Effect) -> None:
        """Note an effect that leaves the process."""
        ...


class Host:
    """A machine: crashes, restarts, freezes and wakes; its clock goes on all the while.

    Attributes:
        starts: Process starts so far; a connection belongs to one of them.
        running: Whether a process runs (a frozen one does).
        exit_code: Exit code of the last process that ended by itself.
        ended_at: Virtual time when the last process ended.
    """

    def __init__(
        self,
        simulation: Simulation,
        *,
        name: str,
        factory: ServiceFactory,
        clock: LocalClock,
        http: Address | None = None,
        peer: Address | None = None,
        keeps_files: bool = False,
    ) -> None:
        """Create a machine on which nothing runs yet."""
        self.name = name
        self.http = http
        self.peer = peer
        self.clock = clock
        self.starts = 0
        self.running = False
        self.frozen = False
        self.exit_code: int | None = None
        self.ended_at = 0.0
        self.service: Service | None = None
        self.observers: list[HostObserver] = []
        self._simulation = simulation
        self._factory = factory
        self._keeps_files = keeps_files
        self._files: dict[str, bytes] = {}
        self._backlog: list[Event] = []
        self._withheld: list[Effect] = []
        self._freeze_at_next_event = False
        self._timer_due: float | None = None
        self._last_now = 0.0

    # ------------------------------------------------------------ faults

    def start(self) -> None:
        """Start a fresh process; it knows nothing but the data folder."""
        if self.running:
            return
        self.starts += 1
        self.running = True
        self.exit_code = None
        self._timer_due = None
        self._trace("start", str(self.starts))
        start = ProcessStart(
            source=self._simulation.new_source(f"{self.name}/{self.starts}"),
            now=self.local_now(),
            wall_offset=self.clock.wall_offset,
            files=dict(self._files),
        )
        self.service = self._factory(start)
        self.deliver(Tick())

    def crash(self) -> None:
        """Kill the process; its memory is lost."""
        if self.running:
            self._trace("crash", str(self.starts))
            self._end_process()

    def stop(self) -> None:
        """Ask the process for a planned stop."""
        self.deliver(StopRequested())

    def freeze(self, *, before_effects: bool = False) -> None:
        """Stop the process in its tracks.

        Args:
            before_effects: Let it handle one more event, and freeze before the effects of
                that event leave it.
        """
        self._trace("freeze", str(before_effects))
        if before_effects:
            self._freeze_at_next_event = True
        else:
            self.frozen = True

    def wake(self) -> None:
        """Let a frozen process go on with what has queued up."""
        self._freeze_at_next_event = False
        if not self.frozen:
            return
        self._trace("wake", str(len(self._backlog)))
        self.frozen = False
        withheld, self._withheld = self._withheld, []
        self._carry_out(withheld)
        backlog, self._backlog = self._backlog, []
        for event in backlog:
            self.deliver(event)
        self._set_timer()

    # ------------------------------------------------------------ events

    def local_now(self) -> float:
        """Return the machine's monotonic time."""
        return self.clock.local(self._simulation.schedule.now)

    def deliver(self, event: Event) -> None:
        """Hand an event to the process (later, while it is frozen)."""
        if not self.running:
            return
        if self.frozen:
            self._backlog.append(event)
            return
        self._handle(event, self.local_now())

    def _handle(self, event: Event, now: float) -> None:
        assert self.service is not None
        self._trace("event", event)
        for observer in self.observers:
            observer.event_delivered(self, event)
        self._last_now = max(self._last_now, now)
        effects = self.service.handle(event, self._last_now)
        if self._freeze_at_next_event and effects:
            self._freeze_at_next_event = False
            self.frozen = True
            self._withheld = effects
            return
        self._carry_out(effects)
        self._set_timer()

    def _carry_out(self, effects: list[Effect]) -> None:
        start = self.starts
        for effect in effects:
            if not self.running or self.starts != start:
                return
            self._trace("effect", effect)
            if isinstance(effect, LogRecord) and effect.event in FAULT_EVENTS:
                raise AssertionError(f"a fault of the code: {effect.fields}")
            for observer in self.observers:
                observer.effect_emitted(self, effect)
            if isinstance(effect, WriteFile):
                self._write(effect)
            elif isinstance(effect, DeleteFile):
                self._files.pop(effect.name, None)
            else:
                self._simulation.carry_out(self, effect)

    def exit(self, code: int) -> None:
        """End the process by itself."""
        self.exit_code = code
        self._trace("exit", str(code))
        self._end_process()

    def _end_process(self) -> None:
        self.ended_at = self._simulation.schedule.now
        self.running = False
        self.frozen = False
        self.service = None
        self._freeze_at_next_event = False
        self._backlog.clear()
        self._withheld.clear()
        self._simulation.process_ended(self)

    def _write(self, effect: WriteFile) -> None:
        if not self._keeps_files:
            return
        before = self._files.get(effect.name, b"") if effect.append else b""
        self._files[effect.name] = before + effect.data

    # ------------------------------------------------------------ timers

    def _set_timer(self) -> None:
        if not self.running or self.frozen or self.service is None:
            return
        deadline = self.service.next_deadline()
        if deadline is None:
            return
        now = self._simulation.schedule.now
        due = max(self.clock.virtual(deadline), now + TIMER_RESOLUTION_SECONDS)
        if self._timer_due is not None and self._timer_due <= due:
            return
        self._timer_due = due
        start = self.starts
        self._simulation.schedule.after(due - now, lambda: self._timer_fired(start, due))

    def _timer_fired(self, start: int, due: float) -> None:
        if start != self.starts or due != self._timer_due:
            return
        self._timer_due = None
        if not self.running or self.frozen or self.service is None:
            return
        deadline = self.service.next_deadline()
        now = self.local_now()
        if deadline is None:
            return
        if deadline - now < TIMER_RESOLUTION_SECONDS / 2:
            self._handle(Tick(), max(now, deadline))
        else:
            self._set_timer()

    def _trace(self, step: str, detail: msgspec.Struct | str) -> None:
        self._simulation.trace.add(self._simulation.schedule.now, self.name, step, detail)
