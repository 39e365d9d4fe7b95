"""Reads a node's settings file and flags, and reports every problem at once.

Each problem is one line that names the file (or flag), the key, what is allowed and the
remedy. The documentation of the settings is rendered in :mod:`yokeline.settings_docs`.
"""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from yokeline.addresses import ADDRESS_FORM, is_ip_number, parse_address
from yokeline.errors import ErrorKind, YokelineError
from yokeline.field_checks import FieldProblem, check_fields
from yokeline.labels.value_checks import NAME_FORM, is_object_name
from yokeline.settings import Settings

ALLOWED_REPLICAS = (1, 3, 5)
HEARTBEATS_PER_ELECTION_TIMEOUT = 2
SCHEDULING_POLICIES = ("affinity", "round_robin", "least_loaded", "prefix_fcfs")
LOG_LEVELS = ("debug", "info", "warning", "error")
DIGEST_LENGTH = 64
FLAG_SOURCE = "--set"
NO_FILE = "settings"

Table = dict[str, Any]


def load_settings(path: Path | str | None, overrides: list[str]) -> Result[Settings, YokelineError]:
    """Read, override and check the settings of a node.

    Args:
        path: A TOML file; None to take everything from ``overrides`` and the defaults.
        overrides: ``section.key=value``, the value in TOML syntax (a bare word is taken as
            a string). They win over the file, later ones over earlier ones.

    Returns:
        The settings, or a ``BAD_SETTING`` whose ``details`` has one line per problem.
    """
    source = NO_FILE if path is None else str(path)
    read = _read_file(path)
    if isinstance(read, Failure):
        return read
    table = read.unwrap()
    flagged: dict[str, str] = {}
    problems: list[tuple[str, FieldProblem]] = []
    for override in overrides:
        problem = _apply_override(table, flagged, override)
        if problem is not None:
            problems.append((FLAG_SOURCE, problem))
    found = check_fields(table, Settings)
    if not found:
        found = check_settings(msgspec.convert(table, Settings))
    problems.extend((flagged.get(problem.path, source), problem) for problem in found)
    if problems:
        return Failure(_settings_error(problems))
    return Success(msgspec.convert(table, Settings))


def check_settings(settings: Settings) -> list[FieldProblem]:
    """Return the problems that types cannot state: forms, ranges and clashes of two keys."""
    checks: tuple[Callable[[Settings], list[FieldProblem]], ...] = (
        _check_node,
        _check_cluster,
        _check_platform,
        _check_timings,
        _check_names_of_choices,
        _check_limits,
    )
    return [problem for check in checks for problem in check(settings)]


# ---------------------------------------------------------------- reading


def _read_file(path: Path | str | None) -> Result[Table, YokelineError]:
    if path is None:
        return Success({})
    try:
        return Success(tomllib.loads(Path(path).read_text(encoding="utf-8")))
    except OSError as found:
        reason = found.strerror or "cannot be read"
        problem = FieldProblem("the file", reason, "name a file that can be read")
    except UnicodeDecodeError:
        problem = FieldProblem("the file", "not UTF-8 text", "write a TOML file in UTF-8")
    except (tomllib.TOMLDecodeError, RecursionError, ValueError) as found:
        problem = FieldProblem("the file", f"not TOML ({found})", "correct the syntax there")
    return Failure(_settings_error([(str(path), problem)]))


def _apply_override(table: Table, flagged: dict[str, str], override: str) -> FieldProblem | None:
    """Put one ``section.key=value`` into the table and note that a flag set it."""
    name, separator, text = override.partition("=")
    section, dot, key = name.strip().partition(".")
    if not separator or not dot or not section or not key:
        return FieldProblem(
            repr(override), "not of the form section.key=value", "write --set section.key=value"
        )
    values = table.setdefault(section, {})
    if not isinstance(values, dict):
        return FieldProblem(section, "the file has a value where a table belongs", "correct it")
    values[key] = _parse_value(text.strip())
    flagged[f"{section}.{key}"] = FLAG_SOURCE
    return None


def _parse_value(text: str) -> object:
    """Return a TOML value; text that is none (a bare word, an address) is a string."""
    try:
        parsed = tomllib.loads(f"value = {text}")
    except (tomllib.TOMLDecodeError, RecursionError, ValueError):
        return text
    return parsed["value"] if list(parsed) == ["value"] else text


def _settings_error(problems: list[tuple[str, FieldProblem]]) -> YokelineError:
    lines = tuple(f"{source}: {problem.line()}".replace("\n", " ") for source, problem in problems)
    source, first = problems[0]
    more = f" (and {len(problems) - 1} more problems)" if len(problems) > 1 else ""
    return YokelineError(
        kind=ErrorKind.BAD_SETTING,
        message=f"{source}: {first.path}: {first.message}{more}".replace("\n", " "),
        remedy=first.remedy,
        details=lines,
    )


# ---------------------------------------------------------------- checks


def _check_node(settings: Settings) -> list[FieldProblem]:
    node = settings.node
    problems = []
    for key, name in (("name", node.name), ("zone", node.zone), ("region", node.region)):
        if not is_object_name(name):
            problems.append(
                FieldProblem(f"node.{key}", f"{name!r} is not allowed", f"write {NAME_FORM}")
            )
    if not is_ip_number(node.host):
        message = f"{node.host!r} is no IP number that the machine is reached at"
        remedy = "write the machine's IPv4 number, such as 10.0.0.5"
        problems.append(FieldProblem("node.host", message, remedy))
    if node.http_port == node.peer_port and node.http_port != 0:
        message = f"{node.peer_port} is also node.http_port"
        problems.append(FieldProblem("node.peer_port", message, "give the two different ports"))
    return problems


def _check_cluster(settings: Settings) -> list[FieldProblem]:
    cluster = settings.cluster
    problems = []
    for position, seed in enumerate(cluster.seeds):
        problems.extend(_address_problems(f"cluster.seeds[{position}]", seed))
    if cluster.replicas not in ALLOWED_REPLICAS:
        allowed = ", ".join(str(count) for count in ALLOWED_REPLICAS)
        message = f"{cluster.replicas} is not allowed; allowed is {allowed}"
        remedy = "set 5, or 3 where there are fewer than 5 nodes"
        problems.append(FieldProblem("cluster.replicas", message, remedy))
    return problems


def _check_platform(settings: Settings) -> list[FieldProblem]:
    platform = settings.platform
    problems = _address_problems("platform.store", platform.store)
    if platform.machine_list:
        problems.extend(_address_problems("platform.machine_list", platform.machine_list))
    prefix = platform.store_prefix
    if not prefix.endswith("/") or not prefix.isascii() or not prefix.isprintable():
        message = f"{prefix!r} is not allowed; allowed is printable ASCII that ends with '/'"
        problems.append(FieldProblem("platform.store_prefix", message, "write such as /yokeline/"))
    path = platform.machine_list_path
    if not path.startswith("/") or not path.isascii() or not path.isprintable() or " " in path:
        message = f"{path!r} is no path; allowed is printable ASCII that starts with '/'"
        problems.append(
            FieldProblem("platform.machine_list_path", message, "write such as /v1/machines")
        )
    return problems


def _check_timings(settings: Settings) -> list[FieldProblem]:
    consensus = settings.consensus
    membership = settings.membership
    problems = []
    least = HEARTBEATS_PER_ELECTION_TIMEOUT * consensus.heartbeat_seconds
    if consensus.election_timeout_seconds <= least:
        message = (
            f"{consensus.election_timeout_seconds:g} is not more than "
            f"{HEARTBEATS_PER_ELECTION_TIMEOUT} times consensus.heartbeat_seconds = {least:g}"
        )
        remedy = "raise it, or lower consensus.heartbeat_seconds"
        problems.append(FieldProblem("consensus.election_timeout_seconds", message, remedy))
    if membership.probe_timeout_seconds >= membership.probe_period_seconds:
        message = (
            f"{membership.probe_timeout_seconds:g} is not less than "
            f"membership.probe_period_seconds = {membership.probe_period_seconds:g}"
        )
        remedy = "lower it, or raise membership.probe_period_seconds"
        problems.append(FieldProblem("membership.probe_timeout_seconds", message, remedy))
    if membership.suspect_seconds < membership.probe_period_seconds:
        message = (
            f"{membership.suspect_seconds:g} is less than "
            f"membership.probe_period_seconds = {membership.probe_period_seconds:g}"
        )
        remedy = "raise it, so that a suspect has time to answer"
        problems.append(FieldProblem("membership.suspect_seconds", message, remedy))
    return problems


def _check_names_of_choices(settings: Settings) -> list[FieldProblem]:
    problems = []
    choices = (
        ("scheduling.policy", settings.scheduling.policy, SCHEDULING_POLICIES),
        ("log.level", settings.log.level, LOG_LEVELS),
    )
    for path, value, allowed in choices:
        if value not in allowed:
            message = f"{value!r} is not allowed; allowed is {', '.join(allowed)}"
            problems.append(FieldProblem(path, message, "choose one of these"))
    digest = settings.gateway.platform_token_digest
    if digest and (len(digest) != DIGEST_LENGTH or set(digest) - set("0123456789abcdef")):
        remedy = "write the token's SHA-256 in lower-case hex"
        message = f"not {DIGEST_LENGTH} lower-case hex digits"
        problems.append(FieldProblem("gateway.platform_token_digest", message, remedy))
    return problems


def _check_limits(settings: Settings) -> list[FieldProblem]:
    """Check pairs of settings of which one bounds the other."""
    pairs = (
        ("gateway.default_deadline_seconds", "gateway.max_deadline_seconds"),
        ("runs.retry_base_seconds", "runs.retry_max_seconds"),
    )
    problems = []
    for lower, upper in pairs:
        low, high = _value_at(settings, lower), _value_at(settings, upper)
        if low > high:
            message = f"{low:g} is more than {upper} = {high:g}"
            problems.append(FieldProblem(lower, message, f"lower it, or raise {upper}"))
    return problems


def _value_at(settings: Settings, path: str) -> float:
    section, _, key = path.partition(".")
    return float(getattr(getattr(settings, section), key))


def _address_problems(path: str, text: str) -> list[FieldProblem]:
    if isinstance(parse_address(text), Success):
        return []
    return [FieldProblem(path, f"{text!r} is no address", f"write {ADDRESS_FORM}")]
