"""Text of the model calls that are under way at this leader."""

from __future__ import annotations

from yokeline.identifiers import RunId


class LiveText:
    """Text of one attempt so far.

    Attributes:
        number: The call.
        attempt: The attempt that generates the text.
    """

    __slots__ = ("_parts", "attempt", "number")

    def __init__(self, number: int, attempt: int) -> None:
        """Create an empty text."""
        self.number = number
        self.attempt = attempt
        self._parts: list[str] = []

    def append(self, text: str) -> None:
        """Add text at the end."""
        self._parts.append(text)

    def text(self) -> str:
        """Return the whole text so far."""
        if len(self._parts) > 1:
            self._parts = ["".join(self._parts)]
        return self._parts[0] if self._parts else ""


class LiveTexts:
    """Live texts by run."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._texts: dict[RunId, LiveText] = {}

    def begin(self, run: RunId, number: int, attempt: int) -> LiveText:
        """Begin the text of a new attempt; an older attempt's text is dropped."""
        text = LiveText(number, attempt)
        self._texts[run] = text
        return text

    def get(self, run: RunId) -> LiveText | None:
        """Return the live text of a run."""
        return self._texts.get(run)

    def forget(self, run: RunId) -> None:
        """Drop a run's live text: the history has it, or it is void."""
        self._texts.pop(run, None)
