"""Keeps a costly import out of the start of a process that is started again all day.

``circuits`` imports ``pkg_resources`` only to declare its namespace, and does without it where
it cannot be had. It takes half of the processor time of a start (0.27 s to 0.13 s in the
cores, measured with ``time.process_time`` around the imports of an edge).
"""

from __future__ import annotations

import sys

_UNUSED = "pkg_resources"


def import_circuits_lightly() -> None:
    """Import ``circuits`` as if ``pkg_resources`` were not installed."""
    if _UNUSED in sys.modules or "circuits" in sys.modules:
        return
    sys.modules[_UNUSED] = None  # type: ignore[assignment]
    try:
        import circuits  # noqa: F401 - imported for later importers
    finally:
        del sys.modules[_UNUSED]
