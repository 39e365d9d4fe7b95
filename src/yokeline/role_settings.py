"""Settings of a node that runs one role (``edge`` or ``storage``), from a TOML file."""

from __future__ import annotations

import tomllib

import msgspec
from returns.result import Failure, Result, Success

from yokeline.effects import Address
from yokeline.errors import ErrorKind, YokelineError
from yokeline.identifiers import NodeName


class RoleSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What a node learns before it starts; unknown fields are skipped.

    Attributes:
        name: Name of the node; survives restarts.
        host: IP number that the node listens on.
        zone: Where it stands.
        first_start: The whole system starts for the first time.
        peer_port: Port for other nodes (TCP and UDP).
        metrics_port: Port for metrics; 0 for none.
        store: ``HOST:PORT`` of the key-value service.
        data_folder: Folder on the disk (storage).
        front: ``HOST:PORT`` for callers (edge).
        ready: ``HOST:PORT`` where readiness is asked for (edge).
        grace_seconds: Time between a stop's announcement and its end by force.
        engine_drain_ms: Milliseconds for which an engine that leaves serves on.
        engine_heartbeat_ms: Milliseconds between two heartbeats of an engine's registry entry,
            which lapses after three of them.
        max_descriptors: File descriptors that the process may use.
        link_mbps: Megabits a second that the machine's link bears; 0 if not known.
        memory_mb: Megabytes of memory that the process may use; 0 if not known.
        buffer_mb: Megabytes of it that all buffers together may take (connections, requests,
            answers, messages between nodes); 0 for 35% of ``memory_mb``.
        revoke_ms: Milliseconds after which a key that was taken away may not count on any machine,
            whether or not it reaches the others; 0 for no such bound.
        limit_window_seconds: Span of time for which the next two hold.
        limit_overage: Share of a tenant's limit that it may go beyond it in any such span.
        limit_slack: Requests on top of that.
        region: Region of the node; empty if not known.
        zone_regions: Region of each zone.
        evacuation_ms: Milliseconds after which an evacuated zone may get no request; 0 if the
            deployment has no evacuations.
        cold_overage: Multiple of a cold engine's rate that may arrive in any second.
        cold_slack: Requests on top of that.
        log_level: ``debug``, ``info``, ``warning`` or ``error``.
    """

    name: NodeName
    host: str
    store: str
    peer_port: int
    zone: str = ""
    first_start: bool = False
    metrics_port: int = 0
    data_folder: str = ""
    front: str = ""
    ready: str = ""
    grace_seconds: float = 8.0
    engine_drain_ms: float = 2000.0
    engine_heartbeat_ms: float = 1200.0
    max_descriptors: int = 4096
    link_mbps: float = 0.0
    memory_mb: float = 0.0
    buffer_mb: float = 0.0
    revoke_ms: float = 0.0
    limit_window_seconds: float = 0.0
    limit_overage: float = 0.0
    limit_slack: float = 0.0
    region: str = ""
    zone_regions: dict[str, str] = {}
    evacuation_ms: float = 0.0
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    log_level: str = "info"

    @property
    def own_region(self) -> str:
        """Region of the node; that of its zone if the node's is not set."""
        return self.region or self.zone_regions.get(self.zone, "")

    @property
    def peer_address(self) -> Address:
        """Where the node listens for other nodes."""
        return Address(self.host, self.peer_port)


def read_role_settings(path: str) -> Result[RoleSettings, YokelineError]:
    """Return the settings in a file; a failure names the field and the remedy."""
    try:
        with open(path, "rb") as file:
            fields = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        return Failure(_bad_setting(f"the settings file {path} cannot be read: {error}"))
    try:
        return Success(msgspec.convert(fields, RoleSettings))
    except msgspec.ValidationError as error:
        return Failure(_bad_setting(f"the settings file {path}: {error}"))


def parse_address(text: str, field: str) -> Result[Address, YokelineError]:
    """Return the address in ``HOST:PORT``."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        return Failure(_bad_setting(f"{field} is {text!r}, not HOST:PORT"))
    return Success(Address(host, int(port)))


def _bad_setting(message: str) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.BAD_SETTING,
        message=message,
        remedy="correct the field as docs/CONFIGURATION.md says",
    )
