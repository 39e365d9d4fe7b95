"""The command that runs a stand-in for a part of the platform."""

from __future__ import annotations

import random
from pathlib import Path
from typing import Literal

from returns.result import Failure

from yokeline.effects import Address
from yokeline.emulator.factory import build_stand_in
from yokeline.emulator.settings import StandInKind, parse_settings
from yokeline.errors import ErrorKind, YokelineError, YokelineException
from yokeline.logs import set_up_logs
from yokeline.node.process import ServiceBinding, run_service
from yokeline.node.sockets import open_sockets

KindName = Literal["engine", "tool", "app", "store", "machines", "weights"]


def emulate(
    kind: KindName,
    *,
    host: str = "127.0.0.1",
    port: int = 0,
    settings: str = "",
    seed: int = 0,
) -> int:
    """Run a stand-in for a part of the platform, for tests and trials.

    Prints its address on standard output, then runs until SIGTERM. Exit code 0: a planned
    stop; 2: the settings or the address cannot be used.

    Args:
        kind: What to stand in for.
        host: IP number to listen on; 127.0.0.1 if left out.
        port: Port to listen on; 0, or left out: a free one.
        settings: TOML file with the settings of the kind; the defaults where it is left out.
        seed: Seed of its random choices; 0 if left out.
    """
    stand_in_kind = StandInKind(kind)
    parsed = parse_settings(stand_in_kind, _read(settings))
    if isinstance(parsed, Failure):
        raise YokelineException(parsed.failure())
    binding = ServiceBinding(http=Address(host, port))
    opened = open_sockets(binding.http, None)
    if isinstance(opened, Failure):
        raise YokelineException(opened.failure())
    set_up_logs()
    service = build_stand_in(stand_in_kind, parsed.unwrap(), random.Random(seed))
    print(opened.unwrap().http_address(), flush=True)
    return run_service(service, binding, opened.unwrap())


def _read(file: str) -> str:
    if not file:
        return ""
    try:
        return Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise YokelineException(
            YokelineError(
                kind=ErrorKind.BAD_SETTING,
                message=f"the settings file cannot be read: {error}",
                remedy="check its name",
            )
        ) from error
