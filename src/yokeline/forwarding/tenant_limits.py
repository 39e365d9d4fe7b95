"""Enforces tenants' rate limits with token buckets that the ledger holds.

A turn is counted with the reservation of its budget. Any other request of a limited tenant is
counted by an operation of its own, and is not sent to an engine before the ledger's answer.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable

import msgspec

from yokeline.effects import Effect
from yokeline.forwarding.exchange import Exchange, Phase
from yokeline.forwarding.http_statuses import TOO_MANY_REQUESTS, UNAVAILABLE
from yokeline.forwarding.node_state import NodeState
from yokeline.forwarding.outage_delays import delay_after_outage
from yokeline.forwarding.responder import Responder
from yokeline.forwarding.tenants import Tenant
from yokeline.ledger.client import LedgerClient
from yokeline.ledger.operations import Draw, Drawn, OperationResult, QuotaSpent, RateLimit
from yokeline.scheduling.retry_delays import retry_delay_after_limit

LEDGER_TIMEOUT_SECONDS = 2.0
"""Longest wait for the ledger's answer, after which the request is refused; longer than a change of
the leader, which takes less than a second. An election takes 0.3 s; the search for the new leader
follows."""
USED_TOLERANCE_SHARE = 0.8
"""Share of the tolerance that the bucket may use. The rest covers requests that run again at
another engine with the bucket empty: they are counted but not refused."""
DEBIT_TIMEOUT_SECONDS = 5.0
"""Time for which the ledger is asked to count a request that runs again."""
QUOTA_SPENT = "quota_spent"
MAX_WAITS = 2
"""Number of times that a request waits for its tenant's limit before it is refused."""
MAX_WAIT_SECONDS = 0.25
"""Longest such wait. Refused callers return about as soon, but only once or twice, and a failed
call fails its program. Without a wait, programs that have begun would be refused a moment before
the limit admits them."""
MAX_WAITING_PER_TENANT = 2
"""Requests of one tenant that may wait at one node; the excess is refused at once."""
MAX_TENANTS = 4096
"""Tenants remembered as being at their limit; the oldest is evicted."""


class LimitTolerance(msgspec.Struct, frozen=True, kw_only=True):
    """How far a tenant may exceed its limit within any time window, as the operator configures it.

    Attributes:
        window: Length of the window (seconds).
        overage: Excess as a share of what the limit allows within the window.
        slack: Further requests in excess.
    """

    window: float = 0.0
    overage: float = 0.0
    slack: float = 0.0

    def bucket_size(self, tenant: Tenant) -> float:
        """Return the size of a tenant's token bucket: its burst and most of the tolerance.

        Any window then stays within the tolerance. Programs send their calls in bursts, so a bucket
        of the configured burst alone would refuse requests within the tolerance.
        """
        within_limit = tenant.rate * self.window + tenant.burst
        return tenant.burst + USED_TOLERANCE_SHARE * (self.overage * within_limit + self.slack)


NO_TOLERANCE = LimitTolerance()


def limit_of(tenant: Tenant | None, version: int, tolerance: LimitTolerance) -> RateLimit | None:
    """Return a tenant's limit in a version of the configuration; None without a limit."""
    if tenant is None or not tenant.is_limited:
        return None
    return RateLimit(tenant.name, tenant.rate, tolerance.bucket_size(tenant), version)


class TenantLimits:
    """Counts the requests of one node against their tenants' limits."""

    def __init__(
        self,
        state: NodeState,
        ledger: LedgerClient,
        responder: Responder,
        on_drawn: Callable[[Exchange], None],
    ) -> None:
        """Call ``on_drawn`` with each request that the ledger has counted."""
        self._state = state
        self._ledger = ledger
        self._responder = responder
        self._on_drawn = on_drawn
        self._exhausted_until: OrderedDict[str, float] = OrderedDict()
        self._waiting: Counter[str] = Counter()

    def may_ask(self, exchange: Exchange, retry: Callable[[Exchange], None]) -> bool:
        """Return whether a request may query the ledger; otherwise let it wait, or refuse it.

        While a tenant is known to be at its limit its requests are handled without the ledger, so
        that an excess of requests does not load it.
        """
        limit = exchange.limit
        until = self._exhausted_until.get(limit.tenant, 0.0) if limit is not None else 0.0
        if until <= self._state.now:
            return True
        self._wait_or_refuse(exchange, until - self._state.now, retry)
        return False

    def draw(self, exchange: Exchange) -> None:
        """Ask the ledger to count a request."""
        assert exchange.limit is not None
        exchange.phase = Phase.RESERVING
        exchange.ledger_operation = Draw(
            request_id=exchange.names.operation,
            limit=exchange.limit,
            program=exchange.names.program,
        )

        def answered(result: OperationResult | None, now: float) -> list[Effect]:
            self._state.now = now
            self._handle_result(exchange, result)
            return self._state.outcomes.drain_effects()

        now = self._state.now
        give_up_at = min(exchange.deadline, now + LEDGER_TIMEOUT_SECONDS)
        effects = self._ledger.ask(exchange.ledger_operation, answered, now, give_up_at)
        self._state.outcomes.effects.extend(effects)

    def debit_rerun(self, exchange: Exchange) -> None:
        """Count another run of a request that an engine may have run already."""
        if exchange.limit is None:
            return
        name = f"{exchange.names.operation}#{exchange.sends}"
        operation = Draw(request_id=name, limit=exchange.limit, is_owed=True)
        give_up_at = self._state.now + DEBIT_TIMEOUT_SECONDS
        effects = self._ledger.ask(operation, _ignore_result, self._state.now, give_up_at)
        self._state.outcomes.effects.extend(effects)

    def handle_quota_spent(
        self, exchange: Exchange, spent: QuotaSpent, retry: Callable[[Exchange], None]
    ) -> None:
        """Let a request that exceeds the limit wait and ``retry``, or refuse it."""
        if spent.is_empty and exchange.limit is not None:
            tenant = exchange.limit.tenant
            self._exhausted_until[tenant] = self._state.now + spent.retry_after
            self._exhausted_until.move_to_end(tenant)
            if len(self._exhausted_until) > MAX_TENANTS:
                self._exhausted_until.popitem(last=False)
        self._wait_or_refuse(exchange, spent.retry_after, retry)

    def refuse_program(self, exchange: Exchange, spent: QuotaSpent) -> None:
        """Refuse the first turn of a program that the tenant's limit cannot carry to its end.

        It does not wait: the program needs its time for its turns.
        """
        self._refuse(exchange, retry_delay_after_limit(exchange.call.request_id, spent.retry_after))

    def _wait_or_refuse(
        self, exchange: Exchange, seconds: float, retry: Callable[[Exchange], None]
    ) -> None:
        assert exchange.limit is not None
        tenant, now = exchange.limit.tenant, self._state.now
        may_wait = (
            exchange.limit_waits < MAX_WAITS and self._waiting[tenant] < MAX_WAITING_PER_TENANT
        )
        if not may_wait or seconds > MAX_WAIT_SECONDS or now + seconds >= exchange.deadline:
            self._refuse(exchange, seconds)
            return
        exchange.limit_waits += 1
        exchange.phase = Phase.RESERVING
        self._waiting[tenant] += 1

        def waited() -> None:
            self._waiting[tenant] -= 1
            if not self._waiting[tenant]:
                del self._waiting[tenant]
            if exchange.phase is Phase.RESERVING:
                retry(exchange)

        # Not a timer of the request, which is cancelled with it: the waiting place must be freed.
        self._state.timers.schedule(now + seconds, waited)

    def _handle_result(self, exchange: Exchange, result: OperationResult | None) -> None:
        if exchange.phase is not Phase.RESERVING:
            return
        exchange.ledger_operation = None
        if isinstance(result, Drawn):
            exchange.granted_at = self._state.now
            self._on_drawn(exchange)
        elif isinstance(result, QuotaSpent):
            self.handle_quota_spent(exchange, result, self.draw)
        else:
            self._responder.refuse(
                exchange,
                UNAVAILABLE,
                "ledger_unavailable",
                retry_after=delay_after_outage(exchange, self._state.now),
            )

    def _refuse(self, exchange: Exchange, retry_after: float) -> None:
        limit = exchange.limit
        assert limit is not None
        self._responder.refuse(
            exchange,
            TOO_MANY_REQUESTS,
            QUOTA_SPENT,
            retry_after=retry_after,
            rate=limit.rate,
            burst=limit.burst,
            limit_version=limit.version,
            spent_for=round(retry_after, 3),
            waits=exchange.limit_waits,
        )


def _ignore_result(_result: OperationResult | None, _now: float) -> list[Effect]:
    """Ignore the result: the request runs in any case."""
    return []
