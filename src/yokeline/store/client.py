"""Client of the key-value service (etcd v3 JSON gateway), without I/O of its own.

Requests go out through the node's context. They are held to a rate, wait in a bounded queue,
and fail at once while the service is held to be down. Every request ends in exactly one call
of its ``done``. An error's ``execution`` is the truth as far as it is known: ``NOT_RUN`` for
reads and for what surely never reached the store, ``UNKNOWN`` for a write without an answer.
"""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from yokeline.effects import Address, HttpFailed, HttpRequest, HttpResponse
from yokeline.errors import ErrorKind, Execution, YokelineError
from yokeline.server.context import HttpAnswer, NodeContext
from yokeline.settings import PlatformSection
from yokeline.store import protocol, request_bodies
from yokeline.store.limits import CircuitBreaker, StoreLimits, TokenBucket
from yokeline.store.protocol import LeaseResult, RangeResult, SwapResult
from yokeline.store.watch import StoreWatch, WatchListener

HTTP_OK = 200
HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVER_ERROR = 500
_SECONDS = re.compile(r"[0-9]{1,6}(\.[0-9]+)?")
JSON_HEADERS = {"content-type": "application/json"}
STORE_REMEDY = "check that platform.store is reachable and up, then try again"

RangeDone = Callable[[Result[RangeResult, YokelineError]], None]
SwapDone = Callable[[Result[SwapResult, YokelineError]], None]
LeaseDone = Callable[[Result[LeaseResult, YokelineError]], None]


class _Call(msgspec.Struct):
    """One request that is queued or under way.

    Attributes:
        writes: Whether the request changes the store.
        expires: When it is given up if it has not gone out.
    """

    path: str
    body: bytes
    decode: Callable[[bytes], Result[Any, str]]
    done: Callable[[Result[Any, YokelineError]], None]
    writes: bool
    expires: float


class KeyValueClient:
    """Reads, writes and watches the key-value service."""

    def __init__(
        self,
        context: NodeContext,
        address: Address,
        settings: PlatformSection,
        limits: StoreLimits | None = None,
    ) -> None:
        """Create a client.

        Args:
            context: The node's context.
            address: Where the service listens.
            settings: Gives the timeout of a request.
            limits: How much to ask of the service.
        """
        self._context = context
        self._address = address
        self._timeout = settings.store_timeout_seconds
        self._limits = limits or StoreLimits()
        self._bucket = TokenBucket(
            self._limits.requests_per_second, self._limits.burst, context.now
        )
        self._breaker = CircuitBreaker(self._limits, context.random)
        self._queue: deque[_Call] = deque()
        self._watches: list[StoreWatch] = []

    @property
    def available(self) -> bool:
        """Return whether the service answered lately (it is not held to be down)."""
        return not self._breaker.is_open

    # ------------------------------------------------------------ reads

    def get(self, key: str, done: RangeDone, *, revision: int = 0) -> None:
        """Read one key, linearizable; or as it was at a store revision."""
        self._read(request_bodies.range_body(key, revision=revision), done)

    def get_range(
        self,
        prefix: str,
        done: RangeDone,
        *,
        after: str = "",
        limit: int = 0,
        keys_only: bool = False,
    ) -> None:
        """Read the keys with a prefix in ascending order, linearizable.

        Args:
            prefix: Prefix of the keys.
            done: Gets the keys.
            after: Leave out keys up to and with this one (the last of the page before).
            limit: Most keys of one answer; 0 for all.
            keys_only: Leave the values out.
        """
        start = f"{after}\0" if after else prefix
        end = request_bodies.prefix_end(prefix)
        self._read(
            request_bodies.range_body(start, range_end=end, limit=limit, keys_only=keys_only), done
        )

    def _read(self, body: bytes, done: RangeDone) -> None:
        self._ask(request_bodies.RANGE_PATH, body, protocol.decode_range, done, writes=False)

    # ------------------------------------------------------------ writes

    def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes, done: SwapDone, *, lease: int = 0
    ) -> None:
        """Write a key if its modification revision is the expected one.

        Args:
            key: The key.
            expected_revision: Its modification revision; 0: it must not exist.
            value: The new value.
            done: Gets the outcome.
            lease: Bind the key to this lease; 0 for none.
        """
        body = request_bodies.swap_body(key, expected_revision, value, lease)
        self._ask(request_bodies.TXN_PATH, body, protocol.decode_swap, done, writes=True)

    def delete(self, key: str, expected_revision: int, done: SwapDone) -> None:
        """Delete a key if its modification revision is the expected one."""
        body = request_bodies.delete_body(key, expected_revision)
        self._ask(request_bodies.TXN_PATH, body, protocol.decode_swap, done, writes=True)

    def grant_lease(self, seconds: int, done: LeaseDone) -> None:
        """Ask for a lease; an unanswered one lapses by itself."""
        body = request_bodies.lease_grant_body(seconds)
        path = request_bodies.LEASE_GRANT_PATH
        self._ask(path, body, protocol.decode_lease, done, writes=True)

    def keep_lease_alive(self, lease: int, done: LeaseDone) -> None:
        """Renew a lease; a result of 0 seconds means that it has lapsed."""
        body = request_bodies.lease_body(lease)
        path = request_bodies.LEASE_KEEPALIVE_PATH
        self._ask(path, body, protocol.decode_keepalive, done, writes=True)

    def revoke_lease(self, lease: int, done: LeaseDone) -> None:
        """End a lease and delete the keys bound to it."""
        body = request_bodies.lease_body(lease)
        path = request_bodies.LEASE_REVOKE_PATH
        self._ask(path, body, protocol.decode_lease, done, writes=True)

    # ------------------------------------------------------------ watch

    def watch(self, prefix: str, from_revision: int, listener: WatchListener) -> StoreWatch:
        """Watch a prefix from a revision on; reconnects by itself until it is cancelled.

        When the revisions are compacted the listener is told, and the watch is over.
        """
        self._watches = [watch for watch in self._watches if watch.active]
        watch = StoreWatch(
            self._context, self._address, prefix, from_revision, listener, self._limits
        )
        watch.connect_timeout = self._timeout
        self._watches.append(watch)
        watch.tick()
        return watch

    # ------------------------------------------------------------ time

    def tick(self) -> None:
        """Send what may go out now, give up what waited too long, reconnect watches."""
        now = self._context.now
        while self._queue and self._queue[0].expires <= now:
            self._refuse(self._queue.popleft(), "it waited too long for its turn")
        while self._queue and self._breaker.allows(now) and self._bucket.take(now):
            self._send(self._queue.popleft())
        for watch in list(self._watches):
            watch.tick()

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due."""
        times = [t for w in self._watches if (t := w.next_deadline()) is not None]
        if self._queue:
            token = self._bucket.next_token_at(self._context.now)
            times.append(min(token, self._queue[0].expires))
        return min(times, default=None)

    # ------------------------------------------------------------ requests

    def _ask(
        self,
        path: str,
        body: bytes,
        decode: Callable[[bytes], Result[Any, str]],
        done: Callable[[Result[Any, YokelineError]], None],
        *,
        writes: bool,
    ) -> None:
        now = self._context.now
        call = _Call(path, body, decode, done, writes, now + self._timeout)
        if not self._breaker.allows(now):
            self._refuse(call, "it did not answer lately")
        elif not self._queue and self._bucket.take(now):
            self._send(call)
        elif len(self._queue) < self._limits.max_queue:
            self._queue.append(call)
        else:
            self._refuse(call, "too many requests wait for it")

    def _refuse(self, call: _Call, why: str) -> None:
        """End a request that never went out."""
        self._count("refused")
        error = YokelineError(
            kind=ErrorKind.UNAVAILABLE,
            message=f"the key-value service was not asked: {why}",
            remedy=STORE_REMEDY,
            execution=Execution.NOT_RUN,
            retry_after=self._breaker.retry_after(self._context.now),
        )
        call.done(Failure(error))

    def _send(self, call: _Call) -> None:
        self._count("sent")
        self._breaker.transition_sent()
        request = HttpRequest(
            request=self._context.new_request_id(),
            address=self._address,
            method="POST",
            path=call.path,
            headers=JSON_HEADERS,
            body=call.body,
            timeout=self._timeout,
            allow_retry=not call.writes,
        )
        self._context.send_http(request, lambda answer: self._answered(call, answer))

    def _answered(self, call: _Call, answer: HttpAnswer) -> None:
        if isinstance(answer, HttpResponse):
            call.done(self._result_of(call, answer))
            return
        reason = answer.reason if isinstance(answer, HttpFailed) else "an answer out of place"
        sent = answer.sent if isinstance(answer, HttpFailed) else True
        self._breaker.transition_failed(self._context.now)
        self._count("failed")
        call.done(Failure(self._lost(call, reason, sent=sent)))

    def _result_of(self, call: _Call, answer: HttpResponse) -> Result[Any, YokelineError]:
        now = self._context.now
        if answer.status == HTTP_OK:
            decoded = call.decode(answer.body)
            if isinstance(decoded, Success):
                self._breaker.transition_succeeded()
                return decoded
            self._breaker.transition_failed(now)
            self._count("malformed")
            return Failure(self._lost(call, "its answer is malformed", sent=True))
        if answer.status == HTTP_TOO_MANY_REQUESTS:
            self._breaker.transition_abandoned()
            self._count("rate_limited")
            return Failure(self._rate_limited(answer))
        if answer.status >= HTTP_SERVER_ERROR:
            self._breaker.transition_failed(now)
            self._count("failed")
            return Failure(self._lost(call, f"it answered {answer.status}", sent=True))
        self._breaker.transition_succeeded()
        self._count("rejected")
        return Failure(_rejected(answer))

    def _lost(self, call: _Call, reason: str, *, sent: bool) -> YokelineError:
        """Return the error of a request without a usable answer."""
        unknown = call.writes and sent
        return YokelineError(
            kind=ErrorKind.OUTCOME_UNKNOWN if unknown else ErrorKind.UNAVAILABLE,
            message=f"no answer from the key-value service: {reason}",
            remedy="read the key back to see whether the write was made"
            if unknown
            else STORE_REMEDY,
            execution=Execution.UNKNOWN if unknown else Execution.NOT_RUN,
            retry_after=self._breaker.retry_after(self._context.now),
        )

    def _rate_limited(self, answer: HttpResponse) -> YokelineError:
        seconds = retry_after_seconds(answer.headers, self._limits.backoff_base_seconds)
        self._bucket.pause(self._context.now, seconds)
        return YokelineError(
            kind=ErrorKind.UNAVAILABLE,
            message="the key-value service refused the request: asked too often",
            remedy="try again later",
            execution=Execution.NOT_RUN,
            retry_after=seconds,
        )

    def _count(self, outcome: str) -> None:
        self._context.counters[f'yokeline_store_requests_total{{outcome="{outcome}"}}'] += 1


def _rejected(answer: HttpResponse) -> YokelineError:
    text = answer.body[:200].decode(errors="replace").strip().replace("\n", " ")
    return YokelineError(
        kind=ErrorKind.BACKEND_FAILED,
        message=f"the key-value service rejected the request with {answer.status}: {text}",
        remedy="check that platform.store is an etcd v3 JSON gateway",
        execution=Execution.NOT_RUN,
    )


def retry_after_seconds(headers: dict[str, str], default: float) -> float:
    """Return the seconds of a ``Retry-After`` header, or ``default`` if it has none."""
    text = headers.get("retry-after", "")
    return float(text) if _SECONDS.fullmatch(text) else default
