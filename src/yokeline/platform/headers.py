"""Header fields of the platform's requests and responses (PROTOCOL.md)."""

from __future__ import annotations

import math
import re

import msgspec
from returns.result import Failure, Result, Success

from yokeline.bearer_tokens import read_bearer_token, token_digest
from yokeline.effects import HttpArrived, HttpResponse
from yokeline.errors import ErrorKind, YokelineError
from yokeline.forwarding.dialect import EngineRequestContext
from yokeline.forwarding.http_statuses import MISDIRECTED, SUCCESS
from yokeline.forwarding.model import Call, PromptPart
from yokeline.forwarding.tenants import Credential
from yokeline.platform.fields import (
    AUTHORIZATION,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    FIELD_RULES,
    FINISH_MS,
    LAST_EVENT_ID,
    LENGTH_HINT,
    PREVIOUS_TURN,
    PROGRAM_ID,
    PROMPT_PREFIX,
    REQUEST_ID,
    REQUEST_PRIORITY,
    RESUMES,
    SESSION_ID,
    TENANT,
    TOKEN_BUDGET,
    TOKEN_USAGE,
    FieldRule,
    duplicate_field,
    forwarded_fields,
)

_AFFINITY_COOKIE = "X-Yokeline-Affinity-Key"
_NOT_EXECUTED = "x-yokeline-not-executed"

DEFAULT_DEADLINE_SECONDS = 30.0
MAX_RESUMED_ID_CHARS = 256
"""Length of a request id above which no stream can be resumed by it."""
MAX_TOKENS = 2**53
"""Largest number of tokens; larger ones fit in no message between nodes."""
_MS_PER_SECOND = 1000.0
_AFFINITY_PATTERN = re.compile(rf"(?:^|;\s*){re.escape(_AFFINITY_COOKIE)}=([^;]*)")


class _EngineState(msgspec.Struct):
    """State of an engine, as far as it is read.

    Attributes:
        born: Start time of the engine (Unix milliseconds); older engines do not state it.
    """

    born: int | None = None


class HeaderDialect:
    """Implements :class:`yokeline.forwarding.dialect.Dialect` for the platform."""

    engine_state_path = "/-/report"
    echo_header = REQUEST_ID

    def parse_call(self, arrived: HttpArrived) -> Result[Call, YokelineError]:
        """Parse the header fields of a request; a failure names the invalid field."""
        headers = arrived.headers
        request_id = headers.get(REQUEST_ID, "")
        if not request_id:
            return Failure(_invalid_field_error(REQUEST_ID, "is missing"))
        repeated = duplicate_field(arrived.header_items)
        if repeated:
            return Failure(_invalid_field_error(repeated, "is given more than once"))
        try:
            return Success(_parse_call(headers, request_id))
        except ValueError as error:
            return Failure(_invalid_field_error("a header", f"cannot be read: {error}"))

    def engine_headers(
        self, arrived: HttpArrived, call: Call, context: EngineRequestContext
    ) -> tuple[tuple[str, str], ...]:
        """Return the forwarded fields of the caller, and the fields that this system sets."""
        fields = forwarded_fields(
            arrived.header_items,
            _connection_options(arrived),
            shows_credential=context.forwards_credential,
        )
        remaining_ms = max(1, int(context.remaining_seconds * _MS_PER_SECOND))
        fields.append((DEADLINE_MS, str(remaining_ms)))
        fields.append((EXPECT_INSTANCE, context.engine.instance))
        fields.append((REQUEST_PRIORITY, str(context.priority)))
        if context.tenant:
            fields.append((TENANT, context.tenant))
        if context.last_event_id:
            fields.append((LAST_EVENT_ID, context.last_event_id))
        return tuple(fields)

    def response_headers(self, response: HttpResponse) -> dict[str, str]:
        """Return the end-to-end fields of a response, without ``date``."""
        named = response.headers.get("connection", "").lower()
        dropped = {item.strip() for item in named.split(",")} | {"date"}
        return {
            name: value
            for name, value in response.headers.items()
            if name not in dropped and FIELD_RULES.get(name) is not FieldRule.HOP_BY_HOP
        }

    def was_not_executed(self, response: HttpResponse) -> bool:
        """Return whether the response states that the engine did not run the request."""
        return response.status == MISDIRECTED or _NOT_EXECUTED in response.headers

    def engine_state_headers(self, instance: str) -> tuple[tuple[str, str], ...]:
        """Return the header fields of a request for an engine's report, without ``host``."""
        return ((EXPECT_INSTANCE, instance),)

    def read_engine_start(self, response: HttpResponse) -> int | None:
        """Return the start time (Unix milliseconds) in an engine's report; None without one."""
        if response.status not in SUCCESS:
            return None
        try:
            return msgspec.json.decode(response.body, type=_EngineState).born
        except (msgspec.MsgspecError, ValueError, RecursionError):
            return None

    def refusal_headers(self, call_id: str, retry_after: float | None) -> dict[str, str]:
        """Return the fields of a refusal: content type, request id and ``retry-after``."""
        headers = {"content-type": "application/json"}
        if call_id:
            headers[REQUEST_ID] = call_id
        if retry_after is not None:
            headers["retry-after"] = f"{retry_after:.2f}"
        return headers


def _parse_call(headers: dict[str, str], request_id: str) -> Call:
    prompt_tokens, max_tokens = _parse_token_usage(headers.get(TOKEN_USAGE, ""))
    deadline_ms = headers.get(DEADLINE_MS)
    finish_ms = headers.get(FINISH_MS)
    budget = headers.get(TOKEN_BUDGET)
    affinity = _AFFINITY_PATTERN.search(headers.get("cookie", ""))
    return Call(
        request_id=request_id,
        deadline=_parse_seconds(deadline_ms) if deadline_ms else DEFAULT_DEADLINE_SECONDS,
        program=headers.get(PROGRAM_ID, ""),
        session=headers.get(SESSION_ID, ""),
        program_time_left=_parse_seconds(finish_ms) if finish_ms else None,
        budget=_parse_token_count(budget) if budget else None,
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        hinted_tokens=_parse_length_hint(headers.get(LENGTH_HINT, "")),
        prompt_parts=_parse_prompt_parts(headers.get(PROMPT_PREFIX, "")),
        last_event_id=headers.get(LAST_EVENT_ID, ""),
        resumes=_parse_resumed_id(headers.get(RESUMES, "")),
        previous_turn=headers.get(PREVIOUS_TURN, ""),
        affinity_key=affinity.group(1) if affinity else "",
        credential=_parse_credential(headers.get(AUTHORIZATION, "")),
    )


def _parse_credential(authorization: str) -> Credential | None:
    """Return the digest of the bearer token in an ``Authorization`` field; None without one."""
    key = read_bearer_token(authorization)
    return Credential(token_digest(key)) if key else None


def _parse_resumed_id(text: str) -> str:
    """Return the request id that began a resumed stream; empty if it is too long for one."""
    return text if len(text) <= MAX_RESUMED_ID_CHARS else ""


def _parse_seconds(milliseconds: str) -> float:
    """Convert a time in milliseconds to seconds.

    Raises:
        ValueError: The time is not a finite number, so it would never expire.
    """
    seconds = float(milliseconds) / _MS_PER_SECOND
    if not math.isfinite(seconds):
        raise ValueError("a time is not a finite number")
    return seconds


def _parse_token_count(text: str) -> int:
    """Parse a number of tokens; one beyond :data:`MAX_TOKENS` is taken for it.

    Raises:
        ValueError: The text is not an integer, or it is negative, which would increase a budget.
    """
    count = int(text)
    if count < 0:
        raise ValueError("a number of tokens is negative")
    return min(count, MAX_TOKENS)


def _parse_token_usage(text: str) -> tuple[int, int]:
    """Return the prompt tokens and the maximum generated tokens."""
    if not text:
        return 0, 0
    prompt, _, generated = text.partition(",")
    return _parse_token_count(prompt), _parse_token_count(generated or "0")


def _parse_length_hint(text: str) -> int | None:
    """Return the expected tokens; None if the hint is invalid, since it is only advisory."""
    try:
        return _parse_token_count(text) if text.isdecimal() else None
    except ValueError:
        return None


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(","):
        part_id, colon, tokens = item.strip().partition(":")
        if colon:
            parts.append(PromptPart(part_id, _parse_token_count(tokens)))
    return tuple(parts)


def _connection_options(arrived: HttpArrived) -> set[str]:
    """Return the names listed in the ``Connection`` field, in lower case."""
    named = arrived.headers.get("connection", "")
    return {item.strip().lower() for item in named.split(",") if item.strip()}


def _invalid_field_error(name: str, what: str) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.BAD_REQUEST,
        message=f"{name} {what}",
        remedy="send the request with the header fields of the protocol page",
    )
