"""The entries in which engines say what they are (PROTOCOL.md).

An entry may also come from another writer, so everything in it is checked before it is used.
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

ENGINE_PREFIX = "servers/"
"""Each engine has its entry below it, under its id."""
MAX_SLOTS = 65_536
"""Bound on the requests that an engine says it works on at once."""
_MOST_MILLISECONDS = 2**63 - 1
_ID = re.compile(r"[\x21-\x7e]{1,256}")
"""An id is sent as the value of a header field, so it holds no space and no line end."""
_PORT = re.compile(r"[0-9]{1,5}")
_Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
_Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=_MOST_MILLISECONDS)]


class _State(enum.Enum):
    READY = "ready"
    DRAINING = "draining"


class _Entry(msgspec.Struct, kw_only=True, rename="kebab"):
    """An engine writes all of these fields; ``born``, the time of its start, came later.

    Those that are not used are checked all the same: an entry without them is not an engine's.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: _Slots
    state: _State
    cold_left_ms: float
    sequence: int
    born: _Milliseconds | msgspec.UnsetType = msgspec.UNSET


def read_engine_entry(key: str, value: bytes) -> Result[Engine, YokelineError]:
    """Return the engine in an entry; a failure says why it names none."""
    try:
        entry = msgspec.json.decode(value, type=_Entry)
        return Success(_engine(key.removeprefix(ENGINE_PREFIX), entry))
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return Failure(
            YokelineError(
                kind=ErrorKind.BAD_REQUEST,
                message=f"the entry names no engine: {error}",
                remedy="let only engines write entries of engines",
            )
        )


def _engine(instance: str, entry: _Entry) -> Engine:
    """Return the engine that an entry names.

    Raises:
        ValueError: Its id or address cannot be used.
    """
    if not _ID.fullmatch(instance):
        raise ValueError("the id is not visible ASCII text")
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
    )


def _address(text: str) -> Address:
    """Return the address in ``IP:PORT``; names are not looked up.

    Raises:
        ValueError: There is none.
    """
    host, _, port = text.rpartition(":")
    ipaddress.IPv4Address(host)
    if not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError("the address has no port")
    return Address(host, int(port))
