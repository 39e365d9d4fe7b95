"""Processor time of a node by role, and its messages by kind."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

NANOSECONDS = 1e9


class Traffic(msgspec.Struct):
    """Messages of one kind that a node sent.

    Attributes:
        bytes: Encoded payload, without the headers of TCP, UDP and IP.
        parts: Messages inside (Raft messages of a batch, events of a frame).
        codec_seconds: Processor time to encode and decode them once.
    """

    count: int = 0
    bytes: int = 0
    parts: int = 0
    codec_seconds: float = 0.0


class Profiler:
    """Self time by role: time in a nested section counts for the inner role only.

    Processor time of the thread, so that other processes of the machine do not count.
    """

    def __init__(self) -> None:
        """Start with nothing measured."""
        self.nanoseconds: Counter[str] = Counter()
        self.entries: Counter[str] = Counter()
        self.traffic: dict[str, Traffic] = {}
        self._stack: list[str] = []
        self._mark = 0

    def reset(self) -> None:
        """Forget what was measured; sections that are open go on."""
        self.nanoseconds.clear()
        self.entries.clear()
        self.traffic.clear()

    def enter(self, role: str) -> None:
        """Begin a section."""
        now = time.thread_time_ns()
        if self._stack:
            self.nanoseconds[self._stack[-1]] += now - self._mark
        self._stack.append(role)
        self.entries[role] += 1
        self._mark = time.thread_time_ns()

    def leave(self) -> None:
        """End the section that began last."""
        now = time.thread_time_ns()
        self.nanoseconds[self._stack.pop()] += now - self._mark
        self._mark = time.thread_time_ns()

    def timed(self, role: str, function: Callable[..., Any]) -> Callable[..., Any]:
        """Return a function that runs ``function`` as a section."""

        def run(*arguments: Any, **options: Any) -> Any:
            self.enter(role)
            try:
                return function(*arguments, **options)
            finally:
                self.leave()

        return run

    def wrap(self, owner: object, names: tuple[str, ...], role: str) -> None:
        """Time these methods of an object from now on."""
        for name in names:
            setattr(owner, name, self.timed(role, getattr(owner, name)))

    def wrap_with_callbacks(self, owner: object, name: str, role: str, callback_role: str) -> None:
        """Time a method, and the callables that it is given as another role."""
        function = getattr(owner, name)

        def run(*arguments: Any, **options: Any) -> Any:
            given = [self._callback(callback_role, argument) for argument in arguments]
            named = {key: self._callback(callback_role, value) for key, value in options.items()}
            return function(*given, **named)

        setattr(owner, name, self.timed(role, run))

    def note_message(self, kind: str, *, size: int, parts: int = 1, codec: float = 0.0) -> None:
        """Count a message that was sent."""
        row = self.traffic.setdefault(kind, Traffic())
        row.count += 1
        row.bytes += size
        row.parts += parts
        row.codec_seconds += codec

    def seconds(self) -> dict[str, float]:
        """Return processor seconds by role, the codec included."""
        rows = {role: value / NANOSECONDS for role, value in self.nanoseconds.items()}
        rows["codec"] = sum(row.codec_seconds for row in self.traffic.values())
        return rows

    def _callback(self, role: str, value: Any) -> Any:
        return self.timed(role, value) if callable(value) else value
