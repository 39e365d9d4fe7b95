"""Runs a role on the users' platform: ``python -m yokeline.platform edge|storage``."""

from __future__ import annotations

import gc
import os
import sys

from returns.result import Failure

from yokeline.errors import EXIT_USAGE
from yokeline.light_imports import import_circuits_lightly
from yokeline.platform.documents import PlatformDocuments
from yokeline.platform.headers import HeaderDialect
from yokeline.platform.store import KeyValueStore
from yokeline.role_settings import read_role_settings

gc.disable()  # what is imported stays; enabled again before the role runs
import_circuits_lightly()

from yokeline.roles import Adapter, run_role  # noqa: E402 - after the line above

READY_PATH = "/-/ready"
"""Where the entry asks whether a node wants connections."""
SETTINGS_VARIABLE = "YOKELINE_NODE_FILE"
"""Environment variable that holds the path of the settings file."""


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
    return run_role(role, settings.unwrap(), adapter)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
