"""Entries with which engines register in the platform's store (PROTOCOL.md).

Other processes can write below the same prefix, so every field is validated.
"""

from __future__ import annotations

import enum
import ipaddress
import re
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from yokeline.addresses import MAX_PORT
from yokeline.effects import Address
from yokeline.errors import ErrorKind, YokelineError
from yokeline.forwarding.model import Engine, make_incarnation_id
from yokeline.registry.formats import short_reason

MAX_SLOTS = 65_536
"""Upper bound on the concurrent requests that an entry may state."""
_MAX_TEXT_CHARACTERS = 512
"""Longest text of an entry: log lines, metrics and messages between nodes hold these texts."""
_MS_PER_SECOND = 1000.0
_MAX_TIMESTAMP_MS = 2**63 - 1
_INSTANCE_ID_PATTERN = re.compile(r"[\x21-\x7e]{1,256}")
"""The instance id is sent as a header value, so spaces and line breaks are not allowed."""
_PORT_PATTERN = re.compile(r"[0-9]{1,5}")
_Text = Annotated[str, msgspec.Meta(max_length=_MAX_TEXT_CHARACTERS)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
_TimestampMs = Annotated[int, msgspec.Meta(ge=0, le=_MAX_TIMESTAMP_MS)]


class _State(enum.Enum):
    READY = "ready"
    DRAINING = "draining"


class _Entry(msgspec.Struct, kw_only=True, rename="kebab"):
    """An engine's entry.

    Unused fields are validated too: an entry without them was not written by an engine.

    Attributes:
        born: Start time of the engine (Unix milliseconds); older engines do not write it.
    """

    service: _Text
    address: _Text
    zone: _Text
    version: _Text
    slots: _Slots
    state: _State
    cold_left_ms: float
    sequence: int
    born: _TimestampMs | msgspec.UnsetType = msgspec.UNSET


def read_engine_entry(instance: str, value: bytes) -> Result[Engine, YokelineError]:
    """Decode the entry of an engine's instance; a failure states why the entry is invalid."""
    try:
        entry = msgspec.json.decode(value, type=_Entry)
        return Success(_engine(instance, entry))
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return Failure(
            YokelineError(
                kind=ErrorKind.BAD_REQUEST,
                message=f"invalid engine entry: {short_reason(error)}",
                remedy="allow only engines to write engine entries",
            )
        )


def _engine(instance: str, entry: _Entry) -> Engine:
    """Convert an entry to an engine.

    Raises:
        ValueError: The instance id or the address is invalid.
    """
    if not _INSTANCE_ID_PATTERN.fullmatch(instance):
        raise ValueError("the instance id is not 1 to 256 visible ASCII characters")
    started_ms = None if entry.born is msgspec.UNSET else entry.born
    return Engine(
        engine_id=make_incarnation_id(instance, started_ms),
        instance=instance,
        started_ms=started_ms,
        pool=entry.service,
        address=_address(entry.address),
        zone=entry.zone,
        slots=entry.slots,
        draining=entry.state is _State.DRAINING,
        cold_seconds_left=max(0.0, entry.cold_left_ms) / _MS_PER_SECOND,
        version=entry.version,
    )


def _address(text: str) -> Address:
    """Parse an address of the form ``IP:PORT`` (IPv4); host names are not allowed.

    Raises:
        ValueError: The text has another form.
    """
    host, _, port = text.rpartition(":")
    ipaddress.IPv4Address(host)
    if not _PORT_PATTERN.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError("the address has no valid port")
    return Address(host, int(port))
