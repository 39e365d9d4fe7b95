"""Typed parsing of bodies, query parameters and headers; unknown keys are refused."""

from __future__ import annotations

import math
import re
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from yokeline.effects import HttpArrived
from yokeline.errors import ErrorKind, YokelineError
from yokeline.gateway.problems import bad_request
from yokeline.gateway.watch_position import ResumePoint
from yokeline.labels.selectors import KEY_FORM, VALUE_FORM, is_label_key, is_label_value

IDEMPOTENCY_KEY_HEADER = "idempotency-key"
MAX_KEY_LENGTH = 255
MAX_LABELS = 32
MAX_PAGE = 500
DEFAULT_PAGE = 100
MAX_QUERY_VALUE_LENGTH = 512
MAX_SHOWN = 40
EVENT_STREAM_TYPE = "text/event-stream"
_PAGE_SIZE = re.compile(r"[0-9]{1,9}")
_EVENT_ID = re.compile(r"[0-9]{1,9}\.[0-9]{1,15}(\.[0-9]{1,9})?")

Body = TypeVar("Body", bound=msgspec.Struct)


class RunBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/programs/{name}/runs``.

    Attributes:
        input: Text for an agent, or JSON: it is handed on as it was sent.
        deadline_seconds: Seconds from now by which the caller wants the answer.
        labels: Labels of the run, to find it again; the program's own labels win.
        wait: Answer when the run is answered (True) or as soon as it is recorded (False).
    """

    input: msgspec.Raw
    deadline_seconds: float | None = None
    labels: dict[str, str] = {}
    wait: bool | None = None


class TurnBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/runs/{id}/turns``; fields as in :class:`RunBody`."""

    input: msgspec.Raw
    deadline_seconds: float | None = None
    wait: bool | None = None


class RecoverBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of ``POST /admin/v1/shards/{shard}/recover``.

    Attributes:
        last_term: Term of the last entry of the copy to start from, as listed at this node.
        last_index: Its index.
        seen_term: Highest term of the shard that any node has told.
        doubt_seconds: Time for which requests that may have run before are not sent; as long
            as a key is remembered if left out.
    """

    last_term: int
    last_index: int
    seen_term: int = 0
    doubt_seconds: float | None = None


class RunInput(msgspec.Struct, frozen=True, kw_only=True):
    """A run's input.

    Attributes:
        json: The JSON text as it was sent.
        text: The text inside if it is a JSON string, else the JSON text.
    """

    json: str
    text: str


class Page(msgspec.Struct, frozen=True, kw_only=True):
    """Which part of a list is asked for."""

    after: str
    limit: int


def decode_body(request: HttpArrived, body_type: type[Body]) -> Result[Body, YokelineError]:
    """Return the request's JSON body as a ``body_type``."""
    if request.too_large:
        return Failure(
            YokelineError(
                kind=ErrorKind.BODY_TOO_LARGE,
                message="the request body is larger than this service takes",
                remedy="send less, or ask the operator to raise gateway.max_body_bytes",
            )
        )
    try:
        return Success(msgspec.json.decode(request.body, type=body_type))
    except msgspec.ValidationError as error:
        return Failure(bad_request(f"the body does not fit: {error}", "see /openapi.json"))
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        return Failure(bad_request(f"the body is not JSON: {error}", "send one JSON object"))


def parse_input(raw: msgspec.Raw) -> Result[RunInput, YokelineError]:
    """Return a run's input from the raw JSON value of the body's ``input``."""
    remedy = "send text or a JSON object as input"
    try:
        value = msgspec.json.decode(raw)
        text = bytes(raw).decode()
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        return Failure(bad_request(f"the input is not JSON: {error}", remedy))
    if isinstance(value, str):
        return Success(RunInput(json=text, text=value))
    if isinstance(value, dict):
        return Success(RunInput(json=text, text=text))
    return Failure(bad_request("the input is neither text nor a JSON object", remedy))


def parse_idempotency_key(headers: dict[str, str]) -> Result[str, YokelineError]:
    """Return the ``Idempotency-Key`` header; empty if there is none."""
    key = headers.get(IDEMPOTENCY_KEY_HEADER)
    if key is None:
        return Success("")
    key = key.strip()
    if not key or len(key) > MAX_KEY_LENGTH or not key.isascii() or not key.isprintable():
        return Failure(
            bad_request(
                "the Idempotency-Key cannot be used",
                f"send 1 to {MAX_KEY_LENGTH} printable ASCII characters",
            )
        )
    return Success(key)


def parse_deadline(
    requested: float | None, policy: float | None, default: float, longest: float
) -> Result[float, YokelineError]:
    """Return the deadline of a request in seconds.

    Args:
        requested: What the caller asks for.
        policy: What the operator's policies set; a caller may ask for less, not for more.
        default: Used where neither is set.
        longest: The longest deadline of the service.
    """
    if requested is None:
        return Success(min(policy if policy is not None else default, longest))
    if not math.isfinite(requested) or not 0 < requested <= longest:
        return Failure(
            bad_request(
                f"deadline_seconds is {requested}",
                f"ask for more than 0 and at most {longest:g} seconds",
            )
        )
    return Success(requested if policy is None else min(requested, policy))


def check_labels(labels: dict[str, str]) -> Result[dict[str, str], YokelineError]:
    """Return the labels of a request if they are few and of the form of labels."""
    if len(labels) > MAX_LABELS:
        return Failure(bad_request(f"{len(labels)} labels", f"send at most {MAX_LABELS}"))
    for key, value in labels.items():
        if not is_label_key(key):
            return Failure(bad_request(f"{key[:MAX_SHOWN]!r} is no label key", f"use {KEY_FORM}"))
        if not is_label_value(value):
            return Failure(
                bad_request(f"{value[:MAX_SHOWN]!r} is no label value", f"use {VALUE_FORM}")
            )
    return Success(labels)


def parse_page(query: dict[str, str]) -> Result[Page, YokelineError]:
    """Return the page that ``?after=&limit=`` asks for."""
    text = query.get("limit", str(DEFAULT_PAGE))
    after = query.get("after", "")
    if _PAGE_SIZE.fullmatch(text) is None or not 1 <= int(text) <= MAX_PAGE:
        return Failure(bad_request(f"limit is {text[:MAX_SHOWN]!r}", f"ask for 1 to {MAX_PAGE}"))
    if len(after) > MAX_QUERY_VALUE_LENGTH:
        return Failure(bad_request("after is too long", "send the value of next in the last page"))
    return Success(Page(after=after, limit=int(text)))


def parse_wait(query: dict[str, str], longest: float) -> Result[float, YokelineError]:
    """Return the seconds of ``?wait=``; 0 if there is none, and ``longest`` at most."""
    text = query.get("wait", "0")
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not math.isfinite(seconds) or seconds < 0:
        return Failure(bad_request(f"wait is {text[:MAX_SHOWN]!r}", "send a number of seconds"))
    return Success(min(seconds, longest))


def parse_last_event_id(headers: dict[str, str]) -> Result[ResumePoint, YokelineError]:
    """Return the position in ``Last-Event-ID``; the start if there is none."""
    text = headers.get("last-event-id", "").strip()
    if not text:
        return Success(ResumePoint())
    if _EVENT_ID.fullmatch(text) is None:
        return Failure(
            bad_request(
                f"Last-Event-ID is {text[:MAX_SHOWN]!r}",
                "send the id of the last event as it came, such as 3.120",
            )
        )
    return Success(ResumePoint(*[int(part) for part in text.split(".")]))


def wants_events(headers: dict[str, str]) -> bool:
    """Return whether the sender accepts an event stream."""
    return EVENT_STREAM_TYPE in headers.get("accept", "").lower()
