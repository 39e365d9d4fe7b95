from __future__ import annotations

import unittest

from yokeline.ledger.operations import CachedContext, Granted, Reserve, Settle
from yokeline.ledger.state import MAX_CONTEXTS, LedgerCommand, LedgerState


def _reserve(state: LedgerState, request_id: str, session: str) -> CachedContext | None:
    operation = Reserve(
        request_id=request_id, program="p", session=session, budget=10_000, tokens=10
    )
    command = LedgerCommand(time=1.0, operations=(operation,))
    result = state.transition_apply(command)[0]
    assert isinstance(result, Granted)
    return result.context


def _settle(state: LedgerState, request_id: str, session: str, engine_id: str) -> None:
    context = CachedContext(engine_id=engine_id, tokens=100)
    operation = Settle(
        request_id=request_id, program="p", session=session, tokens=5, context=context
    )
    state.transition_apply(LedgerCommand(time=1.0, operations=(operation,)))


class Contexts(unittest.TestCase):
    def test_a_session_is_found_at_the_engine_of_its_last_turn(self) -> None:
        state = LedgerState()
        self.assertIsNone(_reserve(state, "1", "parent"))
        _settle(state, "1", "parent", "engine-a")
        _settle(state, "2", "child", "engine-b")
        context = _reserve(state, "3", "parent")
        assert context is not None
        self.assertEqual(context.engine_id, "engine-a")

    def test_a_new_session_starts_at_the_engine_of_its_programs_last_turn(self) -> None:
        state = LedgerState()
        _settle(state, "1", "parent", "engine-a")
        context = _reserve(state, "2", "child")
        assert context is not None
        self.assertEqual(context.engine_id, "engine-a")

    def test_a_program_remembers_a_bounded_number_of_sessions(self) -> None:
        state = LedgerState()
        for number in range(3 * MAX_CONTEXTS):
            _settle(state, str(number), f"line-{number}", "engine-a")
        self.assertEqual(len(state.programs["p"].contexts), MAX_CONTEXTS)
