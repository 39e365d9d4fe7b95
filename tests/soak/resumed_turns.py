"""Callers of the soak that leave streams of kept turns and resume them, and what is kept of these.

Engines draw words of their own for each run, so that a joint of two runs shows, and so does a turn
that is kept with other words than its caller was given.
"""

from __future__ import annotations

import random
import threading
import time
from collections import Counter
from collections.abc import Iterable

from tests.processes.platform.deployment import Deployment, TenantKeys
from tests.processes.platform.endless_answers import ENDLESS_CALLS, ENDLESS_DOCUMENTS
from tests.processes.platform.sampled_streams import (
    OK,
    SampledStream,
    joined,
    kept_body,
    next_body,
)
from tests.processes.platform.streams import EVENTS
from tests.soak.operators import Operator
from tests.soak.records import NOT_FOUND, Asked, Records

LONGEST_RETURN_SECONDS = 0.3
LATE_RETURN_SECONDS = 1.5
LATE_SHARE = 0.1
EARLIER_SHARE = 0.3
"""Share of resumptions from an earlier event than the last one that the caller got."""
MOST_ATTEMPTS = 6
LONGEST_FLOOD_SECONDS = 1.2


class SamplingCaller:
    """One thread with streams of kept turns, left after a few events and resumed anywhere."""

    def __init__(
        self, name: str, deployment: Deployment, records: Records, seed: int, tenant: TenantKeys
    ) -> None:
        """Prepare; ``seed`` decides what is asked, with the first key of ``tenant``."""
        self.streams: list[SampledStream] = []
        self.counts: Counter[str] = Counter()
        self.wrongly_kept: list[str] = []
        self._name = name
        self._deployment = deployment
        self._records = records
        self._tenant = tenant
        self._random = random.Random(f"{seed}/{name}/sampled")
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to ask."""
        self._thread.start()

    def stop(self) -> None:
        """Begin no further stream, and wait for the end of this one."""
        self._stop.set()
        self._thread.join(60)

    def _run(self) -> None:
        while not self._stop.is_set():
            name = f"{self._name}-{len(self.streams)}"
            fields = {"Authorization": f"Bearer {self._tenant.keys[0]}"}
            stream = SampledStream(name, fields=fields)
            self.streams.append(stream)
            self._play(stream)
            self._stop.wait(self._random.uniform(0.0, LONGEST_RETURN_SECONDS))

    def _play(self, stream: SampledStream) -> None:
        for _ in range(MOST_ATTEMPTS):
            if self._stop.is_set() or self._attempt(stream):
                break
            is_late = self._random.random() < LATE_SHARE
            longest = LATE_RETURN_SECONDS if is_late else LONGEST_RETURN_SECONDS
            time.sleep(self._random.uniform(0.0, longest))
            if len(stream.words) > 1 and self._random.random() < EARLIER_SHARE:
                stream.forget(1)
        if stream.is_whole and len(stream.words) == EVENTS:
            self._check_next_turn(stream)

    def _attempt(self, stream: SampledStream) -> bool:
        """Begin or resume a stream at some node; return whether it is whole."""
        resumes = bool(stream.words)
        before = len(stream.words)
        events = self._random.randint(before + 1, EVENTS + 1)
        sent_at = time.monotonic()
        stream.attempt(self._deployment, self._edge(), events=events)
        status = stream.statuses[-1]
        kind = "resumed" if resumes else "begun"
        self.counts[f"sampled {kind} {'on' if len(stream.words) > before else status}"] += 1
        numbers = [word.number for word in stream.words[before:]]
        self._note(stream, stream.attempts[-1], status, numbers, sent_at)
        return stream.is_whole and status == OK

    def _check_next_turn(self, stream: SampledStream) -> None:
        """Continue a turn that came whole; its body must be what the caller was given."""
        turns: list[tuple[str, int | None]] = []
        sent_at = time.monotonic()
        body = next_body(self._deployment, stream, self._edge(), tries=3, asked=turns)
        for turn, status in turns:
            self._note(stream, turn, status, [], sent_at)
        if body == NOT_FOUND:
            self.wrongly_kept.append(f"{stream.attempts[-1]} came whole, and then got 404")
        elif isinstance(body, bytes) and body != kept_body(stream):
            story = f"ran with {body[:300]!r} in place of {kept_body(stream)[:300]!r}"
            self.wrongly_kept.append(f"the turn after {stream.attempts[-1]} {story}")
        self.counts[f"sampled continued {'on' if isinstance(body, bytes) else body}"] += 1

    def _note(
        self,
        stream: SampledStream,
        request_id: str,
        status: int | None,
        numbers: list[int],
        sent_at: float,
    ) -> None:
        """Record a request with those of other callers."""
        asked = Asked(
            request_id=request_id,
            path=stream.path,
            status=status,
            body=b"".join(f"id: {number}\n".encode() for number in numbers),
            is_whole=status not in (OK, None),
            tenant=self._tenant.name,
            key=self._tenant.keys[0],
            sent_at=sent_at,
        )
        self._records.add(asked)

    def _edge(self) -> int:
        return self._random.randrange(len(self._deployment.fronts))


def violations(callers: Iterable[SamplingCaller], deployment: Deployment) -> list[str]:
    """Return the joints of two runs, and the turns that were kept with other words."""
    found = []
    for caller in callers:
        found.extend(caller.wrongly_kept)
        for stream in caller.streams:
            found.extend(joined(stream, deployment.models))
    return found


class FloodOperator(Operator):
    """Lets the key-value service answer with bytes without end for a while."""

    name = "floods"
    longest_pause_seconds = 6.0

    def act(self) -> None:
        """Choose a form of such bytes."""
        shapes = {**ENDLESS_CALLS, **ENDLESS_DOCUMENTS}
        name = self.random.choice(sorted(shapes))
        seconds = self.random.uniform(0.1, LONGEST_FLOOD_SECONDS)
        with self.shared.holding("proxy store") as is_free:
            if not is_free:
                return
            self.shared.note(f"the store sends {name.decode()} without end for {seconds:.2f} s")
            self.deployment.store.endless = shapes[name]
            self.stopping.wait(seconds)
            self.deployment.store.endless = None
