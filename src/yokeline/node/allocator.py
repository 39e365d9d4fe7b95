"""Settings of the C library's allocator for processes with large buffers."""

from __future__ import annotations

import functools

import absl.logging

from yokeline.node.limits import KIBIBYTE, MEBIBYTE

LARGE_BLOCK_BYTES = 256 * KIBIBYTE
_TRIM_BYTES = 4 * MEBIBYTE
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
"""Parameters of ``mallopt`` (malloc.h of the GNU C library)."""


@functools.cache
def map_large_blocks() -> None:
    """Give each large block of memory a mapping of its own, which goes back when it is freed.

    By default the size from which blocks are mapped grows with the blocks that are freed. Large
    buffers then lie between small objects, and what they took is not given back. Called with the
    first large buffer, since most processes have none.
    """
    import ctypes

    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError) as error:  # another C library
        absl.logging.info({"event": "allocator_not_set", "reason": str(error)})
        return
    mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
    mallopt(_M_TRIM_THRESHOLD, _TRIM_BYTES)
