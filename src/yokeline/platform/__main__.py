"""Runs a role on the users' platform: ``python -m yokeline.platform edge|storage``."""

from __future__ import annotations

import gc
import os
import signal
import sys
import time

BEGAN_AT = time.monotonic()
if __name__ == "__main__":
    # Until the role handles it, a reload asks for nothing: the settings are not read yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
SETTINGS_VARIABLE = "YOKELINE_NODE_FILE"
"""Environment variable that holds the path of the settings file."""

gc.disable()  # what is imported stays; enabled again before the role runs

# Before all large imports: who connects meanwhile is kept waiting, not refused.
from yokeline.early_sockets import EarlySockets, open_early  # noqa: E402

_EARLY = (
    open_early(os.environ.get(SETTINGS_VARIABLE, "")) if __name__ == "__main__" else EarlySockets()
)

from returns.result import Failure  # noqa: E402

from yokeline.errors import EXIT_USAGE  # noqa: E402
from yokeline.light_imports import import_circuits_lightly  # noqa: E402
from yokeline.platform.documents import PlatformDocuments  # noqa: E402
from yokeline.platform.headers import HeaderDialect  # noqa: E402
from yokeline.platform.store import KeyValueStore  # noqa: E402
from yokeline.role_settings import read_role_settings  # noqa: E402

import_circuits_lightly()

from yokeline.roles import Adapter, ProcessStart, run_role  # noqa: E402 - after the line above

READY_PATH = "/-/ready"
"""Where the entry asks whether a node wants connections."""


def main(arguments: list[str]) -> int:
    """Run the role named by the first argument; return the exit code."""
    role = arguments[0] if arguments else ""
    settings = read_role_settings(os.environ.get(SETTINGS_VARIABLE, ""))
    if isinstance(settings, Failure):
        print(settings.failure().line(), file=sys.stderr)
        return EXIT_USAGE
    adapter = Adapter(
        store=KeyValueStore,
        formats=PlatformDocuments(),
        dialect=HeaderDialect(),
        ready_path=READY_PATH,
    )
    gc.freeze()
    gc.enable()
    return run_role(role, settings.unwrap(), adapter, ProcessStart(BEGAN_AT, _EARLY))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
