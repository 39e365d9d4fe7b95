"""Records the outcomes of requests as error responses, log records and counters."""

from __future__ import annotations

from collections import Counter

from yokeline.effects import Effect, HttpArrived, HttpReply, LogRecord
from yokeline.forwarding.dialect import Dialect
from yokeline.forwarding.exchange import Exchange
from yokeline.forwarding.http_helpers import refusal_body
from yokeline.forwarding.http_statuses import BAD_REQUEST
from yokeline.forwarding.tenants import Tenant
from yokeline.identifiers import ExchangeId

LogField = str | int | float | bool | None


class OutcomeRecorder:
    """Collects the effects and counters of one node's requests.

    Attributes:
        effects: Effects to carry out, in order; :meth:`drain_effects` returns them.
        counters: Requests by outcome, and other counters, by metric name.
        closes_connections: Whether responses ask callers to close their connections.
        configuration_version: Version in force; 0 before the first one.
    """

    def __init__(self, dialect: Dialect) -> None:
        """Encode error responses with ``dialect``."""
        self.effects: list[Effect] = []
        self.counters: Counter[str] = Counter()
        self.closes_connections = False
        self.configuration_version = 0
        self._dialect = dialect

    def drain_effects(self) -> list[Effect]:
        """Remove and return the collected effects."""
        effects = self.effects
        self.effects = []
        return effects

    def count_request(self, outcome: str, status: LogField) -> None:
        """Count a finished request by outcome and status."""
        series = f'yokeline_forwarding_requests_total{{outcome="{outcome}",status="{status}"}}'
        self.counters[series] += 1

    def count_tenant(self, outcome: str, tenant: Tenant | None) -> None:
        """Count a finished request by tenant class; metrics do not expose tenant names."""
        if tenant is None:
            return
        labels = f'class="{_class_of(tenant)}",outcome="{outcome}"'
        self.counters[f"yokeline_forwarding_tenant_requests_total{{{labels}}}"] += 1

    def count_held_back(self, tenant: Tenant | None) -> None:
        """Count a first turn that was refused while its tenant was held back."""
        labels = f'class="{_class_of(tenant)}"' if tenant is not None else 'class="none"'
        self.counters[f"yokeline_forwarding_held_back_total{{{labels}}}"] += 1

    def count_stream_end(self, framing: str, end: str) -> None:
        """Count a stream of an engine by its framing and by how it ended."""
        labels = f'framing="{framing}",end="{end}"'
        self.counters[f"yokeline_forwarding_engine_streams_total{{{labels}}}"] += 1

    def count_refusal(self, status: int, reason: str) -> None:
        """Count a refused request by reason; all bad requests share one label."""
        label = "unreadable" if status == BAD_REQUEST else reason
        self.counters[f'yokeline_forwarding_refusals_total{{reason="{label}"}}'] += 1

    def log(self, event: str, exchange: Exchange, level: str = "info", **fields: LogField) -> None:
        """Log an event of a request."""
        call = exchange.call
        all_fields: dict[str, LogField] = {
            "request": call.request_id,
            "program": call.program,
            "tenant": exchange.tenant.name if exchange.tenant is not None else "",
            "route": exchange.route.name,
            "configuration": self.configuration_version,
            **fields,
        }
        self.effects.append(LogRecord(event=event, fields=all_fields, level=level))

    def reply_error(
        self,
        exchange: ExchangeId,
        request_id: str,
        status: int,
        reason: str,
        *,
        retry_after: float | None = None,
    ) -> None:
        """Send an error response of this node.

        Args:
            exchange: The exchange to answer.
            request_id: Id of the request; empty if it has none.
            status: HTTP status. Some guarantee that the request was not executed.
            reason: Machine-readable reason, as in the log.
            retry_after: Seconds after which the caller may retry; None if a retry would not help.
        """
        headers = self._dialect.refusal_headers(request_id, retry_after)
        body = refusal_body(request_id, reason, retry_after)
        self.effects.append(
            HttpReply(
                exchange=exchange,
                status=status,
                headers=headers,
                body=body,
                last=self.closes_connections,
            )
        )

    def refuse_unadmitted(
        self,
        event: HttpArrived,
        status: int,
        reason: str,
        *,
        retry_after: float | None = None,
        **fields: LogField,
    ) -> None:
        """Refuse a request that was not admitted, without an exchange."""
        request_id = event.headers.get(self._dialect.echo_header, "")
        self.count_request("refused", status)
        self.count_refusal(status, reason)
        all_fields: dict[str, LogField] = {
            "request": request_id,
            "host": event.headers.get("host", ""),
            "path": event.path,
            "status": status,
            "reason": reason,
            **fields,
        }
        self.effects.append(LogRecord(event="request_refused", fields=all_fields))
        self.reply_error(event.exchange, request_id, status, reason, retry_after=retry_after)


def _class_of(tenant: Tenant) -> str:
    return "limited" if tenant.is_limited else "unlimited"
