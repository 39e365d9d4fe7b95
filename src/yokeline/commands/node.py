"""The command that runs a node."""

from __future__ import annotations

import random
import secrets
import sys
import time

from returns.result import Failure, Result, Success

from yokeline.effects import Address
from yokeline.errors import EXIT_OK, ErrorKind, YokelineError, YokelineException
from yokeline.logs import set_up_logs
from yokeline.node.data_folder import read_all
from yokeline.node.limits import ServerLimits, TransportLimits
from yokeline.node.process import ServiceBinding, run_service
from yokeline.settings import Settings
from yokeline.settings_loader import load_settings

SEED_BITS = 128


def node(
    settings: str = "",
    *,
    set: list[str] | None = None,
    check: bool = False,
) -> int:
    """Run a node until it is stopped (SIGTERM, or yokeline drain).

    Exit code 0: a planned stop is complete; 1: a fault; 2: the settings cannot be used, each
    problem on a line of its own.

    Args:
        settings: TOML file with the settings.
        set: One setting as SECTION.KEY=VALUE; wins over the file; once per setting.
        check: Only check the settings.
    """
    loaded = load_settings(settings or None, set or [])
    if isinstance(loaded, Failure):
        error = loaded.failure()
        for line in error.details[1:]:
            print(line, file=sys.stderr)
        raise YokelineException(error)
    if check:
        print("the settings can be used")
        return EXIT_OK
    return _run(loaded.unwrap())


def _run(settings: Settings) -> int:
    # Imported here: it loads the whole node, which no other command needs.
    from yokeline.server.node import build_node

    _set_up_logs(settings)
    source = random.Random(secrets.randbits(SEED_BITS))
    now = time.monotonic()
    section = settings.node
    files: Result[dict[str, bytes], YokelineError] = Success({})
    if section.data_folder:
        files = read_all(section.data_folder)
    if isinstance(files, Failure):
        raise YokelineException(files.failure())
    built = build_node(
        settings,
        source=source,
        now=now,
        wall_offset=time.time() - now,
        files=files.unwrap(),
    )
    binding = ServiceBinding(
        http=Address(section.host, section.http_port),
        peer=Address(section.host, section.peer_port),
        replica=built.context.replica,
        data_folder=section.data_folder,
        limits=TransportLimits(
            server=ServerLimits(
                max_header_bytes=settings.gateway.max_header_bytes,
                max_body_bytes=settings.gateway.max_body_bytes,
            )
        ),
    )
    return run_service(built, binding)


def _set_up_logs(settings: Settings) -> None:
    try:
        set_up_logs(settings.log.level, settings.log.file)
    except OSError as error:
        raise YokelineException(
            YokelineError(
                kind=ErrorKind.BAD_SETTING,
                message=f"log.file cannot be opened: {error}",
                remedy="correct log.file, or leave it empty for standard error",
            )
        ) from error
