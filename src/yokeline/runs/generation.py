"""A model call under way: one attempt's generation at an engine."""

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
    """A model call under way.

    Attributes:
        call: Its id at the engine.
        accepted: The engine may have taken the call.
        answering: Some of its answer has arrived.
        prompt_tokens: Estimated tokens of its context.
        cut_by_budget: The answer may be no longer than what the budget has left.
        stream: Reads its events, over any number of connections.
        text: Its text for the watchers of the run.
        fruitless: Connections since the last new text.
        connection: The open connection, for closing it.
    """

    __slots__ = (
        "accepted",
        "activity",
        "address",
        "answering",
        "call",
        "connection",
        "cut_by_budget",
        "engine",
        "fruitless",
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
        """Create the generation of an attempt that is not sent yet."""
        self.activity = activity
        self.engine = record.backend
        self.address = address
        self.prompt_tokens = prompt_tokens
        self.text = text
        self.call = call_id(activity.run, record.number, record.attempt)
        self.stream = ModelStream(self.title, _no_events)
        self.accepted = False
        self.answering = False
        self.cut_by_budget = False
        self.connection: RequestId | None = None
        self.fruitless = 0

    @property
    def title(self) -> str:
        """Return the engine's name for errors."""
        return f"engine {self.engine}"

    def spent(self) -> Usage:
        """Return what it is charged if it is lost: its prompt and the text that arrived."""
        return Usage(
            prompt_tokens=self.prompt_tokens,
            completion_tokens=self.stream.chunks_received,
            calls=1,
        )


def distinct_requests(number: int, requests: tuple[ToolRequest, ...]) -> tuple[ToolRequest, ...]:
    """Return a model's tool requests with identities that tell them apart.

    Args:
        number: Number of the model call, for identities made here.
        requests: Requests as the model made them; identities may be empty or equal.
    """
    seen: set[str] = set()
    distinct: list[ToolRequest] = []
    for position, request in enumerate(requests):
        identity = request.identity
        if not identity or identity in seen:
            identity = f"call-{number}-{position}"
        seen.add(identity)
        distinct.append(msgspec.structs.replace(request, identity=identity))
    return tuple(distinct)


def _no_events(_event: StreamEvent) -> None:
    return None
