"""Keeps and reads the texts of turns that are bound to regions; see ``ledger.regional_texts``."""

from __future__ import annotations

from collections.abc import Callable

from yokeline.effects import Effect
from yokeline.forwarding.exchange import Exchange
from yokeline.forwarding.node_state import NodeState
from yokeline.forwarding.settlements import KeepCallback, Settlements
from yokeline.forwarding.tenant_limits import LEDGER_TIMEOUT_SECONDS
from yokeline.forwarding.turn_cache import TurnCache
from yokeline.forwarding.turn_operations import kept_turn_of
from yokeline.ledger.messages import RegionalText
from yokeline.ledger.operations import KeptTurn
from yokeline.ledger.regional_texts import (
    EXPIRY_SLACK_SECONDS,
    RegionalMark,
    RegionalTexts,
    mark_of,
    marked,
)
from yokeline.scheduling.data_residency import both

HISTORY_OUTSIDE_REGIONS = "history_outside_allowed_regions"
"""Refusal reason: earlier turns of the chain were stored under other allowed regions, and their
texts are in none of the regions that allow both."""
HISTORY_UNREACHABLE = "history_unreachable"
"""Refusal reason: no storage node of the allowed regions has sent a text of the chain."""

HistoryRead = Callable[[Exchange, bytes | None, str], None]
"""Called with the whole history, or with None and the refusal reason."""


class RegionalTurns:
    """The regional texts of one node's turns."""

    def __init__(
        self,
        state: NodeState,
        texts: RegionalTexts,
        settlements: Settlements,
        turn_cache: TurnCache,
    ) -> None:
        """Read and write through ``texts``."""
        self._state = state
        self._texts = texts
        self._settlements = settlements
        self._turn_cache = turn_cache

    def can_keep(self, exchange: Exchange) -> bool:
        """Return whether the regions of a turn have storage nodes that answer."""
        return self._texts.can_store(exchange.allowed_regions or (), self._state.now)

    # ------------------------------------------------------------ keeping

    def keep(self, exchange: Exchange, on_kept: KeepCallback) -> None:
        """Store a completed turn's text in its regions, then keep its mark in the ledger."""
        regions = tuple(sorted(exchange.allowed_regions or ()))
        turn = kept_turn_of(exchange)
        text = RegionalText(
            turn_id=turn.turn_id,
            previous=turn.previous,
            root=exchange.history_root or turn.turn_id,
            text=turn.text,
            regions=regions,
        )

        def stored(copies: int, now: float) -> list[Effect]:
            self._state.now = now
            if not copies:
                on_kept(exchange, None)
            elif exchange.has_ended:
                # Its reservation is settled already, and its caller was told that it failed.
                pass
            else:
                exchange.kept_mark = marked(turn.text, regions)
                self._settlements.settle_and_keep(exchange, on_kept)
            return self._state.outcomes.drain_effects()

        effects = self._texts.store(
            text,
            exchange.route.retention + EXPIRY_SLACK_SECONDS,
            stored,
            self._state.now,
            exchange.deadline,
        )
        self._state.outcomes.effects.extend(effects)

    def cache(self, exchange: Exchange) -> None:
        """Cache a kept turn; its text only if this node's region is allowed."""
        turn = kept_turn_of(exchange)
        if exchange.kept_mark:
            if self._state.residency.may_cache(exchange.allowed_regions):
                self._turn_cache.put_regional(turn.turn_id, turn.text)
            self._turn_cache.put(kept_turn_of(exchange, exchange.kept_mark))
        else:
            self._turn_cache.put(turn)

    # ------------------------------------------------------------ reading

    def read(self, exchange: Exchange, done: HistoryRead) -> None:
        """Assemble the history of a turn whose chain is cached, with its regional texts.

        A turn that continues a restricted one is bound to the regions of that one as well, whatever
        its own route and tenant allow.
        """
        chain = self._turn_cache.chain(exchange.names.previous_turn)
        exchange.history_root = chain[0].turn_id if chain else ""
        marks = {turn.turn_id: mark for turn in chain if (mark := mark_of(turn.text)) is not None}
        if not marks:
            done(exchange, b"".join(turn.text for turn in chain), "")
            self._drop_unless_allowed(exchange, chain)
            return
        self._state.residency.activate()
        for mark in marks.values():
            exchange.allowed_regions = both(exchange.allowed_regions, frozenset(mark.regions))
        regions = exchange.allowed_regions or frozenset()
        if not regions:
            done(exchange, None, HISTORY_OUTSIDE_REGIONS)
            return
        texts = {turn_id: self._turn_cache.regional(turn_id) for turn_id in marks}
        known = {turn_id: text for turn_id, text in texts.items() if text is not None}
        wanted = {turn_id: mark for turn_id, mark in marks.items() if turn_id not in known}
        if not wanted:
            self._finish(exchange, chain, marks, known, done)
            return

        def fetched(found: dict[str, bytes], now: float) -> list[Effect]:
            self._state.now = now
            if not exchange.has_ended:
                for turn_id, text in found.items():
                    if self._state.residency.may_cache(frozenset(marks[turn_id].regions)):
                        self._turn_cache.put_regional(turn_id, text)
                self._finish(exchange, chain, marks, {**known, **found}, done)
            return self._state.outcomes.drain_effects()

        now = self._state.now
        effects = self._texts.fetch(
            wanted,
            chain[0].turn_id,
            regions,
            fetched,
            now,
            min(exchange.deadline, now + LEDGER_TIMEOUT_SECONDS),
        )
        self._state.outcomes.effects.extend(effects)

    def _finish(
        self,
        exchange: Exchange,
        chain: list[KeptTurn],
        marks: dict[str, RegionalMark],
        texts: dict[str, bytes],
        done: HistoryRead,
    ) -> None:
        regions = exchange.allowed_regions or frozenset()
        lacking = [turn_id for turn_id in marks if turn_id not in texts]
        if lacking:
            is_moved = any(not frozenset(marks[item].regions) <= regions for item in lacking)
            done(exchange, None, HISTORY_OUTSIDE_REGIONS if is_moved else HISTORY_UNREACHABLE)
            return
        parts = [texts[item.turn_id] if item.turn_id in marks else item.text for item in chain]
        done(exchange, b"".join(parts), "")
        self._drop_unless_allowed(exchange, chain)

    def _drop_unless_allowed(self, exchange: Exchange, chain: list[KeptTurn]) -> None:
        """Remove a restricted turn's history from the cache of a node outside its regions."""
        if not self._state.residency.may_cache(exchange.allowed_regions):
            for turn in chain:
                if mark_of(turn.text) is None:
                    self._turn_cache.remove(turn.turn_id)
