"""Watch streams: every change of a range from a revision on, one JSON line per revision."""

from __future__ import annotations

import itertools

import msgspec

from yokeline.effects import Effect, HttpStreamData, HttpStreamEnd, HttpStreamStart
from yokeline.emulator.etcd.bodies import (
    Header,
    StreamLine,
    WatchAnswer,
    WatchCreateRequest,
    event_body,
)
from yokeline.emulator.etcd.state import Change, KeyRange, VersionedState
from yokeline.identifiers import ExchangeId

_HEADERS = {"content-type": "application/json"}


class Watch(msgspec.Struct, kw_only=True):
    """A watch of one caller.

    Attributes:
        next_revision: Changes below it were sent already, or are not wanted.
    """

    exchange: ExchangeId
    keys: KeyRange
    next_revision: int
    progress_notify: bool
    prev_kv: bool


class WatchHub:
    """The open watches on a state."""

    def __init__(self, state: VersionedState) -> None:
        """Create a hub without watches."""
        self._state = state
        self._watches: dict[ExchangeId, Watch] = {}

    def __len__(self) -> int:
        """Return the number of open watches."""
        return len(self._watches)

    def open(self, exchange: ExchangeId, request: WatchCreateRequest) -> list[Effect]:
        """Open a watch: created, then what happened since its start revision.

        A start revision that has been compacted ends the watch with ``canceled`` and the
        lowest revision that can be had.
        """
        effects: list[Effect] = [HttpStreamStart(exchange=exchange, headers=_HEADERS)]
        effects.append(self._line(exchange, WatchAnswer(header=self._header(), created=True)))
        start = request.start_revision
        if start and start <= self._state.compacted:
            effects.append(self._line(exchange, self._compacted()))
            effects.append(HttpStreamEnd(exchange=exchange))
            return effects
        watch = Watch(
            exchange=exchange,
            keys=KeyRange(request.key, request.range_end),
            next_revision=start or self._state.revision + 1,
            progress_notify=request.progress_notify,
            prev_kv=request.prev_kv,
        )
        self._watches[exchange] = watch
        effects.extend(self._send(watch, self._state.changes_since(watch.next_revision)))
        return effects

    def notify(self, changes: list[Change]) -> list[Effect]:
        """Send changes that were just made to the watches that want them."""
        effects: list[Effect] = []
        for watch in self._watches.values():
            effects.extend(self._send(watch, changes))
        return effects

    def progress(self) -> list[Effect]:
        """Tell the watches that ask for it up to which revision they have everything."""
        answer = WatchAnswer(header=self._header())
        return [
            self._line(watch.exchange, answer)
            for watch in self._watches.values()
            if watch.progress_notify
        ]

    def close(self, exchange: ExchangeId) -> None:
        """Forget a watch whose caller is gone."""
        self._watches.pop(exchange, None)

    def abort_all(self) -> list[Effect]:
        """Break all watches off."""
        effects: list[Effect] = [
            HttpStreamEnd(exchange=exchange, aborted=True) for exchange in self._watches
        ]
        self._watches.clear()
        return effects

    def _send(self, watch: Watch, changes: list[Change]) -> list[Effect]:
        wanted = [
            change
            for change in changes
            if change.revision >= watch.next_revision and watch.keys.contains(change.kv.key)
        ]
        effects: list[Effect] = []
        for revision, group in itertools.groupby(wanted, key=lambda change: change.revision):
            events = tuple(event_body(change, with_previous=watch.prev_kv) for change in group)
            answer = WatchAnswer(header=Header(revision=str(revision)), events=events)
            effects.append(self._line(watch.exchange, answer))
        if changes:
            watch.next_revision = max(watch.next_revision, changes[-1].revision + 1)
        return effects

    def _compacted(self) -> WatchAnswer:
        return WatchAnswer(
            header=self._header(),
            canceled=True,
            compact_revision=str(self._state.compacted + 1),
            cancel_reason="etcdserver: mvcc: required revision has been compacted",
        )

    def _header(self) -> Header:
        return Header(revision=str(self._state.revision))

    def _line(self, exchange: ExchangeId, answer: WatchAnswer) -> Effect:
        data = msgspec.json.encode(StreamLine(result=answer)) + b"\n"
        return HttpStreamData(exchange, data)
