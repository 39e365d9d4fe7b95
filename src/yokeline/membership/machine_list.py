"""Reader of the platform's machine list (Prometheus HTTP service discovery JSON).

The list lags and may be wrong or missing: it is a hint about leaving machines and new
engines, and never proof that a machine is gone.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from yokeline.addresses import parse_address
from yokeline.effects import HttpRequest, HttpResponse
from yokeline.server.context import HTTP_OK, HttpAnswer, NodeContext
from yokeline.settings import Settings

STATE_LABEL = "yokeline_state"
LEAVING = "leaving"
MAX_MACHINES = 100_000
"""A longer list is taken for garbage."""


class TargetGroup(msgspec.Struct, frozen=True):
    """One entry of the list: targets that share labels."""

    targets: tuple[str, ...]
    labels: dict[str, str] = {}


class Machine(msgspec.Struct, frozen=True, kw_only=True):
    """A machine (or service on it) in the list."""

    address: str
    labels: dict[str, str]

    @property
    def leaving(self) -> bool:
        """Return whether the platform says that it is leaving."""
        return self.labels.get(STATE_LABEL) == LEAVING


class MachineListReader:
    """Reads the list periodically and keeps the last good answer.

    Attributes:
        on_change: Called when a good answer differs from the one before.
    """

    def __init__(self, context: NodeContext, settings: Settings) -> None:
        """Create a reader; without a machine list in the settings it stays idle."""
        self.on_change: list[Callable[[], None]] = []
        self._context = context
        self._settings = settings.platform
        self._machines: tuple[Machine, ...] = ()
        self._read_at: float | None = None
        self._next_read = context.now
        self._waiting = False

    def machines(self) -> tuple[Machine, ...]:
        """Return the machines of the last good answer, in the list's order."""
        return self._machines

    def leaving(self) -> frozenset[str]:
        """Return the addresses (``ip:port``) that are marked as leaving."""
        return frozenset(machine.address for machine in self._machines if machine.leaving)

    def age(self) -> float | None:
        """Return the seconds since the last good answer, None before the first."""
        return None if self._read_at is None else self._context.now - self._read_at

    def tick(self) -> None:
        """Read the list if it is time."""
        deadline = self.next_deadline()
        if deadline is None or self._context.now < deadline:
            return
        self._waiting = True
        period = self._settings.machine_list_period_seconds
        self._next_read = self._context.now + period * self._context.random.uniform(0.9, 1.1)
        request = HttpRequest(
            request=self._context.new_request_id(),
            address=parse_address(self._settings.machine_list).unwrap(),
            method="GET",
            path=self._settings.machine_list_path,
            timeout=period,
            allow_retry=True,
        )
        self._context.send_http(request, self._receive)

    def next_deadline(self) -> float | None:
        """Return when the next reading is due."""
        if not self._settings.machine_list or self._waiting:
            return None
        return self._next_read

    def _receive(self, answer: HttpAnswer) -> None:
        self._waiting = False
        machines = None
        if isinstance(answer, HttpResponse) and answer.status == HTTP_OK:
            machines = _parse(answer.body)
        if machines is None:
            self._context.counters["yokeline_machine_list_failures_total"] += 1
            return
        changed = machines != self._machines
        self._machines = machines
        self._read_at = self._context.now
        if changed:
            for listener in self.on_change:
                listener()


def _parse(body: bytes) -> tuple[Machine, ...] | None:
    try:
        groups = msgspec.json.decode(body, type=tuple[TargetGroup, ...])
    except msgspec.DecodeError:
        return None
    machines = tuple(
        Machine(address=target, labels=group.labels) for group in groups for target in group.targets
    )
    return machines if len(machines) <= MAX_MACHINES else None
