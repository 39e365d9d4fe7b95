"""Requests that count against their tenant's limit: drawn from the ledger, or refused.

A turn is counted with the reservation of its budget. Every other request of a tenant with a limit
asks the ledger for nothing else, and is not sent to an engine before the answer.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable

import msgspec

from yokeline.effects import Effect
from yokeline.forwarding.exchange import Exchange, Phase
from yokeline.forwarding.http_statuses import TOO_MANY_REQUESTS, UNAVAILABLE
from yokeline.forwarding.node_state import NodeState
from yokeline.forwarding.responder import Responder
from yokeline.forwarding.tenants import Tenant
from yokeline.ledger.client import LedgerClient
from yokeline.ledger.operations import Draw, Drawn, OperationResult, QuotaSpent, RateLimit
from yokeline.scheduling.return_times import return_after_limit

LEDGER_TIMEOUT_SECONDS = 2.0
"""Longest wait for the ledger's answer; then the request is refused, not run. A change of leader
takes under a second (elections of 0.3 s, and a search for the new one)."""
LEDGER_RETRY_AFTER_SECONDS = 0.2
"""Time after which a caller is to come back when the ledger does not answer."""
USED_TOLERANCE_SHARE = 0.8
"""Share of the tolerance that is used. The rest is for requests that run once more at another
engine while the bucket is empty already: they are counted, but not refused."""
DEBIT_TIMEOUT_SECONDS = 5.0
"""How long the ledger is asked to count a request that runs once more; as for a settlement."""
QUOTA_SPENT = "quota_spent"
MAX_WAITS = 2
"""Times that a request waits for its tenant's limit before it is refused."""
MAX_WAIT_SECONDS = 0.25
"""Longest such wait: a caller that is refused comes back about as soon, but only once or twice, and
a program is lost with a call that fails. Without any wait, programs that had begun would be refused
a moment before the limit let them in."""
MAX_WAITING_PER_TENANT = 2
"""Requests of one tenant that wait so at one node: one far beyond its limit is refused at once."""
MAX_TENANTS = 4096
"""Tenants of which it is remembered that they have used their limit; the oldest gives way."""


class LimitTolerance(msgspec.Struct, frozen=True, kw_only=True):
    """How far beyond its limit a tenant may go in any span of time, as the operator states it.

    Attributes:
        window: Length of the span (seconds).
        overage: Share of what the limit gives in it.
        slack: Requests on top of that.
    """

    window: float = 0.0
    overage: float = 0.0
    slack: float = 0.0

    def bucket_size(self, tenant: Tenant) -> float:
        """Return how many requests of a tenant may come at once after a rest.

        In any window no more run than the rate gives and this depth. With the burst alone, 491
        of 13,269 requests of a calm day were refused (75 tenants, most of them with 6 to 10
        requests a second), nearly all in spans that are within the tolerance: programs send
        their calls in clumps, and a small tenant has few programs.
        """
        within_limit = tenant.rate * self.window + tenant.burst
        return tenant.burst + USED_TOLERANCE_SHARE * (self.overage * within_limit + self.slack)


NO_TOLERANCE = LimitTolerance()


def limit_of(tenant: Tenant | None, version: int, tolerance: LimitTolerance) -> RateLimit | None:
    """Return the limit of a tenant in a version of the configuration; None if it has none."""
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
        """Call ``drawn`` with each request that may go on."""
        self._state = state
        self._ledger = ledger
        self._responder = responder
        self._on_drawn = on_drawn
        self._exhausted_until: OrderedDict[str, float] = OrderedDict()
        self._waiting: Counter[str] = Counter()

    def may_ask(self, exchange: Exchange, retry: Callable[[Exchange], None]) -> bool:
        """Return whether a request may ask the ledger; else it waits a moment, or is refused.

        A tenant that sends many times its limit costs the ledger one question for each request
        that the limit lets in, and the others no more than this look.
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
        """Count a request that goes to an engine though it may have run at another one."""
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
        """Let a request that the ledger found beyond the limit ask ``again``, or refuse it."""
        if spent.is_empty and exchange.limit is not None:
            tenant = exchange.limit.tenant
            self._exhausted_until[tenant] = self._state.now + spent.retry_after
            self._exhausted_until.move_to_end(tenant)
            if len(self._exhausted_until) > MAX_TENANTS:
                self._exhausted_until.popitem(last=False)
        self._wait_or_refuse(exchange, spent.retry_after, retry)

    def refuse_program(self, exchange: Exchange, spent: QuotaSpent) -> None:
        """Refuse the first turn of a program that its tenant's limit would not carry to its end.

        It does not wait here: its time to wait is best spent on all of its turns.
        """
        self._refuse(exchange, return_after_limit(exchange.call.request_id, spent.retry_after))

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

        # Not among the request's own timers, which end with it: its place is to be given back.
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
                retry_after=LEDGER_RETRY_AFTER_SECONDS,
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
    """Wait for nothing: the request runs in any case."""
    return []
