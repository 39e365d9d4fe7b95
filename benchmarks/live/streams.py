"""Reads recorded answers: when each text arrived, and whether the answer is whole."""

from __future__ import annotations

from collections.abc import Iterator

import h11
import msgspec

from benchmarks.live.calls import CallRecord
from yokeline.node.stream_items import ServerSentEventReader

_ITEM_BYTES = 1 << 20
_DONE = b"[DONE]"


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """One whole answer; times in seconds.

    Attributes:
        texts: Arrival time and number of tokens of each event with text.
        first_token: From sending to the first text.
        per_token: From the first text to the last, by token after the first text.
        pauses: Between one text and the next.
        lag: From when the call was due until it was sent: the tool's own delay.
    """

    direct: bool
    ended: float
    texts: list[tuple[float, int]]
    first_token: float
    per_token: float
    pauses: list[float]
    lag: float


class _Delta(msgspec.Struct, frozen=True):
    content: str | None = None


class _Choice(msgspec.Struct, frozen=True):
    delta: _Delta = _Delta()


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []


class _RunEvent(msgspec.Struct):
    type: str
    text: str = ""
    status: str = ""
    answer: str = ""


class NotWholeError(Exception):
    """An answer is not what was asked for."""


def sample_of(record: CallRecord, tokens: int) -> Sample:
    """Return the measurements of one answer.

    Raises:
        NotWholeError: It has not just ``tokens`` tokens, or ended badly.
    """
    if record.lost:
        raise NotWholeError(record.lost)
    read = _direct_texts if record.plan.direct else _run_texts
    found = [(at, text) for at, text in read(record) if text]
    words = len("".join(text for _, text in found).split())
    if words != tokens:
        raise NotWholeError(f"an answer has {words} of {tokens} tokens")
    texts = [(at, len(text.split())) for at, text in found]
    times = [at for at, _ in texts]
    later = tokens - texts[0][1]
    return Sample(
        direct=record.plan.direct,
        ended=record.pieces[-1][0],
        texts=texts,
        first_token=times[0] - record.sent,
        per_token=(times[-1] - times[0]) / max(1, later),
        pauses=[after - before for before, after in zip(times, times[1:], strict=False)],
        lag=record.sent - record.due,
    )


def _direct_texts(record: CallRecord) -> Iterator[tuple[float, str]]:
    for at, data in _items(record):
        if data != _DONE:
            for choice in msgspec.json.decode(data, type=_Chunk).choices:
                yield at, choice.delta.content or ""


def _run_texts(record: CallRecord) -> Iterator[tuple[float, str]]:
    texts: list[str] = []
    last: _RunEvent | None = None
    for at, data in _items(record):
        last = msgspec.json.decode(data, type=_RunEvent)
        if last.type == "text":
            texts.append(last.text)
            yield at, last.text
    if last is None or last.type != "finished" or last.answer != "".join(texts):
        raise NotWholeError("the streamed text is not the answer")
    if last.status != "succeeded":
        raise NotWholeError(f"the run ended as {last.status}")


def _items(record: CallRecord) -> Iterator[tuple[float, bytes]]:
    """Yield the arrival time and the data of each server-sent event."""
    codec = h11.Connection(h11.CLIENT)
    codec.send(h11.Request(method="GET", target="/", headers=[("host", "benchmark")]))
    codec.send(h11.EndOfMessage())
    reader = ServerSentEventReader(_ITEM_BYTES)
    for at, piece in record.pieces:
        codec.receive_data(piece)
        while True:
            event = codec.next_event()
            if isinstance(event, h11.Response) and event.status_code != 200:
                raise NotWholeError(f"status {event.status_code}: {piece!r}")
            if isinstance(event, h11.Data):
                for item in reader.feed(bytes(event.data)):
                    yield at, item.data
            elif event is h11.NEED_DATA or event is h11.PAUSED:
                break
            elif isinstance(event, h11.EndOfMessage):
                return
