"""Probes that a member makes on behalf of another one (SWIM's indirect probes)."""

from __future__ import annotations

import msgspec

from yokeline.effects import Address

RELAY_SECONDS = 5.0
"""Time that a probe on behalf of another member is remembered."""


class Relay(msgspec.Struct, frozen=True):
    """A probe made on behalf of another member.

    Attributes:
        asker: Where the member that asked for it listens.
        sequence: The asker's own number of its probe.
        expires: Monotonic seconds after which its answer is not passed on any more.
    """

    asker: Address
    sequence: int
    expires: float


class RelayTable:
    """The relayed probes that wait for an answer, by this node's own sequence number."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._relays: dict[int, Relay] = {}

    def start(self, own_sequence: int, asker: Address, sequence: int, now: float) -> None:
        """Remember a probe that is sent now, and forget those that are too old."""
        for old in [key for key, relay in self._relays.items() if relay.expires <= now]:
            del self._relays[old]
        self._relays[own_sequence] = Relay(asker, sequence, now + RELAY_SECONDS)

    def answered(self, own_sequence: int) -> Relay | None:
        """Take out the relay whose probe was answered; None if it was no relayed probe."""
        return self._relays.pop(own_sequence, None)
