"""Header names of the platform, and calls and answers read from them (PROTOCOL.md)."""

from __future__ import annotations

import math
import re

from returns.result import Failure, Result, Success

from yokeline.bearer_tokens import read_bearer_token, token_digest
from yokeline.effects import HttpArrived, HttpResponse
from yokeline.errors import ErrorKind, YokelineError
from yokeline.forwarding.dialect import EngineRequestContext
from yokeline.forwarding.http_statuses import MISDIRECTED
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
    SESSION_ID,
    TENANT,
    TOKEN_BUDGET,
    TOKEN_USAGE,
    FieldRule,
    passed_fields,
    repeated_field,
)

AFFINITY_KEY = "X-Yokeline-Affinity-Key"
NOT_EXECUTED = "x-yokeline-not-executed"

DEFAULT_DEADLINE_SECONDS = 30.0
_MILLISECONDS = 1000.0
_AFFINITY = re.compile(rf"(?:^|;\s*){re.escape(AFFINITY_KEY)}=([^;]*)")


class HeaderDialect:
    """The platform's headers, as :class:`yokeline.forwarding.dialect.Dialect`."""

    echo_header = REQUEST_ID

    def parse_call(self, arrived: HttpArrived) -> Result[Call, YokelineError]:
        """Return what a request says of itself; a failure names the field."""
        headers = arrived.headers
        request_id = headers.get(REQUEST_ID, "")
        if not request_id:
            return Failure(_bad_field(REQUEST_ID, "is missing"))
        repeated = repeated_field(arrived.header_items)
        if repeated:
            return Failure(_bad_field(repeated, "is given more than once"))
        try:
            return Success(_parse(headers, request_id))
        except ValueError as error:
            return Failure(_bad_field("a header", f"cannot be read: {error}"))

    def engine_headers(
        self, arrived: HttpArrived, call: Call, context: EngineRequestContext
    ) -> tuple[tuple[str, str], ...]:
        """Return the caller's end-to-end fields with those that the system sets."""
        fields = passed_fields(
            arrived.header_items,
            _named_by_connection(arrived),
            shows_credential=context.forwards_credential,
        )
        remaining_ms = max(1, int(context.remaining_seconds * _MILLISECONDS))
        fields.append((DEADLINE_MS, str(remaining_ms)))
        fields.append((EXPECT_INSTANCE, context.engine.instance))
        fields.append((REQUEST_PRIORITY, str(context.priority)))
        if context.tenant:
            fields.append((TENANT, context.tenant))
        if context.last_event_id:
            fields.append((LAST_EVENT_ID, context.last_event_id))
        return tuple(fields)

    def response_headers(self, response: HttpResponse) -> dict[str, str]:
        """Return an answer's end-to-end fields."""
        named = response.headers.get("connection", "").lower()
        dropped = {item.strip() for item in named.split(",")} | {"date"}
        return {
            name: value
            for name, value in response.headers.items()
            if name not in dropped and FIELD_RULES.get(name) is not FieldRule.HOP
        }

    def was_not_executed(self, response: HttpResponse) -> bool:
        """Return whether the engine says that it did not run the request."""
        return response.status == MISDIRECTED or NOT_EXECUTED in response.headers

    def refusal_headers(self, call_id: str, retry_after: float | None) -> dict[str, str]:
        """Return the fields of a refusal: the request's id, and when to come back."""
        headers = {"content-type": "application/json"}
        if call_id:
            headers[REQUEST_ID] = call_id
        if retry_after is not None:
            headers["retry-after"] = f"{retry_after:.2f}"
        return headers


def _parse(headers: dict[str, str], request_id: str) -> Call:
    prompt_tokens, max_tokens = _usage(headers.get(TOKEN_USAGE, ""))
    deadline_ms = headers.get(DEADLINE_MS)
    finish_ms = headers.get(FINISH_MS)
    budget = headers.get(TOKEN_BUDGET)
    affinity = _AFFINITY.search(headers.get("cookie", ""))
    return Call(
        request_id=request_id,
        deadline=_seconds(deadline_ms) if deadline_ms else DEFAULT_DEADLINE_SECONDS,
        program=headers.get(PROGRAM_ID, ""),
        session=headers.get(SESSION_ID, ""),
        program_time_left=_seconds(finish_ms) if finish_ms else None,
        budget=_count(budget) if budget else None,
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        hinted_tokens=_hint(headers.get(LENGTH_HINT, "")),
        prompt_parts=_parts(headers.get(PROMPT_PREFIX, "")),
        last_event_id=headers.get(LAST_EVENT_ID, ""),
        previous_turn=headers.get(PREVIOUS_TURN, ""),
        affinity_key=affinity.group(1) if affinity else "",
        credential=_credential(headers.get(AUTHORIZATION, "")),
    )


def _credential(authorization: str) -> Credential | None:
    """Return the digest of the key in an ``Authorization`` field; None if it holds no key."""
    key = read_bearer_token(authorization)
    return Credential(token_digest(key)) if key else None


def _seconds(milliseconds: str) -> float:
    """Return a time in seconds.

    Raises:
        ValueError: It is no finite number. A time that is none would never be over.
    """
    seconds = float(milliseconds) / _MILLISECONDS
    if not math.isfinite(seconds):
        raise ValueError("a time is not a finite number")
    return seconds


def _count(text: str) -> int:
    """Return a number of tokens.

    Raises:
        ValueError: It is none. A negative one would add to a budget.
    """
    count = int(text)
    if count < 0:
        raise ValueError("a number of tokens is negative")
    return count


def _usage(text: str) -> tuple[int, int]:
    if not text:
        return 0, 0
    prompt, _, most = text.partition(",")
    return _count(prompt), _count(most or "0")


def _hint(text: str) -> int | None:
    """Return a caller's guess; one that cannot be read is no reason to refuse a turn."""
    return int(text) if text.isdecimal() else None


def _parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(","):
        part_id, colon, tokens = item.strip().partition(":")
        if colon:
            parts.append(PromptPart(part_id, _count(tokens)))
    return tuple(parts)


def _named_by_connection(arrived: HttpArrived) -> set[str]:
    named = arrived.headers.get("connection", "")
    return {item.strip().lower() for item in named.split(",") if item.strip()}


def _bad_field(name: str, what: str) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.BAD_REQUEST,
        message=f"{name} {what}",
        remedy="send the request with the header fields of the protocol page",
    )
