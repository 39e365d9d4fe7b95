"""Where a request goes: what is believed of engines' caches, subjects and pace, put together."""

from __future__ import annotations

from collections import OrderedDict

from yokeline.forwarding.choice import Choice, ChoiceInputs, choose
from yokeline.forwarding.engines import EngineBook
from yokeline.forwarding.exchange import Exchange
from yokeline.forwarding.model import Pool, RouteKind
from yokeline.forwarding.prefixes import PrefixBeliefs

MAX_AFFINITIES = 4096
HOPELESS_SHARE = 0.6
"""A turn is not begun with less than this share of an average turn's time left."""
TURN_WEIGHT = 0.05
"""Weight of a new turn in the moving average of a pool's turns."""
LEAST_SECONDS = 0.005
"""Nothing is sent with less time left, as after a pause of the whole process."""


class Placement:
    """Chooses engines for one node.

    Attributes:
        beliefs: Which parts of prompts each engine has probably cached.
    """

    def __init__(self, zone: str, engines: EngineBook) -> None:
        """Choose among ``engines`` for a node in ``zone``."""
        self.beliefs = PrefixBeliefs()
        self._zone = zone
        self._engines = engines
        self._affinities: OrderedDict[tuple[str, str], str] = OrderedDict()
        self._turn_seconds: dict[str, float] = {}

    def choose(self, exchange: Exchange, pool: Pool, now: float) -> Choice | None:
        """Return the engine for a request; those that had it come last, if at all."""
        choice = self._choose(exchange, pool, now)
        if choice is None and exchange.tried:
            exchange.tried.clear()
            choice = self._choose(exchange, pool, now)
        return choice

    def is_hopeless(self, exchange: Exchange, now: float) -> bool:
        """Return whether a request cannot end before it is due; its work would be wasted."""
        left = exchange.due - now
        if left <= LEAST_SECONDS:
            return True
        if exchange.route.kind is not RouteKind.STREAMING or exchange.events:
            return False
        return left < HOPELESS_SHARE * self._turn_seconds.get(exchange.pool, 0.0)

    def note_sent(self, exchange: Exchange, choice: Choice, pool: Pool) -> None:
        """Note what the chosen engine will have read, and which subject it saw."""
        engine_id = choice.state.engine.engine_id
        call = exchange.call
        if pool.model is not None:
            self.beliefs.note_read(engine_id, call.parts, pool.model.memory_tokens)
        if call.affinity_key:
            self._note_affinity((exchange.pool, call.affinity_key), engine_id)

    def note_turn(self, exchange: Exchange, now: float) -> None:
        """Take the time of a whole turn at its engine into the pool's average."""
        if exchange.sends > 1:
            return
        seconds = now - exchange.sent_at
        average = self._turn_seconds.setdefault(exchange.pool, seconds)
        self._turn_seconds[exchange.pool] = average + TURN_WEIGHT * (seconds - average)

    def _choose(self, exchange: Exchange, pool: Pool, now: float) -> Choice | None:
        call = exchange.call
        affine = ""
        if call.affinity_key:
            affine = self._affinities.get((exchange.pool, call.affinity_key), "")
        inputs = ChoiceInputs(
            call=call,
            traits=pool.model,
            zone=self._zone,
            excluded=frozenset(exchange.tried),
            affine=affine,
            context=exchange.context,
            is_new_program=bool(call.program) and not exchange.begun and not exchange.events,
        )
        return choose(self._engines.in_pool(exchange.pool), self.beliefs, inputs, now)

    def _note_affinity(self, subject: tuple[str, str], engine_id: str) -> None:
        self._affinities[subject] = engine_id
        self._affinities.move_to_end(subject)
        if len(self._affinities) > MAX_AFFINITIES:
            self._affinities.popitem(last=False)
