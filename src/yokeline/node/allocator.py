"""Settings of the C library's allocator for processes with large buffers."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import absl.logging

from yokeline.node.limits import KIBIBYTE, MEBIBYTE

if TYPE_CHECKING:
    import ctypes

LARGE_BLOCK_BYTES = 256 * KIBIBYTE
_TRIM_BYTES = 4 * MEBIBYTE
_ALL = 0
"""Padding that ``malloc_trim`` leaves at the end of the heap."""
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
"""Parameters of ``mallopt`` (malloc.h of the GNU C library)."""


def return_free_memory() -> None:
    """Give the free pages of the heap back to the system.

    The C library does so by itself only at the end of the heap: thousands of small buffers that
    were freed between objects which live on would count as taken beside the next large ones.
    """
    library = _c_library()
    if library is not None:
        library.malloc_trim(_ALL)


@functools.cache
def _c_library() -> ctypes.CDLL | None:
    """Return the GNU C library; None if the process has another one."""
    import ctypes

    library = ctypes.CDLL(None)
    if hasattr(library, "mallopt") and hasattr(library, "malloc_trim"):
        return library
    absl.logging.info({"event": "allocator_not_set"})
    return None


@functools.cache
def map_large_blocks() -> None:
    """Give each large block of memory a mapping of its own, which goes back when it is freed.

    By default the size from which blocks are mapped grows with the blocks that are freed. Large
    buffers then lie between small objects, and what they took is not given back. Called with the
    first large buffer, since most processes have none.
    """
    library = _c_library()
    if library is not None:
        library.mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
        library.mallopt(_M_TRIM_THRESHOLD, _TRIM_BYTES)
