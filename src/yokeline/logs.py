"""Log lines in JSON, one flat object a line, through ``absl.logging``."""

from __future__ import annotations

import functools
import logging
import sys
from typing import TextIO

import absl.logging

from yokeline.effects import LogRecord
from yokeline.log_output import BoundedLogOutput

_LEVELS = {
    "debug": absl.logging.DEBUG,
    "info": absl.logging.INFO,
    "warning": absl.logging.WARNING,
    "error": absl.logging.ERROR,
}
_STANDARD_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
_SECRET_PARTS = ("authorization", "password", "secret", "api_key", "credential", "cookie")
_SECRET_NAMES = ("token", "bearer")
REDACTED = "[redacted]"

_MAX_REMEMBERED_NAMES = 1024
"""Field names for which it is known whether they look like secrets; they come from the code."""


class _RoleLines:
    """Where :func:`write_record` writes directly.

    Attributes:
        output: The output of a role's process; None to write by ``absl.logging``.
        least_level: Level of ``logging`` from which on lines are written.
    """

    output: BoundedLogOutput | None = None
    least_level = logging.INFO


_role_lines = _RoleLines()

LogValue = str | int | float | bool | None


def set_up_logs(level: str = "info", file: str = "", stream: TextIO | None = None) -> None:
    """Send all log lines of the process to a file, or to a stream (standard error).

    Args:
        level: ``debug``, ``info``, ``warning`` or ``error``.
        file: File to append to; empty for the stream.
        stream: Used when no file is given; standard error by default.

    Raises:
        OSError: The file cannot be opened.
    """
    # Roles write their lines by BoundedLogOutput and do not load python-json-logger.
    from yokeline.log_formatter import utc_json_formatter

    target = open(file, "a", encoding="utf-8") if file else stream or sys.stderr  # noqa: SIM115
    output = logging.StreamHandler(target)
    output.setFormatter(utc_json_formatter())
    root = logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(output)
    absl.logging.set_verbosity(_LEVELS[level])
    _role_lines.output = None


def set_up_role_logs(level: str) -> BoundedLogOutput:
    """Send all log lines of a role's process to standard output, bounded and never blocking."""
    output = BoundedLogOutput(sys.stdout.fileno())
    root = logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(output)
    absl.logging.set_verbosity(_LEVELS[level])
    _role_lines.output = output
    _role_lines.least_level = _STANDARD_LEVELS[level]
    return output


def write_record(record: LogRecord) -> None:
    """Write a :class:`~yokeline.effects.LogRecord` as one line."""
    fields = {"event": record.event, **redacted(record.fields)}
    if not write_role_line(_STANDARD_LEVELS.get(record.level, logging.INFO), fields):
        absl.logging.log(_LEVELS.get(record.level, absl.logging.INFO), fields)


def write_role_line(level: int, message: object) -> bool:
    """Write a line to a role's output; return whether the process has one.

    Args:
        level: Level of ``logging``; lines below the role's level are left out.
        message: Fields of the line, or its text.
    """
    output = _role_lines.output
    if output is None:
        return False
    if level >= _role_lines.least_level:
        fields = message if isinstance(message, dict) else {"message": str(message)}
        output.write_fields(level, fields)
    return True


def redacted(fields: dict[str, LogValue]) -> dict[str, LogValue]:
    """Return the fields with the text of those that look like secrets left out."""
    return {
        name: REDACTED if isinstance(value, str) and _is_secret(name) else value
        for name, value in fields.items()
    }


@functools.lru_cache(_MAX_REMEMBERED_NAMES)
def _is_secret(name: str) -> bool:
    lowered = name.lower().replace("-", "_")
    if lowered in _SECRET_NAMES or lowered.endswith("_token"):
        return True
    return any(part in lowered for part in _SECRET_PARTS)
