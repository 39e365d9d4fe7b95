"""How a watcher puts a run's answer together from its events."""

from __future__ import annotations

import msgspec

from yokeline.effects import HttpStreamItem
from yokeline.runs.events import (
    CallFinishedEvent,
    CallStartedEvent,
    FinishedEvent,
    RestartEvent,
    RunEvent,
    TextEvent,
)
from yokeline.simulation.records import WatchRecord


def follow_event(watch: WatchRecord, item: HttpStreamItem) -> None:
    """Apply one event; what does not fit is noted as a problem."""
    try:
        event = msgspec.json.decode(item.data, type=RunEvent)
    except msgspec.ValidationError:
        return  # the error event of a stream that cannot go on: the watcher reconnects
    call = event.id.call
    latest = max(watch.texts, default=0)
    if isinstance(event, FinishedEvent):
        watch.finished.append(item.data)
    elif call < latest:
        watch.problems.append(f"event of call {call} after one of call {latest}")
    elif isinstance(event, CallStartedEvent):
        watch.texts.setdefault(call, "")
    elif isinstance(event, RestartEvent):
        watch.texts[call] = ""
    elif isinstance(event, TextEvent):
        _follow_text(watch, event)
    elif isinstance(event, CallFinishedEvent):
        watch.texts.setdefault(call, "")


def _follow_text(watch: WatchRecord, event: TextEvent) -> None:
    before = watch.texts.get(event.id.call, "")
    start = event.id.offset - len(event.text)
    if start != len(before):
        watch.problems.append(
            f"text of call {event.id.call} starts at {start}, {len(before)} characters are there"
        )
    watch.texts[event.id.call] = before[:start] + event.text
