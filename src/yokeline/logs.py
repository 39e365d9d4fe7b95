"""Log lines in JSON, one flat object a line, through ``absl.logging``."""

from __future__ import annotations

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
_SECRET_PARTS = ("authorization", "password", "secret", "api_key", "credential", "cookie")
_SECRET_NAMES = ("token", "bearer")
REDACTED = "[redacted]"

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


def set_up_role_logs(level: str) -> BoundedLogOutput:
    """Send all log lines of a role's process to standard output, bounded and never blocking."""
    output = BoundedLogOutput(sys.stdout.fileno())
    root = logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(output)
    absl.logging.set_verbosity(_LEVELS[level])
    return output


def write_record(record: LogRecord) -> None:
    """Write a :class:`~yokeline.effects.LogRecord` as one line."""
    level = _LEVELS.get(record.level, absl.logging.INFO)
    absl.logging.log(level, {"event": record.event, **redacted(record.fields)})


def redacted(fields: dict[str, LogValue]) -> dict[str, LogValue]:
    """Return the fields with the text of those that look like secrets left out."""
    return {
        name: REDACTED if isinstance(value, str) and _is_secret(name) else value
        for name, value in fields.items()
    }


def _is_secret(name: str) -> bool:
    lowered = name.lower().replace("-", "_")
    if lowered in _SECRET_NAMES or lowered.endswith("_token"):
        return True
    return any(part in lowered for part in _SECRET_PARTS)
