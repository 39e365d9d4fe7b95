"""However connections fail and engines come and go, a request is left with no more engines than
its route allows.

Streams and calls went to a second engine where one is allowed, after two resets, after a silence
or after an attempt to connect that failed, while the first engine ran on.
"""

from __future__ import annotations

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.unit.forwarding.support import Played
from yokeline.effects import HttpFailed, HttpRequest

ALLOWED = {"/single/x": 1, "/look/x": 1, "/turn/x": 2, "/look-twice/x": 2}
STEPS = (
    "break",
    "break a kept connection",
    "be silent",
    "cannot connect",
    "have no free connection",
    "reject",
    "fail",
    "begin",
    "pause",
    "leave the list",
    "drain",
    "be another",
)
UNSENT = ("cannot connect", "have no free connection")
BEFORE_AN_ANSWER = (*UNSENT, "reject", "fail", "be another")
"""What cannot happen to a request whose answer has begun: one connection, one head."""
GOT_IT = ("break", "break a kept connection", "be silent", "fail", "begin")
"""What happens only to a request that an engine has, or may have."""
NOT_RUN = frozenset((408, 421, 429, 503))
"""Statuses that promise that a request did not run."""
PLANS = st.lists(st.sampled_from(STEPS), min_size=1, max_size=12)


class Watched(Played):
    """Played, with the engines that may run the request for all that can be known from outside.

    Attributes:
        may_have_run: Some engine got it and did not say that it had not run it.
        most: Most engines that had the request at once.
    """

    def __init__(self) -> None:
        super().__init__(engines_per_pool=5)
        self.left: set[str] = set()
        self.may_have_run = False
        self.begun: list[HttpRequest] = []
        self.most = 0

    def play(self, step: str) -> None:
        """Let something happen to the request where it is, if it is anywhere."""
        request = self.sent[-1]
        engine_id = self.engine_of()
        if step in BEFORE_AN_ANSWER and request in self.begun:
            return
        self._happen(step, request)
        self.wait(0.3)
        has_moved = self.sent[-1] is not request
        if step == "be another":
            self.left.discard(engine_id)
        elif step in GOT_IT or (has_moved and step not in (*UNSENT, "reject")):
            self.left.add(engine_id)
            self.may_have_run = True
        if has_moved:
            self.most = max(self.most, len(self.left | {self.engine_of()}))

    @property
    def is_over(self) -> bool:
        return bool(self.replies) or self.stream_end() is not None

    def _happen(self, step: str, request: HttpRequest) -> None:
        if step == "break":
            self.engine_breaks(fresh=True)
        elif step == "break a kept connection":
            self.engine_breaks(stale=True)
        elif step == "be silent":
            self.engine_breaks(silent=True)
        elif step == "cannot connect":
            self.engine_breaks(sent=False)
        elif step == "have no free connection":
            reason = "too many connections are open"
            failed = HttpFailed(request=request.request, sent=False, reason=reason)
            self.take(self.forwarder.handle_engine_event(failed, self.now))
        elif step == "reject":
            self.engine_rejects()
        elif step == "fail":
            self.engine_answers(status=500, body=b"broken")
        elif step == "begin":
            self.begun.append(request)
            self.engine_begins()
            self.engine_sends(1)
        elif step == "pause":
            self.wait(1.0)
        elif step == "leave the list":
            self.engines.remove(self.engine_of())
        elif step == "drain":
            state = self.engines.get(self.engine_of())
            if state is not None:
                self.engines.put(msgspec.structs.replace(state.engine, draining=True))
        elif step == "be another":
            self.engine_is_another()


class Attempts(unittest.TestCase):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(path=st.sampled_from(sorted(ALLOWED)), plan=PLANS)
    def test_a_request_is_left_with_no_more_engines_than_its_route_allows(
        self, path: str, plan: list[str]
    ) -> None:
        played = Watched()
        played.request(path)
        for step in plan:
            if played.is_over:
                break
            played.play(step)
        self.assertLessEqual(played.most, ALLOWED[path], plan)
        if played.may_have_run:
            self.assertFalse(NOT_RUN.intersection(reply.status for reply in played.replies), plan)
