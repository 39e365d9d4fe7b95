"""Copies of the entries that one of two members commits alone, in the key-value service.

The other member may only be frozen or cut off, and the one that continues may lose its disk before
they are in touch again. So what it commits alone takes effect only once a copy is in the key-value
service. A member whose peer has lost its disk first replays the copies.
"""

from __future__ import annotations

import functools

import msgspec
from returns.result import Success

from yokeline.consensus.messages import AppendEntries
from yokeline.effects import Effect, Event, HttpFailed, HttpResponse, LogRecord
from yokeline.identifiers import ReplicaId, RequestId
from yokeline.ledger.messages import ReplicaMessage
from yokeline.ledger.replica import LedgerReplica
from yokeline.messages.structs import decode_struct, encode_struct
from yokeline.registry.client import RegistryClient
from yokeline.registry.nodes import SURVIVOR_COPIES_PREFIX
from yokeline.registry.protocol import Page

BATCH_BYTES = 256 * 1024
"""Commands copied with one write."""
PART_BYTES = 512 * 1024
"""Largest value; a larger copy is written in parts."""
MAX_COPIED_BYTES = 64 * 1024 * 1024
"""Copies that one silence of the other member may take; then it is removed from the group."""
READ_RETRY_SECONDS = 0.25


class CopyWriter:
    """Copies the entries of the member that continues alone.

    Attributes:
        is_active: Whether entries take effect only once they are copied.
        copied_bytes: Bytes written since the last :meth:`begin`.
    """

    def __init__(self, replica: LedgerReplica, registry: RegistryClient) -> None:
        """Copy the log of ``replica``."""
        self.is_active = False
        self.copied_bytes = 0
        self._replica = replica
        self._registry = registry
        self._prefix = ""
        self._copied_index = 0
        self._pending_index = 0
        self._pending_keys: set[str] = set()
        self._keys: list[str] = []

    @property
    def is_exhausted(self) -> bool:
        """Whether the copies have reached their bound."""
        return self.copied_bytes >= MAX_COPIED_BYTES

    def begin(self, configuration_index: int) -> None:
        """Copy what follows the entries that both members are known to hold."""
        self.is_active = True
        self.copied_bytes = 0
        self._prefix = copies_prefix(configuration_index)
        self._copied_index = self._pending_index = self._replica.group.commit_index
        self._pending_keys = set()
        self._replica.limit_application(self._copied_index)

    def end(self, now: float) -> list[Effect]:
        """Let all entries take effect, and remove the copies."""
        if not self.is_active:
            return []
        self.is_active = False
        for key in self._keys:
            self._registry.write(key, None, now)
        self._keys = []
        return self._replica.limit_application(None)

    def tick(self, now: float) -> list[Effect]:
        """Copy new entries, one write after the other, and release what is copied."""
        if not self.is_active or self._pending_keys:
            return []
        effects: list[Effect] = []
        if self._pending_index > self._copied_index:
            self._copied_index = self._pending_index
            effects.extend(self._replica.limit_application(self._copied_index))
        if self._replica.leads and self._replica.group.last_index > self._copied_index:
            self._copy_next(now)
        return effects

    def _copy_next(self, now: float) -> None:
        message = self._replica.group.entries_message(self._copied_index, BATCH_BYTES)
        data = encode_struct(message)
        first, last = message.entries[0].index, message.entries[-1].index
        parts = [data[at : at + PART_BYTES] for at in range(0, len(data), PART_BYTES)]
        self._pending_index = last
        self.copied_bytes += len(data)
        for number, part in enumerate(parts):
            key = f"{self._prefix}{first:012}.{last:012}.{number:03}.{len(parts):03}"
            self._keys.append(key)
            pending = self._pending_keys
            pending.add(key)
            # Late answers to the writes of an earlier silence count for nothing.
            done = functools.partial(_discard, pending, key)
            self._registry.write(key, part, now, done=done)


def _discard(pending: set[str], key: str, _took_effect: bool) -> None:
    pending.discard(key)


class CopyReader:
    """Reads the copies of one configuration, before a member leads without its peer."""

    def __init__(self, registry: RegistryClient) -> None:
        """Read from the key-value service of ``registry``."""
        self._registry = registry
        self._configuration_index = -1
        self._peer = ReplicaId("")
        self._is_complete = False
        self._values: dict[str, bytes] = {}
        self._request: RequestId | None = None
        self._requests = 0
        self._next_request = 0.0

    def find(
        self, configuration_index: int, peer: ReplicaId, now: float
    ) -> list[AppendEntries] | None:
        """Return the copies that ``peer`` has left in order; None while they are being read."""
        if (configuration_index, peer) != (self._configuration_index, self._peer):
            self._configuration_index, self._peer = configuration_index, peer
            self._is_complete, self._request = False, None
            self._values = {}
            self._next_request = now
        return _messages_of(self._values) if self._is_complete else None

    def tick(self, now: float) -> list[Effect]:
        """Return the request for the next page, if one is due."""
        is_idle = self._configuration_index < 0 or self._is_complete or self._request is not None
        if is_idle or now < self._next_request:
            return []
        self._requests += 1
        self._request = RequestId(f"copies/{self._requests}")
        prefix = copies_prefix(self._configuration_index)
        after_key = max(self._values, default="")
        return [
            self._registry.store.list_call(self._request, prefix, after_key, may_lag=False),
        ]

    def owns(self, event: Event) -> bool:
        """Return whether an event is the answer to a request of this reader."""
        return isinstance(event, HttpResponse | HttpFailed) and event.request == self._request

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take a page."""
        self._request = None
        self._next_request = now + READ_RETRY_SECONDS
        answer = (
            self._registry.store.read_answer(event) if isinstance(event, HttpResponse) else None
        )
        if not isinstance(answer, Page):
            return [LogRecord(event="survivor_copies_unread", fields={"peer": self._peer})]
        self._values.update({item.key: item.value or b"" for item in answer.items})
        self._next_request = now
        if answer.more:
            return []
        self._is_complete = True
        fields: dict[str, str | int | float | bool | None] = {
            "peer": self._peer,
            "copies": len(self._values),
            "bytes": sum(map(len, self._values.values())),
        }
        return [LogRecord(event="survivor_copies_read", fields=fields)]


def copies_prefix(configuration_index: int) -> str:
    """Return the prefix of the copies of a configuration's survivor."""
    return f"{SURVIVOR_COPIES_PREFIX}{configuration_index}/"


def replay(
    replica: LedgerReplica, peer: ReplicaId, messages: list[AppendEntries], now: float
) -> list[Effect]:
    """Append the copied entries of a lost peer to the log of ``replica``, as its leader would."""
    effects: list[Effect] = []
    address = replica.addresses.get(peer)
    if address is None:
        return []
    for message in messages:
        current = msgspec.structs.replace(message, term=max(message.term, replica.group.term))
        envelope = ReplicaMessage(sender_address=address, message=current)
        effects.extend(replica.step(peer, envelope, now))
    return effects


def _messages_of(values: dict[str, bytes]) -> list[AppendEntries]:
    """Join the parts of each copy; one that is not whole took no effect."""
    parts: dict[str, list[bytes]] = {}
    sizes: dict[str, int] = {}
    for key in sorted(values):
        name, _number, count = key.rsplit(".", 2)
        parts.setdefault(name, []).append(values[key])
        sizes[name] = int(count)
    messages: list[AppendEntries] = []
    for name in sorted(parts):
        if len(parts[name]) == sizes[name]:
            decoded = decode_struct(b"".join(parts[name]), AppendEntries)
            if isinstance(decoded, Success):
                messages.append(decoded.unwrap())
    return messages
