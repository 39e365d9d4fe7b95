"""Addresses in settings and configuration objects: an IPv4 number and a port."""

from __future__ import annotations

import ipaddress
import re

from returns.result import Failure, Result, Success

from yokeline.effects import Address
from yokeline.errors import ErrorKind, YokelineError

MAX_PORT = 65_535
ADDRESS_FORM = "an IPv4 number and a port, such as 10.0.0.5:8000"
_ADDRESS = re.compile(r"([0-9.]{7,15}):([0-9]{1,5})")


def is_ip_number(text: str) -> bool:
    """Return whether ``text`` is an IPv4 number that a machine can be reached at."""
    try:
        number = ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return not number.is_unspecified


def parse_address(text: str) -> Result[Address, YokelineError]:
    """Parse ``ip:port``; host names are refused, since nothing here resolves names.

    Args:
        text: An IPv4 number, a colon and a port of 1 to 65535.
    """
    match = _ADDRESS.fullmatch(text)
    if match is None or not is_ip_number(match[1]) or not 0 < int(match[2]) <= MAX_PORT:
        error = YokelineError(
            kind=ErrorKind.BAD_REQUEST,
            message=f"{text!r} is no address",
            remedy=f"write {ADDRESS_FORM}",
        )
        return Failure(error)
    return Success(Address(match[1], int(match[2])))
