"""The back ends' books in terms of runs and calls."""

from __future__ import annotations

import re
from collections import defaultdict

import msgspec

from yokeline.emulator.engine.prompt import PromptMessage
from yokeline.emulator.engine_protocol import ChatRequest, StreamChunk
from yokeline.simulation.records import BackendRequest, Books, FaultRecord, RunRecord

MARKER = re.compile(r"[a-z-]+-m[0-9]+-[0-9a-f]{8}")
CHAT_PATH = "/v1/chat/completions"
KEY_HEADER = "idempotency-key"
CLIENT_ERRORS = range(400, 500)
BUSY_STATUS = 503
HANGS = frozenset({"engine_hang", "tool_hang", "app_hang"})


class ObservedCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call of a run as it reached a back end.

    Attributes:
        attempt: Attempt of a model call; 0 for tools and apps, which are not told.
    """

    run: str
    number: int
    attempt: int
    request: BackendRequest

    @property
    def root(self) -> str:
        """Return the id of the root run."""
        return self.run.partition(".")[0]


class ModelCall(msgspec.Struct, frozen=True, kw_only=True):
    """A model call with what it carried."""

    call: ObservedCall
    messages: tuple[PromptMessage, ...]


def was_taken(request: BackendRequest) -> bool:
    """Return whether the back end may have acted: it did not refuse the request."""
    status = request.status
    return status is None or (status not in CLIENT_ERRORS and status != BUSY_STATUS)


def model_calls(books: Books) -> list[ModelCall]:
    """Return the model calls that engines took, in order of arrival."""
    found = []
    for request in books.backend_requests:
        if request.path != CHAT_PATH or request.method != "POST" or not was_taken(request):
            continue
        chat = msgspec.json.decode(request.body, type=ChatRequest)
        run, number, attempt = chat.call_id.rsplit("-", 2)
        call = ObservedCall(run=run, number=int(number), attempt=int(attempt), request=request)
        found.append(ModelCall(call=call, messages=chat.messages))
    return found


def service_calls(books: Books) -> list[ObservedCall]:
    """Return the requests that tools and apps took, in order of arrival."""
    found = []
    for request in books.backend_requests:
        key = request.headers.get(KEY_HEADER, "")
        if request.method != "POST" or not key or not was_taken(request):
            continue
        run, _, number = key.rpartition("/")
        found.append(ObservedCall(run=run, number=int(number), attempt=0, request=request))
    return found


def all_calls(books: Books) -> list[ObservedCall]:
    """Return all calls that back ends took, in order of arrival."""
    calls = [model.call for model in model_calls(books)] + service_calls(books)
    return sorted(calls, key=lambda call: call.request.arrived_at)


def by_run(calls: list[ObservedCall]) -> dict[str, list[ObservedCall]]:
    """Return calls grouped by run, each group in the given order."""
    groups: dict[str, list[ObservedCall]] = defaultdict(list)
    for call in calls:
        groups[call.run].append(call)
    return dict(groups)


def record_of_marker(books: Books) -> dict[str, RunRecord]:
    """Return the caller's record for each marker."""
    return {marker: record for record in books.runs for marker in record.markers}


def markers_in(text: str) -> set[str]:
    """Return the markers that occur in a text."""
    return set(MARKER.findall(text))


def tokens_of(request: BackendRequest) -> int:
    """Return the tokens that a model call was charged, 0 if the engine did not say.

    Prompt tokens found in the cache are not charged.
    """
    for block in reversed(request.reply.split(b"\n\n")):
        position = block.find(b"data: {")
        if position < 0 or b'"usage"' not in block:
            continue
        chunk = msgspec.json.decode(block[position + len(b"data: ") :], type=StreamChunk)
        if chunk.usage is not None:
            cached = chunk.usage.prompt_tokens_details.cached_tokens
            return chunk.usage.prompt_tokens - cached + chunk.usage.completion_tokens
    return 0


def hang_that_held_back(books: Books, arrived_at: float) -> FaultRecord | None:
    """Return the hang of a back end at whose end a request arrived, if there is one.

    What is sent to a back end while it hangs is delivered at the moment it goes on, however
    long ago it was sent, and also if the sender has given it up meanwhile.
    """
    for fault in books.faults:
        if fault.kind in HANGS and fault.ended_at == arrived_at:
            return fault
    return None
