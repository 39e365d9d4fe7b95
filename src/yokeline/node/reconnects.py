"""When a connection to a peer is attempted again, without I/O."""

from __future__ import annotations

import random

from yokeline.node.limits import PeerLimits

JITTER = 0.5
"""A pause is shortened by a random share of up to this much, so that peers that lost one node do
not all return to it together."""


class ReconnectSchedule:
    """Pauses between connection attempts to one address, and the time that each may take.

    For ``prompt_seconds`` after the first failed attempt, pauses and attempts stay short: after a
    loss of power the peer is back within a second, and a link that then waits for its longest pause
    delays whatever needs it. Later they grow to their longest values.
    """

    def __init__(self, limits: PeerLimits, source: random.Random) -> None:
        """Start without a failed attempt."""
        self._limits = limits
        self._random = source
        self._failures = 0
        self._timeouts = 0
        self._timeout = limits.connect_seconds
        self._failing_since: float | None = None
        self._attempted_at = float("-inf")
        self._is_attempting = False

    def begin_attempt(self, now: float) -> float:
        """Note that an attempt begins; return the longest time that it may take."""
        self._attempted_at = now
        self._is_attempting = True
        self._timeout = self._limits.connect_seconds
        if self._is_prompt(now):
            prompt = self._limits.prompt_connect_seconds * 2.0**self._timeouts
            self._timeout = min(self._timeout, prompt)
        return self._timeout

    def attempt_failed(self, now: float) -> float:
        """Return the pause after a failed attempt or a lost connection."""
        if self._failing_since is None:
            self._failing_since = now
        # A path may be longer than the prompt timeout, so each attempt that timed out doubles it.
        self._timeouts += self._is_attempting and now - self._attempted_at >= self._timeout
        self._is_attempting = False
        longest = self._limits.max_backoff_seconds
        if self._is_prompt(now):
            longest = min(longest, self._limits.max_prompt_backoff_seconds)
        pause = min(longest, self._limits.backoff_seconds * 2.0**self._failures)
        self._failures += pause < longest
        return pause * (1.0 - JITTER * self._random.random())

    def connected(self) -> None:
        """Forget the failed attempts."""
        self._is_attempting = False
        self._failures = 0
        self._timeouts = 0
        self._failing_since = None

    def may_attempt_early(self, now: float) -> bool:
        """Return whether a peer that was just heard may be tried before the pause is over.

        The peer may reach this node while this node cannot reach it, so attempts keep the distance
        of the first pause.
        """
        return now - self._attempted_at >= (1.0 - JITTER) * self._limits.backoff_seconds

    def _is_prompt(self, now: float) -> bool:
        since = now if self._failing_since is None else self._failing_since
        return now - since < self._limits.prompt_seconds
