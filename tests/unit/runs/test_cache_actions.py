"""Tests of the executor's cache actions when run trees pause and end."""

from __future__ import annotations

import json
import unittest

from tests.unit.runs.support import DONE_ITEM, RUN, Bench, agent_spec, chunk, tool_calls, usage
from yokeline.scheduling.interface import CacheAction, CacheCause, CacheDecision, PauseKind

HOLD = CacheDecision(
    action=CacheAction.HOLD, cause=CacheCause.COSTLY_REBUILD, reason="", hold_seconds=7.0
)


def request_tool_call(bench: Bench) -> None:
    """Answer the open model call with a tool request."""
    request = bench.open_request("POST", "/v1/chat")
    calls = tool_calls(("t1", "roster", "{}"))
    bench.stream(request, calls, usage(50, 5, "tool_calls"), DONE_ITEM)


class CacheActionsTest(unittest.TestCase):
    def test_context_is_held_at_a_tool_pause_and_released_when_used_again(self) -> None:
        bench = Bench()
        bench.start(agent_spec())
        bench.engines.decision = HOLD
        request_tool_call(bench)
        hold = json.loads(bench.open_request("POST", "/v1/cache/holds").body)
        self.assertEqual(
            hold, {"cache_key": RUN, "cache_salt": "dallim", "seconds": 7.0, "fence": 1}
        )
        pause = bench.engines.pauses[-1]
        self.assertEqual((pause.kind, pause.name), (PauseKind.TOOL, "dallim/roster"))
        self.assertEqual((pause.engine, pause.context_tokens), ("pool/e1", 55))
        bench.advance(3.0)
        bench.answer(bench.open_request("POST", "/roster"), 200, {"content": "names"})
        self.assertEqual(bench.sent_requests("DELETE", f"/holds/{RUN}"), [])
        bench.stream(bench.open_request("POST", "/v1/chat"), chunk("done", 4))
        self.assertEqual(len(bench.sent_requests("DELETE", f"/holds/{RUN}")), 1)
        kind, name, seconds = bench.engines.ended_pauses[-1]
        self.assertEqual((kind, name), (PauseKind.TOOL, "dallim/roster"))
        self.assertAlmostEqual(seconds, 3.0)

    def test_idle_conversation_is_a_pause_between_turns(self) -> None:
        bench = Bench()
        bench.start(agent_spec(conversation=True))
        bench.stream(bench.open_request("POST", "/v1/chat"), chunk("hi", 2), usage(9, 1), DONE_ITEM)
        pause = bench.engines.pauses[-1]
        self.assertEqual((pause.kind, pause.name), (PauseKind.TURN, "dallim/agent"))
        self.assertEqual(bench.sent_requests("DELETE", "/v1/cache/entries"), [])

    def test_context_of_an_ended_program_is_always_dropped(self) -> None:
        bench = Bench()
        bench.start(agent_spec())
        bench.stream(bench.open_request("POST", "/v1/chat"), chunk("hi", 2), usage(9, 1), DONE_ITEM)
        self.assertEqual(len(bench.sent_requests("DELETE", f"/v1/cache/entries/{RUN}")), 1)

    def test_several_tools_of_one_answer_are_one_pause(self) -> None:
        bench = Bench()
        bench.start(agent_spec())
        calls = tool_calls(("t1", "roster", "{}"), ("t2", "roster", '{"a": 1}'))
        request = bench.open_request("POST", "/v1/chat")
        bench.stream(request, calls, usage(50, 5, "tool_calls"), DONE_ITEM)
        bench.answer(bench.open_request("POST", "/roster"), 200, {"content": "a"})
        bench.answer(bench.open_request("POST", "/roster"), 200, {"content": "b"})
        self.assertEqual([p.name for p in bench.engines.pauses], ["dallim/roster+roster"])
        self.assertEqual(len(bench.engines.ended_pauses), 1)


if __name__ == "__main__":
    unittest.main()
