"""Decides what a node does between a stop request and its exit: serve, refuse, answer, exit.

Requests are served as long as they can be expected to end before the exit. Shortly before the end
of the grace period each open request gets a final answer; the rest of the period is for writing it
and for settling its reservation.
"""

from __future__ import annotations

import math

import msgspec

CLOSE_CONNECTIONS_AFTER_SECONDS = 2.2
"""Time after a stop request until responses ask callers to close their connections: by then, the
load balancer has seen that the node is not ready."""
DRAINED_SECONDS = 0.6
"""Idle time after which a stop is complete."""
REFUSING_DRAINED_SECONDS = 0.15
"""Idle time after which a stop is complete once new requests are refused."""
REFUSING_GRACE_SHARE = 0.5
"""Share of the grace period after which new requests are refused. A load balancer with too few
ready nodes keeps sending requests to this one, and requests under way need the rest of the
period."""
FINAL_ANSWERS_SECONDS = 0.5
"""Time before the end of the grace period at which open requests get their final answers."""
MAX_FINAL_ANSWERS_SHARE = 1 / 6
"""Largest share of the grace period for that, when the event loop is late or the period short."""
EXIT_SECONDS = 0.2
"""Time before the end of the grace period at which the process exits, settled or not."""
MAX_EXIT_SHARE = 1 / 12
"""Largest share of the grace period for that, when the event loop is late or the period short."""
CHECK_SECONDS = 0.05
"""Time between two checks of a stop."""
STANDSTILL_SECONDS = 0.5
"""Time without any event after which a stop request may have waited for the loop. An idle node
sends a report each 0.3 s."""
RESUMPTION_SECONDS = 0.25
"""Time after a standstill in which the events that came during it are handled."""
OUTPUT_MARGIN_SECONDS = 0.15
"""Time before the end of the grace period up to which output may be sent after the exit; the
interpreter needs the rest to end, and more on a busy machine."""


class RequestTimes(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of the time that a new request takes.

    Attributes:
        longest: Time until its deadline (seconds).
        typical: Mean duration of recent requests of its route (seconds); None if unknown.
        high: Duration that few recent requests of its route exceeded (seconds); None if unknown.
        may_repeat: Whether its caller can repeat it without harm if the exit ends it: an idempotent
            call. A stream is cut then, and any other call is of unknown fate.
    """

    longest: float
    typical: float | None = None
    high: float | None = None
    may_repeat: bool = False


class PlannedStop:
    """The stop of one node; all times are monotonic seconds.

    Attributes:
        has_answered: Whether the open requests have had their final answers.
        has_exited: Whether the process was told to exit.
        late_seconds: The most that a check came late since the stop request.
    """

    def __init__(self, grace_seconds: float) -> None:
        """Allow ``grace_seconds`` from the stop request to the end of the process."""
        self.has_answered = False
        self.has_exited = False
        self.late_seconds = 0.0
        self._grace_seconds = grace_seconds
        self._requested_at: float | None = None
        self._check_due = math.inf
        self._busy_at = 0.0
        self._event_at = math.inf
        self._stood_still_at = -math.inf
        self._resumed_at = -math.inf

    @property
    def is_requested(self) -> bool:
        """Whether the node was asked to stop."""
        return self._requested_at is not None

    def observe_event(self, now: float) -> None:
        """Record that the node handles an event, so that a standstill of the process is noticed."""
        if now - self._event_at >= STANDSTILL_SECONDS:
            self._stood_still_at, self._resumed_at = self._event_at, now
        self._event_at = now

    def begin(self, now: float) -> None:
        """Begin the stop; a second request changes nothing.

        The grace period runs from the signal, which may have come during a standstill.
        """
        if self._requested_at is None:
            has_resumed = now - self._resumed_at < RESUMPTION_SECONDS
            self._requested_at = self._stood_still_at if has_resumed else now
            self._busy_at = now
            self._check_due = now + CHECK_SECONDS

    def check(self, now: float, *, is_busy: bool) -> None:
        """Record whether requests or ledger operations are under way."""
        self.late_seconds = max(self.late_seconds, now - self._check_due)
        self._check_due = now + CHECK_SECONDS
        if is_busy:
            self._busy_at = now

    def next_deadline(self) -> float | None:
        """Return when the next :meth:`check` is due; None without a stop."""
        return self._check_due if self.is_requested else None

    def elapsed(self, now: float) -> float:
        """Return the time since the stop request (seconds); 0 without one."""
        return 0.0 if self._requested_at is None else now - self._requested_at

    def closes_connections(self, now: float) -> bool:
        """Return whether responses ask callers to close their connections."""
        return self.elapsed(now) >= CLOSE_CONNECTIONS_AFTER_SECONDS

    def refuses(self, now: float) -> bool:
        """Return whether all new requests are refused."""
        share = self._grace_seconds * REFUSING_GRACE_SHARE
        return self.has_answered or (self.is_requested and self.elapsed(now) >= share)

    def may_begin(self, times: RequestTimes, now: float) -> bool:
        """Return whether a new request is to begin although the node stops.

        Before the load balancer has seen that the node is not ready, a refused caller would come
        back here: only what is known to take too long is refused then. After that, other nodes
        serve it for the price of a refusal: what the exit would harm begins only if its deadline is
        sooner, since engines may be slower than they were.
        """
        if not self.is_requested:
            return True
        left = self._final_answers_at() - now
        if times.longest <= left:
            return True
        if not self.closes_connections(now):
            return times.typical is None or times.typical <= left
        return times.may_repeat and times.high is not None and times.high <= left

    def retry_after(self, now: float) -> float:
        """Return when a refused caller reaches another node (seconds)."""
        return max(0.0, CLOSE_CONNECTIONS_AFTER_SECONDS - self.elapsed(now))

    def is_answer_due(self, now: float) -> bool:
        """Return whether the open requests are to get their final answers now."""
        return not self.has_answered and now >= self._final_answers_at()

    def may_exit(self, now: float) -> bool:
        """Return whether the node is drained, or its grace period is about to end."""
        if self.time_to_exit(now) <= 0:
            return True
        seconds = REFUSING_DRAINED_SECONDS if self.refuses(now) else DRAINED_SECONDS
        return self.closes_connections(now) and now - self._busy_at >= seconds

    def time_to_exit(self, now: float) -> float:
        """Return the time until the process must exit (seconds); infinite without a stop."""
        if self._requested_at is None:
            return math.inf
        margin = min(EXIT_SECONDS + self.late_seconds, self._grace_seconds * MAX_EXIT_SHARE)
        return self._requested_at + self._grace_seconds - margin - now

    def output_seconds(self, now: float) -> float:
        """Return the time for output after an exit now (seconds)."""
        if self._requested_at is None:
            return math.inf
        margin = OUTPUT_MARGIN_SECONDS + self.late_seconds
        end = self._requested_at + self._grace_seconds - margin
        return max(0.0, end - now)

    def _final_answers_at(self) -> float:
        """Return when open requests get their final answers; earlier if the loop has been late."""
        if self._requested_at is None:
            return math.inf
        margin = min(
            FINAL_ANSWERS_SECONDS + self.late_seconds,
            self._grace_seconds * MAX_FINAL_ANSWERS_SHARE,
        )
        return self._requested_at + self._grace_seconds - margin
