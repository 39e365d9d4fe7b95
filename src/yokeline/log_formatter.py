"""The JSON form of log lines that are written by ``logging`` handlers."""

from __future__ import annotations

import logging
import time

from pythonjsonlogger.json import JsonFormatter

_FORMAT = "%(asctime)s %(levelname)s"
_RENAMED = {"asctime": "time", "levelname": "level"}
_TIME_FORMAT = "%Y-%m-%dT%H:%M:%S"


def utc_json_formatter() -> logging.Formatter:
    """Return a formatter of one flat JSON object a line."""
    return _UtcJsonFormatter(_FORMAT, rename_fields=_RENAMED, datefmt=_TIME_FORMAT)


class _UtcJsonFormatter(JsonFormatter):
    """Gives UTC times with milliseconds (RFC 3339)."""

    def formatTime(self, record: logging.LogRecord, datefmt: str | None = None) -> str:  # noqa: N802
        """Return the record's time."""
        seconds = time.strftime(datefmt or _TIME_FORMAT, time.gmtime(record.created))
        return f"{seconds}.{int(record.msecs):03d}Z"
