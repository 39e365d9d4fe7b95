"""When a caller whose request was refused for want of room is to come back.

The load it answers: callers that were refused together. If all of them return at one moment, they
find the engines as full as before.
"""

from __future__ import annotations

import zlib

RETRY_AFTER_SECONDS = 0.3
"""Time after which a refused caller is to come back."""
BEGUN_RETRY_AFTER_SECONDS = 0.1
"""The same for a program that has begun."""


def return_after(*, has_begun: bool) -> float:
    """Return after how many seconds a refused caller is to come back."""
    return BEGUN_RETRY_AFTER_SECONDS if has_begun else RETRY_AFTER_SECONDS


SPREAD_SHARE = 0.25
"""Share of a time of return by which some callers come later than others."""
_CHECKSUMS = 2**32


def spread_return(seconds: float, name: str) -> float:
    """Return a time of return, never before ``seconds``, that differs between requests.

    Callers that were refused at one moment were told nearly the same time.

    Args:
        seconds: From now until the request could be let in.
        name: The request's.
    """
    share = zlib.crc32(name.encode(errors="replace")) / _CHECKSUMS
    return seconds * (1.0 + SPREAD_SHARE * share)
