"""Rules by which header fields of a caller's request are forwarded to an engine."""

from __future__ import annotations

import enum
from collections.abc import Iterable

REQUEST_ID = "x-yokeline-request-id"
DEADLINE_MS = "x-yokeline-deadline-ms"
AUTHORIZATION = "authorization"
PROMPT_PREFIX = "x-yokeline-prompt-prefix"
LAST_EVENT_ID = "last-event-id"
EXPECT_INSTANCE = "x-yokeline-expect-instance"
TOKEN_USAGE = "x-yokeline-token-usage"
REQUEST_PRIORITY = "x-yokeline-request-priority"
TENANT = "x-yokeline-tenant"
PROGRAM_ID = "x-yokeline-program-id"
SESSION_ID = "x-yokeline-session-id"
FINISH_MS = "x-yokeline-finish-ms"
LENGTH_HINT = "x-yokeline-length-hint"
TOKEN_BUDGET = "x-yokeline-token-budget"
PREVIOUS_TURN = "x-yokeline-previous-turn"
RESUMES = "resumes"


class FieldRule(enum.Enum):
    """How a field of a caller's request is forwarded to an engine."""

    HOP_BY_HOP = "hop"
    """Applies to one connection; never forwarded."""
    SYSTEM = "system"
    """Controls engines or is trusted by them; never forwarded, set only by this system."""
    REPLACED = "replaced"
    """Read by this system, which sends its own value to the engine."""
    CALLER = "caller"
    """Read by this system and forwarded unchanged, even if ``Connection`` lists it."""
    CREDENTIAL = "credential"
    """Read by this system; forwarded only in a deployment without tenants."""


_NAMES_BY_RULE = {
    FieldRule.HOP_BY_HOP: (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authorization",
        "te",
        "trailer",
        "upgrade",
        "transfer-encoding",
        "content-length",
        "expect",
    ),
    FieldRule.SYSTEM: (
        EXPECT_INSTANCE,
        REQUEST_PRIORITY,
        TENANT,
        "x-yokeline-expect-version",
        "x-yokeline-hold",
        "x-yokeline-pin-ms",
        "x-yokeline-kv-backup",
        "kv-from",
        "kv-fetch",
    ),
    FieldRule.REPLACED: (DEADLINE_MS, LAST_EVENT_ID),
    FieldRule.CALLER: (
        REQUEST_ID,
        PROMPT_PREFIX,
        TOKEN_USAGE,
        PROGRAM_ID,
        SESSION_ID,
        FINISH_MS,
        LENGTH_HINT,
        TOKEN_BUDGET,
        PREVIOUS_TURN,
        RESUMES,
    ),
    FieldRule.CREDENTIAL: (AUTHORIZATION,),
}
FIELD_RULES = {name: rule for rule, names in _NAMES_BY_RULE.items() for name in names}
"""Rules by field name. Other fields are forwarded, unless ``Connection`` lists them."""

_SINGLE_VALUED = frozenset(
    name
    for name, rule in FIELD_RULES.items()
    if rule in (FieldRule.REPLACED, FieldRule.CALLER, FieldRule.CREDENTIAL)
    and name != PROMPT_PREFIX
)
"""Fields that must not be repeated: this node and an engine could read different values."""


def forwarded_fields(
    items: Iterable[tuple[str, str]], connection_options: set[str], *, shows_credential: bool
) -> list[tuple[str, str]]:
    """Return the caller's fields that are forwarded to an engine.

    Args:
        items: The caller's fields, names in lower case.
        connection_options: Names listed in the ``Connection`` field, in lower case.
        shows_credential: Forward the caller's credential.
    """
    return [
        (name, value)
        for name, value in items
        if _is_forwarded(name, connection_options, shows_credential=shows_credential)
    ]


def duplicate_field(items: Iterable[tuple[str, str]]) -> str:
    """Return the first single-valued field that is repeated; empty if there is none."""
    seen: set[str] = set()
    for name, _ in items:
        if name in _SINGLE_VALUED and name in seen:
            return name
        seen.add(name)
    return ""


def _is_forwarded(name: str, connection_options: set[str], *, shows_credential: bool) -> bool:
    rule = FIELD_RULES.get(name)
    if rule is None:
        return name not in connection_options and not _is_underscore_alias(name)
    if rule is FieldRule.CREDENTIAL:
        return shows_credential
    return rule is FieldRule.CALLER


def _is_underscore_alias(name: str) -> bool:
    """Return whether a receiver that treats ``_`` as ``-`` would read a known name."""
    return "_" in name and name.replace("_", "-") in FIELD_RULES
