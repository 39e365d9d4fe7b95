"""How far an attempt of a request at an engine has come."""

from __future__ import annotations

import enum


class AttemptStage(enum.IntEnum):
    """Stage of an attempt; a record of it only moves forward."""

    CLAIMED = 1
    """It is to be sent, to an engine that is not chosen yet."""
    AT_ENGINE = 2
    """The engine may be at work on it, also if its caller has left."""
    LOST = 3
    """Its connection failed or was given up: the engine may have ended or not."""
    CLOSED = 4
    """It was not sent, or the engine answered it."""
