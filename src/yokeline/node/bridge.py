"""Hands what the transports received to a service and carries out the effects it returns."""

from __future__ import annotations

import time
import traceback
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

import absl.logging
from circuits.core.components import BaseComponent
from circuits.core.events import Event as CircuitsEvent
from circuits.core.handlers import handler

from yokeline.effects import (
    Effect,
    Event,
    Exit,
    HttpArrived,
    HttpCancel,
    HttpFailed,
    HttpReply,
    HttpResponse,
    HttpStreamEnded,
    HttpStreamItem,
    InterruptibleService,
    LogRecord,
    MemoryHolder,
    Service,
    StopRequested,
    Tick,
)
from yokeline.identifiers import ExchangeId, RequestId
from yokeline.logs import write_record
from yokeline.node.deadlines import DeadlineQueue
from yokeline.node.memory_budget import Buffer, BufferKind
from yokeline.node.refusals import INTERNAL_ERROR, OWN_FAULT, refusal_of

MINIMUM_TICK_SECONDS = 0.001
"""Least time between two ticks, whatever deadline the service names."""
TICK_AFTER_FAULT_SECONDS = 0.1
"""Pause after a tick that raised, so that a fault does not take the whole core."""
_ANSWERS = (HttpResponse, HttpStreamItem, HttpStreamEnded, HttpFailed)
_PARTS_OF_ANSWERS = (HttpResponse, HttpStreamItem, HttpStreamEnded)
LOST_BY_FAULT = "lost by a fault in this node"
"""Why a request to a back end failed whose answer the service could not handle."""

EffectHandler = Callable[[Any], None]


class service_events(CircuitsEvent):  # noqa: N801 - circuits names events in lower case
    """Something arrived for the service since its last turn."""


class service_stopped(CircuitsEvent):  # noqa: N801 - circuits names events in lower case
    """The service has exited; its transports close.

    Args:
        exit_code: What the service asked for.
        output_seconds: Longest wait for written output to be read.
    """


class Bridge(BaseComponent):
    """Runs one service: events in, effects out, and the timer for its next deadline.

    The events of one turn of the loop are handed over together, so that a busy turn costs
    one circuits event and not one per socket.
    """

    channel = "service"

    def __init__(self, service: Service, channel: str) -> None:
        """Run ``service`` on a channel of its own."""
        super().__init__(channel=channel)
        self._service = service
        self._holder = service if isinstance(service, MemoryHolder) else None
        self._inbox: deque[Event] = deque()
        self._announced = False
        self._earliest_tick = 0.0
        self._repeat_stop_at: float | None = None
        self._effect_handlers: dict[type, EffectHandler] = {
            LogRecord: write_record,
            Exit: self._exit,
        }
        self.exit_code: int | None = None
        self.open_exchanges: Callable[[], Iterable[ExchangeId]] = tuple

    def carry_out_with(self, effect_type: type, carry_out: EffectHandler) -> None:
        """Let ``carry_out`` take the effects of one type."""
        self._effect_handlers[effect_type] = carry_out

    def submit(self, event: Event) -> None:
        """Queue an event for the service."""
        self._inbox.append(event)
        self._announce()

    def fixed_bytes(self) -> int:
        """Return the memory of the responses that wait for the service, and of its own texts."""
        waiting = sum(_response_bytes(event) for event in self._inbox)
        return waiting + (self._holder.held_bytes() if self._holder is not None else 0)

    def buffers(self) -> Iterable[Buffer]:
        """Return the caches of the service; what waits for it is handed over in any case."""
        cached = self._holder.cached_bytes() if self._holder is not None else 0
        if cached:
            yield Buffer(BufferKind.CACHE, cached, 0.0, self._drop_caches)

    def _drop_caches(self, reason: str) -> None:
        if self._holder is not None:
            self._holder.drop_caches()

    def withdraw(self, request: RequestId) -> None:
        """Forget queued answers to a request that was cancelled."""
        if any(_answers(event, request) for event in self._inbox):
            self._inbox = deque(event for event in self._inbox if not _answers(event, request))

    def request_stop(self) -> None:
        """Ask the service for a planned stop."""
        self.submit(StopRequested())

    @handler("service_events")
    def _on_service_events(self) -> None:
        """Hand over what was queued when this began; later events wait for the next turn."""
        self._announced = False
        for _ in range(len(self._inbox)):
            if not self._inbox or self.exit_code is not None:
                break
            self._hand_over(self._inbox.popleft())
        if self._inbox:
            self._announce()

    @handler("generate_events", channel="*", priority=1)
    def _on_generate_events(self, event: Any) -> None:
        """Send a tick if one is due and bound how long the poller may wait."""
        if self.exit_code is not None:
            return
        self._repeat_stop(event)
        due = self._tick_due()
        if due is None:
            return
        now = time.monotonic()
        if due <= now:
            self._hand_over(Tick())
            self._earliest_tick = max(self._earliest_tick, now + MINIMUM_TICK_SECONDS)
            due = self._tick_due()
        if due is not None:
            event.reduce_time_left(max(0.0, due - time.monotonic()))

    def _repeat_stop(self, event: Any) -> None:
        """Ask again for a stop that met a fault, and bound how long the poller may wait."""
        if self._repeat_stop_at is not None and self._repeat_stop_at <= time.monotonic():
            self._repeat_stop_at = None
            self._hand_over(StopRequested())
        if self._repeat_stop_at is not None:
            event.reduce_time_left(max(0.0, self._repeat_stop_at - time.monotonic()))

    def _tick_due(self) -> float | None:
        try:
            deadline = self._service.next_deadline()
        except Exception:  # without a deadline the service still gets ticks, at a low rate
            self._report_fault(Tick())
            return self._earliest_tick
        return None if deadline is None else max(deadline, self._earliest_tick)

    def _announce(self) -> None:
        if not self._announced and self.exit_code is None:
            self._announced = True
            self.fire(service_events())

    def _hand_over(self, event: Event) -> None:
        if self.exit_code is None:
            self._handle(event)

    def _handle(self, event: Event) -> None:
        now = time.monotonic()
        try:
            effects = self._service.handle(event, now)
        except Exception:  # a fault met by one event must not stop the others
            self._report_fault(event)
            self._recover(event)
            return
        for effect in effects:
            self._carry_out(effect)

    def _carry_out(self, effect: Effect) -> None:
        carry_out = self._effect_handlers.get(type(effect))
        if carry_out is None:
            absl.logging.error({"event": "effect_unbound", "effect": type(effect).__name__})
            return
        if isinstance(effect, HttpCancel):
            self.withdraw(effect.request)
        try:
            carry_out(effect)
        except Exception:  # a fault met by one effect must not stop the others
            absl.logging.error(
                {
                    "event": "effect_fault",
                    "effect": type(effect).__name__,
                    "trace": traceback.format_exc(),
                }
            )

    def _report_fault(self, event: Event) -> None:
        absl.logging.error(
            {
                "event": "service_fault",
                "handled": type(event).__name__,
                "trace": traceback.format_exc(),
            }
        )
        if isinstance(event, Tick):
            self._earliest_tick = time.monotonic() + TICK_AFTER_FAULT_SECONDS

    def _recover(self, event: Event) -> None:
        """Carry out what was decided before a fault, and answer for what was lost by it.

        A stream whose item was lost fails, since it would look whole without the item.
        """
        service = self._service
        if isinstance(event, StopRequested):
            # A second request changes nothing; without the first one the process would be killed.
            self._repeat_stop_at = time.monotonic() + TICK_AFTER_FAULT_SECONDS
        if not isinstance(service, InterruptibleService):
            if isinstance(event, HttpArrived):
                self._answer_fault(event.exchange)
            return
        interruption = service.interruption()
        for effect in interruption.effects:
            self._carry_out(effect)
        if isinstance(event, _PARTS_OF_ANSWERS) and not interruption.is_handled:
            self._fail_request(event.request)
        queued = {item.exchange for item in self._inbox if isinstance(item, HttpArrived)}
        for exchange in list(self.open_exchanges()):
            if exchange not in queued and not service.has_open(exchange):
                self._answer_fault(exchange)

    def _fail_request(self, request: RequestId) -> None:
        self._carry_out(HttpCancel(request))
        failure = HttpFailed(request=request, sent=True, reason=LOST_BY_FAULT, is_outage=False)
        self.submit(failure)

    def _answer_fault(self, exchange: ExchangeId) -> None:
        answer = refusal_of(OWN_FAULT, INTERNAL_ERROR)
        self._carry_out(
            HttpReply(
                exchange=exchange,
                status=answer.status,
                headers=answer.headers,
                body=answer.body,
            )
        )

    def _exit(self, effect: Exit) -> None:
        if self.exit_code is None:
            self.exit_code = effect.code
            self.fire(service_stopped(effect.code, effect.output_seconds))

    @handler("service_stopped", priority=1)
    def _on_service_stopped(self, exit_code: int, output_seconds: float) -> None:
        """Let the service refuse the requests that were read in the turn of its exit."""
        while self._inbox:
            event = self._inbox.popleft()
            if isinstance(event, HttpArrived):
                self._handle(event)


class DeadlineTimer(BaseComponent):
    """Runs the transports' deadlines and bounds how long the poller may wait."""

    channel = "deadlines"

    def __init__(self) -> None:
        """Start with no deadline."""
        super().__init__()
        self.deadlines = DeadlineQueue()

    @handler("generate_events", channel="*", priority=2)
    def _on_generate_events(self, event: Any) -> None:
        due = self.deadlines.next_due()
        if due is None:
            return
        now = time.monotonic()
        if due <= now:
            self.deadlines.run_due(now)
            due = self.deadlines.next_due()
        if due is not None:
            event.reduce_time_left(max(0.0, due - now))


def _response_bytes(event: Event) -> int:
    """Return the memory of the part of a response that an event brings."""
    if isinstance(event, HttpResponse):
        return len(event.body)
    return len(event.data) if isinstance(event, HttpStreamItem) else 0


def _answers(event: Event, request: RequestId) -> bool:
    return isinstance(event, _ANSWERS) and event.request == request
