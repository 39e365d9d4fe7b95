"""Runs a role on the platform: ``python -m yokeline.platform edge|storage``."""

from __future__ import annotations

import gc
import os
import signal
import sys
import time

TYPE_CHECKING = False  # typing is imported after the sockets are open
BEGAN_AT = time.monotonic()
if __name__ == "__main__":
    # SIGHUP, which requests a reload, must not end the process before the role handles it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
SETTINGS_PATH_VARIABLE = "YOKELINE_NODE_FILE"
"""Environment variable that holds the path of the settings file."""

gc.disable()  # what a start makes is never freed; run_role enables it before the role serves

from yokeline.light_imports import defer_imports, omit_dataclass_signatures  # noqa: E402

defer_imports()

# Listens before the slow imports, so that early connections are queued instead of refused.
from yokeline.early_sockets import EarlySockets, open_early  # noqa: E402

_EARLY_SOCKETS = (
    open_early(os.environ.get(SETTINGS_PATH_VARIABLE, ""))
    if __name__ == "__main__"
    else EarlySockets()
)

omit_dataclass_signatures()

from returns.result import Failure  # noqa: E402

from yokeline.errors import EXIT_USAGE  # noqa: E402
from yokeline.platform.documents import PlatformDocuments  # noqa: E402
from yokeline.platform.store import KeyValueStore  # noqa: E402
from yokeline.role_settings import read_role_settings  # noqa: E402
from yokeline.roles import Adapter, ProcessStart, run_role  # noqa: E402

if TYPE_CHECKING:
    from yokeline.forwarding.dialect import Dialect

READY_PATH = "/-/ready"
"""Path of the load balancer's readiness probe."""


def _header_dialect() -> Dialect:
    """Load what only the role that serves requests uses."""
    import yokeline.platform.configuration  # noqa: F401 - used at the first configuration
    import yokeline.platform.engine_entries  # noqa: F401 - used at the first engine's entry
    from yokeline.platform.headers import HeaderDialect

    return HeaderDialect()


def main(arguments: list[str]) -> int:
    """Run the role named by the first argument; return the exit code."""
    role = arguments[0] if arguments else ""
    settings = read_role_settings(os.environ.get(SETTINGS_PATH_VARIABLE, ""))
    if isinstance(settings, Failure):
        print(settings.failure().line(), file=sys.stderr)
        return EXIT_USAGE
    adapter = Adapter(
        store=KeyValueStore,
        formats=PlatformDocuments(),
        dialect=_header_dialect,
        ready_path=READY_PATH,
    )
    return run_role(role, settings.unwrap(), adapter, ProcessStart(BEGAN_AT, _EARLY_SOCKETS))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
