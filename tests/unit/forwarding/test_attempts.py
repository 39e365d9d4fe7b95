"""How many engines one request may be left with, whatever happens to its connections.

Requests ran on two engines although their routes allow one. The node had gone back to the engine
whose connection was reset; when that connection failed as well, or the engine was silent for a
while, or no connection came about, it took the engine for one that had ended and sent the request
to another. The engine ran on all the time: only its connections had failed. What settled it were
pairs of engine_connection_failed lines of one request,

    reason="receive failed: ECONNRESET (before a response)" fresh=false at_engine=0.0045 send=1
    reason="receive failed: ECONNRESET (before a response)" fresh=false at_engine=0.0045 send=2

both on kept connections that had been reset together, and 22 lines of one day with
reason="no answer within 1.5 seconds" after each of which the request went to another engine.
"""

from __future__ import annotations

import unittest
from collections.abc import Callable

from tests.unit.forwarding.support import Played

Happening = Callable[[Played], None]


def breaks_off(played: Played) -> None:
    played.engine_breaks(fresh=True)


def kept_connection_is_reset(played: Played) -> None:
    played.engine_breaks(stale=True)


def gives_no_answer(played: Played) -> None:
    played.engine_breaks(silent=True)


def cannot_be_reached(played: Played) -> None:
    played.engine_breaks(sent=False)


def begins(played: Played) -> None:
    played.engine_begins()
    played.engine_sends(1)


def falls_silent(played: Played) -> None:
    played.wait(1.2)


def leaves_the_list(played: Played) -> None:
    played.engines.remove(played.engine_of())


STORIES: tuple[tuple[str, tuple[Happening, ...]], ...] = (
    ("/single/x", (breaks_off, breaks_off)),
    ("/single/x", (begins, kept_connection_is_reset, kept_connection_is_reset)),
    ("/single/x", (gives_no_answer,)),
    ("/single/x", (begins, falls_silent, begins, falls_silent)),
    ("/single/x", (begins, breaks_off, cannot_be_reached)),
    ("/single/x", (begins, leaves_the_list, breaks_off)),
    ("/look/x", (breaks_off, breaks_off)),
    ("/look/x", (gives_no_answer,)),
    ("/turn/x", (gives_no_answer, gives_no_answer, gives_no_answer)),
    ("/look-twice/x", (breaks_off, breaks_off, breaks_off, breaks_off)),
)
ALLOWED = {"/single/x": 1, "/look/x": 1, "/turn/x": 2, "/look-twice/x": 2}


def engines_left_with(path: str, happenings: tuple[Happening, ...]) -> set[str]:
    """Play a request and return the engines that got it and may still run it."""
    played = Played(engines_per_pool=4)
    played.request(path)
    left: set[str] = set()
    unsent: set[int] = set()
    for happening in happenings:
        if happening is cannot_be_reached:
            unsent.add(len(played.sent) - 1)
        happening(played)
        played.wait(0.3)
    for number in range(len(played.sent)):
        if number not in unsent:
            left.add(played.engine_of(number))
    return left


class AttemptsOfARoute(unittest.TestCase):
    def test_no_failure_of_a_connection_gives_an_attempt_back(self) -> None:
        exceeded = []
        for path, happenings in STORIES:
            left = engines_left_with(path, happenings)
            if len(left) > ALLOWED[path]:
                names = ", ".join(happening.__name__ for happening in happenings)
                exceeded.append(f"{path}: {names}: {sorted(left)}")
        self.assertEqual(exceeded, [])
