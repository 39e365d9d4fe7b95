"""Which header fields of a caller's request reach an engine: one rule for each field by name."""

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


class FieldRule(enum.Enum):
    """What becomes of a field of a caller's request on its way to an engine."""

    HOP = "hop"
    """Of one connection; never passed on."""
    SYSTEM = "system"
    """An order to engines, or a statement that they trust: this system alone sets it."""
    REPLACED = "replaced"
    """Read here; the engine gets this system's own value."""
    CALLER = "caller"
    """Read here, and passed on as it was read, whatever ``Connection`` names."""
    CREDENTIAL = "credential"
    """Read here; not shown to an engine where the deployment has tenants."""


_NAMES_BY_RULE = {
    FieldRule.HOP: (
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
    ),
    FieldRule.CREDENTIAL: (AUTHORIZATION,),
}
FIELD_RULES = {name: rule for rule, names in _NAMES_BY_RULE.items() for name in names}
"""The rule of each field that is known; others pass unless ``Connection`` names them."""

_SINGLE = frozenset(
    name
    for name, rule in FIELD_RULES.items()
    if rule in (FieldRule.REPLACED, FieldRule.CALLER, FieldRule.CREDENTIAL)
    and name != PROMPT_PREFIX
)
"""Fields with one value: of two, this node and an engine could each read another one."""


def passed_fields(
    items: Iterable[tuple[str, str]], named_by_connection: set[str], *, shows_credential: bool
) -> list[tuple[str, str]]:
    """Return the fields of a caller (names in lower case) that an engine gets."""
    return [
        (name, value)
        for name, value in items
        if _passes(name, named_by_connection, shows_credential=shows_credential)
    ]


def repeated_field(items: Iterable[tuple[str, str]]) -> str:
    """Return the first field that is given more than once and has one value; empty for none."""
    seen: set[str] = set()
    for name, _ in items:
        if name in _SINGLE and name in seen:
            return name
        seen.add(name)
    return ""


def _passes(name: str, named_by_connection: set[str], *, shows_credential: bool) -> bool:
    rule = FIELD_RULES.get(name)
    if rule is None:
        return name not in named_by_connection and not _is_disguised(name)
    if rule is FieldRule.CREDENTIAL:
        return shows_credential
    return rule is FieldRule.CALLER


def _is_disguised(name: str) -> bool:
    """Return whether a name would be read as a known one where ``_`` counts as ``-``."""
    return "_" in name and name.replace("_", "-") in FIELD_RULES
