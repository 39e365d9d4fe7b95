"""The functions of ``absl.logging`` that roles use, without an import of ``absl.flags``.

Lines go to the role's output as by ``absl.logging``, with the same bytes and levels. Other
functions and calls with format arguments execute ``absl.logging``, which takes over from then on.
"""

from __future__ import annotations

import importlib
from collections.abc import Callable

_ERROR, _WARNING, _INFO, _DEBUG = -2, -1, 0, 1
"""Levels of ``absl.logging``."""
_STANDARD_LEVELS = {_ERROR: 40, _WARNING: 30, _INFO: 20, _DEBUG: 10}

_verbosity: list[int] = []
"""What was set by :func:`set_verbosity`, for ``absl.logging`` once it is executed."""


def provided() -> dict[str, object]:
    """Return the attributes of the module ``absl.logging``."""
    return {
        "ERROR": _ERROR,
        "WARNING": _WARNING,
        "INFO": _INFO,
        "DEBUG": _DEBUG,
        "error": _writer("error", _ERROR),
        "warning": _writer("warning", _WARNING),
        "info": _writer("info", _INFO),
        "debug": _writer("debug", _DEBUG),
        "set_verbosity": set_verbosity,
    }


def set_verbosity(level: int) -> None:
    """Keep the level for ``absl.logging``."""
    _verbosity[:] = [level]


def set_executed_verbosity() -> None:
    """Set the level of ``absl.logging``, which has been executed."""
    for level in _verbosity:
        importlib.import_module("absl.logging").set_verbosity(level)


def _writer(name: str, level: int) -> Callable[..., None]:
    def write(message: object, *arguments: object, **named: object) -> None:
        from yokeline.logs import write_role_line

        if arguments or named or not write_role_line(_STANDARD_LEVELS[level], message):
            module = importlib.import_module("absl.logging")
            module.log  # noqa: B018 - executes a deferred module
            getattr(module, name)(message, *arguments, **named)

    return write
