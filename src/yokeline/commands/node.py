"""The command that runs a node."""

from __future__ import annotations

import random
import secrets
import sys
import time

from returns.result import Failure

from yokeline.effects import Address
from yokeline.errors import EXIT_OK, ErrorKind, YokelineError, YokelineException
from yokeline.identifiers import ReplicaId
from yokeline.logs import set_up_logs
from yokeline.node.data_folder import read_all
from yokeline.node.limits import ServerLimits, TransportLimits
from yokeline.node.process import BoundService, ServiceBinding, run_service
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
    built = build_node(
        settings,
        source=source,
        now=now,
        wall_offset=time.time() - now,
        files=_read_data_folder(settings),
    )

    def show_transport_counters(bound: BoundService) -> None:
        built.admin.transport_counters = bound.all_counters

    binding = _binding(settings, built.replica)
    return run_service(built, binding, on_bound=show_transport_counters)


def _read_data_folder(settings: Settings) -> dict[str, bytes]:
    """Return the content of the data folder by file name; empty if there is no folder."""
    if not settings.node.data_folder:
        return {}
    files = read_all(settings.node.data_folder)
    if isinstance(files, Failure):
        raise YokelineException(files.failure())
    return files.unwrap()


def _binding(settings: Settings, replica: ReplicaId) -> ServiceBinding:
    section = settings.node
    return ServiceBinding(
        http=Address(section.host, section.http_port),
        peer=Address(section.host, section.peer_port),
        replica=replica,
        data_folder=section.data_folder,
        limits=TransportLimits(
            server=ServerLimits(
                max_header_bytes=settings.gateway.max_header_bytes,
                max_body_bytes=settings.gateway.max_body_bytes,
            )
        ),
    )


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
