"""The generation of one attempt of a model call at an engine."""

from __future__ import annotations

import msgspec

from yokeline.backends.engine import call_id
from yokeline.backends.stream import ModelStream, StreamEvent
from yokeline.effects import Address
from yokeline.identifiers import RequestId
from yokeline.runs.activity import Activity
from yokeline.runs.model import CallRecord, ToolRequest, Usage
from yokeline.runs.partial_text import PartialText


class Generation:
    """An attempt of a model call in flight.

    Attributes:
        call_id: Id of the attempt at the engine.
        maybe_accepted: Whether the engine may have accepted the call and started to generate.
        answer_started: Whether any part of the answer has arrived.
        prompt_tokens: Estimated number of prompt tokens.
        limited_by_budget: Whether the remaining budget, not the program, limits the answer.
        stream: Reader of the engine's events, reused over reconnections.
        text: Partial text for the run's watchers.
        breaks_without_progress: Consecutive broken connections without new text.
        connection: Id of the open HTTP request, if any.
    """

    __slots__ = (
        "activity",
        "address",
        "answer_started",
        "breaks_without_progress",
        "call_id",
        "connection",
        "engine",
        "limited_by_budget",
        "maybe_accepted",
        "prompt_tokens",
        "stream",
        "text",
    )

    def __init__(
        self,
        activity: Activity,
        record: CallRecord,
        address: Address,
        prompt_tokens: int,
        text: PartialText,
    ) -> None:
        self.activity = activity
        self.engine = record.backend
        self.address = address
        self.prompt_tokens = prompt_tokens
        self.text = text
        self.call_id = call_id(activity.run, record.number, record.attempt)
        self.stream = ModelStream(self.display_name, _no_events)
        self.maybe_accepted = False
        self.answer_started = False
        self.limited_by_budget = False
        self.connection: RequestId | None = None
        self.breaks_without_progress = 0

    @property
    def display_name(self) -> str:
        """Return the engine's name as used in error messages."""
        return f"engine {self.engine}"

    def usage_if_lost(self) -> Usage:
        """Return the usage to charge if the rest of the output cannot be read from the engine."""
        return Usage(
            prompt_tokens=self.prompt_tokens,
            completion_tokens=self.stream.chunks_received,
            calls=1,
        )


def with_unique_identities(
    number: int, requests: tuple[ToolRequest, ...]
) -> tuple[ToolRequest, ...]:
    """Return a model's tool requests with unique identities.

    Args:
        number: Number of the model call, used in generated identities.
        requests: The model's requests, whose identities may be empty or duplicate.
    """
    seen: set[str] = set()
    unique: list[ToolRequest] = []
    for position, request in enumerate(requests):
        identity = request.identity
        if not identity or identity in seen:
            identity = f"call-{number}-{position}"
        seen.add(identity)
        unique.append(msgspec.structs.replace(request, identity=identity))
    return tuple(unique)


def _no_events(_event: StreamEvent) -> None:
    return None
