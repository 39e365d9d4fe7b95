"""Checks of one configuration object, from JSON text to a typed object.

Every problem is reported, each as one line that names the field, what is allowed and the
remedy. What an object says about *other* objects is checked in :mod:`labels.references`.
"""

from __future__ import annotations

import re
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from yokeline.addresses import ADDRESS_FORM
from yokeline.errors import ErrorKind, YokelineError
from yokeline.field_checks import FieldProblem, check_fields, known_fields_only
from yokeline.labels.objects import (
    OBJECT_TYPES,
    App,
    ConfigurationObject,
    EnginePool,
    ObjectKind,
    Policy,
    Program,
    Tenant,
    Tool,
)
from yokeline.labels.value_checks import (
    Problems,
    address_problems,
    duplicate_problems,
    label_problems,
    model_problems,
    name_list_problems,
    name_problems,
    range_problems,
    selector_problems,
)

MAX_SYSTEM_PROMPT_LENGTH = 65_536
MAX_PATH_LENGTH = 512
MAX_COMPLETION_TOKENS = 1_000_000
MAX_TIMEOUT_SECONDS = 3600.0
MAX_DEADLINE_SECONDS = 86_400.0
MAX_PRIORITY = 1000
MAX_COUNT = 2**53
"""Largest whole number that every JSON reader keeps exactly."""

DIGEST_FORM = "64 lower-case hex digits, the SHA-256 of the token"
PATH_FORM = "'/' and visible ASCII characters other than '?' and '#'"

_DIGEST = re.compile(r"[0-9a-f]{64}")
_PATH = re.compile(r"/[!-\"$->@-~]*")


def qualified_name(item: ConfigurationObject) -> str:
    """Return the name under which an object is stored: ``tenant/name`` where it has an owner."""
    tenant = "" if isinstance(item, Tenant | EnginePool) else item.tenant
    return f"{tenant}/{item.name}" if tenant else item.name


def decode_object(
    kind: ObjectKind, text: str | bytes
) -> Result[ConfigurationObject, YokelineError]:
    """Decode and check the JSON text of an object.

    Returns:
        The typed object, or a ``BAD_REQUEST`` whose ``details`` has one line per problem.
    """
    object_type = OBJECT_TYPES[kind]
    try:
        raw = msgspec.json.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as found:
        problem = FieldProblem("the body", f"not JSON ({found})", "send one JSON object")
        return Failure(problems_error(kind.value, [problem]))
    problems = check_fields(raw, object_type)
    if problems:
        return Failure(problems_error(kind.value, problems))
    decoded: ConfigurationObject = msgspec.convert(raw, object_type)
    problems = check_object(decoded)
    if problems:
        return Failure(problems_error(kind.value, problems))
    return Success(decoded)


def decode_stored(kind: ObjectKind, text: str) -> Result[ConfigurationObject, YokelineError]:
    """Decode an object from the store, which passed the checks of the node that wrote it.

    Unlike :func:`decode_object` it leaves out top-level keys that it does not know: a node
    of a later version may have written them.
    """
    object_type = OBJECT_TYPES[kind]
    try:
        decoded: ConfigurationObject = msgspec.json.decode(text, type=object_type)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return decode_object(kind, _without_unknown_keys(text, object_type))
    problems = check_object(decoded)
    return Failure(problems_error(kind.value, problems)) if problems else Success(decoded)


def _without_unknown_keys(text: str, object_type: type) -> str | bytes:
    try:
        raw = msgspec.json.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return text
    if not isinstance(raw, dict):
        return text
    return msgspec.json.encode(known_fields_only(raw, object_type))


def problems_error(
    subject: str, problems: list[FieldProblem], kind: ErrorKind = ErrorKind.BAD_REQUEST
) -> YokelineError:
    """Return the error that lists ``problems``: the first in its message, all in ``details``."""
    first = problems[0]
    more = f" (and {len(problems) - 1} more problems)" if len(problems) > 1 else ""
    return YokelineError(
        kind=kind,
        message=f"{subject}: {first.path}: {first.message}{more}",
        remedy=first.remedy,
        details=tuple(f"{subject}: {problem.line()}" for problem in problems),
    )


def check_object(item: ConfigurationObject) -> Problems:
    """Return the problems of names, ranges, addresses and selectors in a decoded object."""
    problems = name_problems("name", item.name)
    problems.extend(label_problems(item.labels))
    if not isinstance(item, Tenant | EnginePool) and item.tenant:
        problems.extend(name_problems("tenant", item.tenant))
    checks: dict[type, Callable[..., Problems]] = {
        Tenant: _check_tenant,
        Program: _check_program,
        EnginePool: _check_engine_pool,
        Tool: _check_tool,
        App: _check_app,
        Policy: _check_policy,
    }
    problems.extend(checks[type(item)](item))
    return problems


def _check_tenant(tenant: Tenant) -> Problems:
    problems: Problems = []
    digests = [token.digest for token in tenant.tokens]
    for position, digest in enumerate(digests):
        if not _DIGEST.fullmatch(digest):
            path = f"tokens[{position}].digest"
            problems.append(FieldProblem(path, "not a digest", f"write {DIGEST_FORM}"))
    problems.extend(duplicate_problems("tokens", digests, shown=False))
    limits = tenant.limits
    problems.extend(
        range_problems("limits.requests_per_second", limits.requests_per_second, 0, MAX_COUNT)
    )
    problems.extend(range_problems("limits.burst", limits.burst, 1, MAX_COUNT))
    problems.extend(range_problems("limits.active_runs", limits.active_runs, 0, MAX_COUNT))
    problems.extend(
        range_problems("limits.tokens_per_minute", limits.tokens_per_minute, 0, MAX_COUNT)
    )
    return problems


def _check_program(program: Program) -> Problems:
    problems: Problems = []
    if not program.tenant:
        problems.append(FieldProblem("tenant", "empty", "name the tenant that owns the program"))
    if bool(program.model) == bool(program.app):
        message = "both are set" if program.model else "neither is set"
        problems.append(
            FieldProblem("model, app", message, "set 'model' for an agent or 'app' for a request")
        )
    if program.app:
        problems.extend(name_problems("app", program.app))
        problems.extend(_agent_only_problems(program))
    if program.model:
        problems.extend(model_problems("model", program.model))
    for field, names in (("tools", program.tools), ("children", program.children)):
        problems.extend(name_list_problems(field, names))
    for name in sorted(set(program.tools) & set(program.children)):
        message = f"{name!r} is also a tool, and a model could not tell them apart"
        problems.append(FieldProblem("children", message, "rename one of them"))
    if len(program.system_prompt) > MAX_SYSTEM_PROMPT_LENGTH:
        message = f"{len(program.system_prompt)} characters; at most {MAX_SYSTEM_PROMPT_LENGTH}"
        problems.append(FieldProblem("system_prompt", message, "shorten it"))
    tokens = program.max_completion_tokens
    problems.extend(range_problems("max_completion_tokens", tokens, 1, MAX_COMPLETION_TOKENS))
    return problems


def _agent_only_problems(program: Program) -> Problems:
    used = {
        "tools": bool(program.tools),
        "children": bool(program.children),
        "system_prompt": bool(program.system_prompt),
        "conversation": program.conversation,
    }
    return [
        FieldProblem(field, "set, but a program with 'app' is one request", "remove it")
        for field, is_set in used.items()
        if is_set
    ]


def _check_engine_pool(pool: EnginePool) -> Problems:
    problems = address_problems(pool.addresses)
    if not pool.addresses and not pool.machine_selector:
        message = "both are empty, so that the pool has no engine"
        problems.append(FieldProblem("addresses, machine_selector", message, "set one of them"))
    problems.extend(selector_problems("machine_selector", pool.machine_selector))
    if not pool.models:
        problems.append(FieldProblem("models", "empty", "list the models the engines may serve"))
    for position, model in enumerate(pool.models):
        problems.extend(model_problems(f"models[{position}]", model))
    problems.extend(duplicate_problems("models", pool.models))
    problems.extend(range_problems("cache_tokens", pool.cache_tokens, 1, MAX_COUNT))
    problems.extend(range_problems("slots", pool.slots, 1, MAX_COUNT))
    return problems


def _check_tool(tool: Tool) -> Problems:
    return _check_back_end(tool.addresses, tool.path, tool.timeout_seconds)


def _check_app(app: App) -> Problems:
    return _check_back_end(app.addresses, app.path, app.timeout_seconds)


def _check_back_end(addresses: tuple[str, ...], path: str, timeout_seconds: float) -> Problems:
    problems = address_problems(addresses)
    if not addresses:
        problems.append(FieldProblem("addresses", "empty", f"list at least one, {ADDRESS_FORM}"))
    if len(path) > MAX_PATH_LENGTH or not _PATH.fullmatch(path):
        problems.append(FieldProblem("path", f"{path!r} is not allowed", f"write {PATH_FORM}"))
    problems.extend(range_problems("timeout_seconds", timeout_seconds, 0, MAX_TIMEOUT_SECONDS))
    if timeout_seconds == 0:
        problems.append(FieldProblem("timeout_seconds", "0 is no time", "set more than 0"))
    return problems


def _check_policy(policy: Policy) -> Problems:
    problems = selector_problems("program_selector", policy.program_selector)
    problems.extend(selector_problems("engine_selector", policy.engine_selector))
    problems.extend(range_problems("order", policy.order, -MAX_COUNT, MAX_COUNT))
    if policy.priority is not None:
        problems.extend(range_problems("priority", policy.priority, -MAX_PRIORITY, MAX_PRIORITY))
    if policy.worth is not None:
        problems.extend(range_problems("worth", policy.worth, 0, MAX_COUNT))
    if policy.deadline_seconds is not None:
        problems.extend(
            range_problems("deadline_seconds", policy.deadline_seconds, 0, MAX_DEADLINE_SECONDS)
        )
    if policy.budget is not None:
        for field, limit in msgspec.structs.asdict(policy.budget).items():
            problems.extend(range_problems(f"budget.{field}", limit, 0, MAX_COUNT))
    return problems
