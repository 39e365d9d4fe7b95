"""Builds the ledger operations of a turn: its reservation, its settlement and the turn to keep."""

from __future__ import annotations

from msgspec import UNSET, UnsetType

from yokeline.forwarding.exchange import Exchange, StreamOrigin
from yokeline.forwarding.model import RouteKind
from yokeline.ledger.operations import (
    CachedContext,
    KeptTurn,
    Reserve,
    Settle,
    SideReport,
    line_of_call,
    line_of_turn,
)
from yokeline.losses.request_identity import request_digest

REPORTED_TEXT_BYTES = 4096
"""Input of a turn beyond which the ledger is told its size before the turn runs."""


def needs_ledger(exchange: Exchange) -> bool:
    """Return whether a request counts against a budget or continues a kept turn."""
    call = exchange.call
    if exchange.route.kind is not RouteKind.STREAMING:
        return False
    return call.budget is not None or bool(call.previous_turn)


def reservation_of(exchange: Exchange, missing_from: str) -> Reserve:
    """Return the operation that reserves a turn's maximum tokens; see :class:`Reserve`.

    Those that its caller was given in an earlier attempt are counted there.
    """
    call, names = exchange.call, exchange.names
    return Reserve(
        request_id=names.operation,
        program=_charged_program(exchange),
        session=names.session,
        budget=call.budget or 0,
        tokens=max(0, call.max_tokens - exchange.given_tokens),
        retention=exchange.route.retention,
        previous=names.previous_turn,
        missing_from=missing_from,
        limit=exchange.limit if needs_ledger(exchange) else None,
        kind=exchange.route.name if exchange.limit is not None else "",
        left=call.program_time_left
        if exchange.limit is not None and not exchange.program_started
        else None,
        resumes=_stream_lookup_of(exchange),
        streams=() if exchange.has_mixed_versions else UNSET,
        side=_side_report_of(exchange),
    )


def line_of_request(exchange: Exchange) -> str:
    """Return the name under which the ledger keeps the losses of a request.

    The reservation of a turn concerns the same line, so its answer brings them.
    """
    names = exchange.names
    if reservation_tells_losses(exchange):
        return line_of_turn(_charged_program(exchange), names.session, names.previous_turn)
    if not exchange.call.program:
        return line_of_call(request_digest(exchange), "")
    return line_of_call(names.program, names.session)


def reservation_tells_losses(exchange: Exchange) -> bool:
    """Return whether the answer to a request's reservation brings the records of its line."""
    return needs_ledger(exchange) and bool(exchange.call.program)


def needs_reservation(exchange: Exchange) -> bool:
    """Return whether a request must not be sent before the ledger has answered."""
    if needs_ledger(exchange) or exchange.stream_origin is StreamOrigin.ASKED:
        return True
    return _kept_text_bytes(exchange) > 0


def _kept_text_bytes(exchange: Exchange) -> int:
    """Return what the ledger will keep of a turn at least; 0 for few bytes.

    Texts that are kept in regions are not in the ledger.
    """
    size = len(exchange.incoming.body)
    is_kept = exchange.route.retain and exchange.allowed_regions is None
    return size if is_kept and size > REPORTED_TEXT_BYTES else 0


def _stream_lookup_of(exchange: Exchange) -> str | UnsetType:
    """Return the name of the stream whose version the ledger is asked for, if it is asked.

    Empty if the caller names none: the ledger then tells only whether versions are mixed.
    """
    return exchange.names.resumed_turn if exchange.stream_origin is StreamOrigin.ASKED else UNSET


def _side_report_of(exchange: Exchange) -> SideReport | UnsetType:
    """Return what a reservation tells and asks for besides the turn; unset for nothing."""
    text_bytes = _kept_text_bytes(exchange)
    if exchange.stream_origin is StreamOrigin.ASKED:
        line = line_of_request(exchange)
        return SideReport(line=line, pool=exchange.pool, text_bytes=text_bytes)
    if not text_bytes:
        return UNSET
    names = exchange.names
    line = line_of_turn(_charged_program(exchange), names.session, names.previous_turn)
    return SideReport(line=line, text_bytes=text_bytes)


def settlement_of(exchange: Exchange, tokens: int, turn: KeptTurn | None) -> Settle:
    """Return the operation that replaces the reservation by the tokens sent to the caller."""
    return Settle(
        request_id=exchange.names.operation,
        program=_charged_program(exchange),
        session=exchange.names.session,
        tokens=tokens,
        turn=turn,
        context=_cached_context_of(exchange, tokens),
    )


def kept_turn_of(exchange: Exchange, mark: bytes = b"") -> KeptTurn:
    """Return the turn to keep from a completed request, with a mark in place of its text if any."""
    return KeptTurn(
        turn_id=exchange.names.turn,
        previous=exchange.names.previous_turn,
        text=mark
        or exchange.incoming.body + b"".join(event.data for event in exchange.kept_events),
        retention=exchange.route.retention,
    )


def _cached_context_of(exchange: Exchange, tokens: int) -> CachedContext | None:
    """Return where a turn was generated; None unless one engine generated it completely."""
    if not exchange.is_complete or exchange.engine is None:
        return None
    engine_id = exchange.engine.engine.engine_id
    in_context = exchange.call.prompt_tokens + exchange.given_tokens + tokens
    return CachedContext(engine_id=engine_id, tokens=in_context)


def _charged_program(exchange: Exchange) -> str:
    return exchange.names.program if exchange.call.budget is not None else ""
