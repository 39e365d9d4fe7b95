"""Surges of the soak: programs of one tenant that come at once, fan out, and read slowly."""

from __future__ import annotations

import http.client
import time

from tests.processes.platform.deployment import Deployment, TenantKeys
from tests.soak.callers import Caller
from tests.soak.records import Records

LINES_OF_TURNS = 6
"""Callers that take turns of one program at once, as its sub-agents do."""
SURGE_PERIOD_SECONDS = 3.0
REQUESTS_IN_SURGE = 12
"""Of one caller in a surge, without a pause: together many times the tenant's limit."""
READ_BYTES = 16
READ_PAUSE_SECONDS = 0.005


class SurgeCaller(Caller):
    """One line of turns of the programs that come in surges."""

    def _run(self) -> None:
        began = time.monotonic()
        surge = 0
        while not self._stop.is_set():
            surge += 1
            program = f"surge-{self._seed}-{surge}"
            for number in range(REQUESTS_IN_SURGE):
                if self._stop.is_set():
                    break
                path = "/look/x" if number % 3 == 2 else "/turn/x"
                fields = self._turn_fields(program) if path == "/turn/x" else {}
                self._ask(path, fields, program if fields else "")
            next_surge = began + surge * SURGE_PERIOD_SECONDS
            self._stop.wait(max(0.0, next_surge - time.monotonic()))
        for edge in list(self._connections):
            self._drop_connection(edge)

    def _rest(self, status: int | None) -> None:
        """Ask again at once."""

    def _read(self, response: http.client.HTTPResponse) -> bytes:
        """Read a little at a time."""
        pieces = []
        while piece := response.read(READ_BYTES):
            pieces.append(piece)
            time.sleep(READ_PAUSE_SECONDS)
        return b"".join(pieces)


def surge_callers(
    deployment: Deployment, records: Records, seed: int, tenant: TenantKeys
) -> list[SurgeCaller]:
    """Return the callers of the programs of one tenant that come in surges."""
    return [
        SurgeCaller(f"s{number}", deployment, records, seed, tenant)
        for number in range(LINES_OF_TURNS)
    ]
