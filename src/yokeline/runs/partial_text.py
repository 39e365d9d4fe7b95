"""Partial answers of the model calls in flight at this leader."""

from __future__ import annotations

from yokeline.identifiers import RunId


class PartialText:
    """Text that one attempt of a call has generated so far.

    Attributes:
        number: Number of the call within its run.
        attempt: Number of the attempt within the call.
    """

    __slots__ = ("_parts", "attempt", "number")

    def __init__(self, number: int, attempt: int) -> None:
        self.number = number
        self.attempt = attempt
        self._parts: list[str] = []

    def append(self, text: str) -> None:
        """Append generated text."""
        self._parts.append(text)

    def text(self) -> str:
        """Return the text generated so far."""
        if len(self._parts) > 1:
            self._parts = ["".join(self._parts)]
        return self._parts[0] if self._parts else ""


class PartialTexts:
    """Partial texts by run; at most one per run."""

    def __init__(self) -> None:
        self._texts: dict[RunId, PartialText] = {}

    def begin(self, run: RunId, number: int, attempt: int) -> PartialText:
        """Create the text of a new attempt, replacing that of an earlier attempt."""
        text = PartialText(number, attempt)
        self._texts[run] = text
        return text

    def get(self, run: RunId) -> PartialText | None:
        """Return a run's partial text, if any."""
        return self._texts.get(run)

    def discard(self, run: RunId) -> None:
        """Discard a run's partial text."""
        self._texts.pop(run, None)
