"""The platform's machine list as Prometheus HTTP service discovery, behind the truth."""

from __future__ import annotations

import random
from collections import deque
from http import HTTPStatus

import msgspec

from yokeline.effects import HttpArrived
from yokeline.emulator.routing import PathParameters, empty_reply, json_reply
from yokeline.emulator.settings import Machine, MachinesSettings, MachineState
from yokeline.emulator.stand_in import StandIn, add_health_route

STATE_LABEL = "yokeline_state"


class TargetGroup(msgspec.Struct, frozen=True, kw_only=True):
    """A group of targets in the discovery format of Prometheus."""

    targets: tuple[str, ...]
    labels: dict[str, str]


class _Version(msgspec.Struct, frozen=True):
    since: float
    machines: tuple[Machine, ...]


class MachinesService(StandIn):
    """A machine list whose readers see it as it was some seconds ago."""

    def __init__(self, settings: MachinesSettings, source: random.Random) -> None:
        """Create a list with the machines of the settings."""
        super().__init__(settings.name, source)
        self._settings = settings
        self._versions = deque([_Version(float("-inf"), settings.machines)])
        add_health_route(self)
        self.router.add("GET", settings.path, self._read)
        self.router.add("PUT", "/emulator/machines", self._replace)

    @property
    def machines(self) -> tuple[Machine, ...]:
        """Return the machines as they truly are."""
        return self._versions[-1].machines

    def set_machines(self, machines: tuple[Machine, ...], now: float) -> None:
        """Replace the list; readers see it after the lag."""
        self._versions.append(_Version(now, machines))

    def set_state(self, address: str, state: MachineState, now: float) -> None:
        """Change the state of one machine."""
        changed = tuple(
            msgspec.structs.replace(machine, state=state) if machine.address == address else machine
            for machine in self.machines
        )
        self.set_machines(changed, now)

    def visible(self, now: float) -> tuple[Machine, ...]:
        """Return the list that readers see at ``now``."""
        shown = now - self._settings.lag_seconds
        while len(self._versions) > 1 and self._versions[1].since <= shown:
            self._versions.popleft()
        return self._versions[0].machines

    def _read(self, request: HttpArrived, _: PathParameters) -> None:
        groups = [
            TargetGroup(
                targets=(machine.address,),
                labels={**machine.labels, STATE_LABEL: machine.state.value},
            )
            for machine in self.visible(self.now)
        ]
        self.emit(json_reply(request.exchange, HTTPStatus.OK, groups))

    def _replace(self, request: HttpArrived, _: PathParameters) -> None:
        machines = msgspec.json.decode(request.body, type=tuple[Machine, ...])
        self.set_machines(machines, self.now)
        self.emit(empty_reply(request.exchange))
