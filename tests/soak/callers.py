"""Callers of the soak: corrections, programs with a budget, and lines of turns that are kept."""

from __future__ import annotations

import http.client
import random
import threading
import time

from tests.processes.platform.deployment import Deployment, TenantKeys
from tests.processes.platform.raw_callers import ask_raw
from tests.soak.records import MOST_TOKENS, OK, STREAM, Asked, Records
from tests.soak.tenants import FORGED_FIELDS
from tests.soak.versions import versions_in, without_marks

BUDGET = 200
TURNS_PER_PROGRAM = 6
PAUSE_SECONDS = 0.05
LONGEST_PAUSE_SECONDS = 0.4
ANSWER_SECONDS = 8
FORGED_SHARE = 0.5
"""Share of requests with fields that callers are not to set."""
FOLLOWED_SHARE = 0.5
"""Share of turns that broke off which a caller names as the one that is continued."""
THEFT_SHARE = 0.3
"""Share of lines of turns after which a caller names a turn of another tenant."""


class Caller:
    """One thread that asks until it is told to stop."""

    def __init__(
        self, name: str, deployment: Deployment, records: Records, seed: int, tenant: TenantKeys
    ) -> None:
        """Prepare; ``seed`` decides what is asked, with the keys of ``tenant``."""
        self._name = name
        self._seed = seed
        self._tenant = tenant
        # Apart from the choice of what is asked, so that earlier seeds ask as they did.
        self._forger = random.Random(f"{seed}/{name}/forged")
        self._follower = random.Random(f"{seed}/{name}/broken")
        self._deployment = deployment
        self._records = records
        self._random = random.Random(f"{seed}/{name}")
        self._connections: dict[int, http.client.HTTPConnection] = {}
        self._stop = threading.Event()
        self._count = 0
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to ask."""
        self._thread.start()

    def stop(self) -> None:
        """Ask nothing new, and wait for the last answer."""
        self._stop.set()
        self._thread.join(4 * ANSWER_SECONDS)

    def _run(self) -> None:
        while not self._stop.is_set():
            actions = (self._correct, self._look_up, self._run_program, self._keep_line)
            self._random.choice(actions)()
        for edge in list(self._connections):
            self._drop_connection(edge)

    def _correct(self) -> None:
        self._ask("/fix/x", {})

    def _look_up(self) -> None:
        self._ask("/look/x", {})

    def _run_program(self) -> None:
        """Run a program without end; its budget must stop it."""
        program = f"{self._name}-p{self._count}"
        path = self._random.choice(("/turn/x", "/pair/x"))
        for _ in range(TURNS_PER_PROGRAM):
            if self._stop.is_set():
                return
            self._ask(path, self._turn_fields(program), program)

    def _keep_line(self) -> None:
        """Take turns that each continue the last one that was answered whole."""
        program = f"{self._name}-k{self._count}"
        previous = ""
        for _ in range(TURNS_PER_PROGRAM):
            if self._stop.is_set():
                return
            fields = self._turn_fields(program)
            if previous:
                fields["X-Yokeline-Previous-Turn"] = previous
            asked = self._ask("/kept/x", fields, program, previous)
            if asked.status == OK and asked.is_whole and asked.body == STREAM:
                previous = asked.request_id
                self._records.note_kept(asked)
            elif asked.status == OK and self._follower.random() < FOLLOWED_SHARE:
                self._follow_broken_turn(asked)
        if self._forger.random() < THEFT_SHARE:
            self._continue_foreign_turn()

    def _follow_broken_turn(self, broken: Asked) -> None:
        """Continue a turn that broke off; it is unknown, or was whole until it left its node."""
        fields = self._turn_fields(broken.program)
        fields["X-Yokeline-Previous-Turn"] = broken.request_id
        self._ask("/kept/x", fields, broken.program, broken.request_id, follows_broken=True)

    def _continue_foreign_turn(self) -> None:
        """Name a turn of another tenant as the one that is continued; it must not be found."""
        foreign = self._records.kept_of_others(self._tenant.name)
        if foreign:
            stolen = self._forger.choice(foreign)
            fields = self._turn_fields(stolen.program)
            fields["X-Yokeline-Previous-Turn"] = stolen.request_id
            self._ask("/kept/x", fields, stolen.program, stolen.request_id, is_theft=True)

    def _turn_fields(self, program: str) -> dict[str, str]:
        return {
            "X-Yokeline-Program-Id": program,
            "X-Yokeline-Session-Id": program,
            "X-Yokeline-Token-Budget": str(BUDGET),
            "X-Yokeline-Token-Usage": f"100,{MOST_TOKENS}",
        }

    def _ask(
        self,
        path: str,
        fields: dict[str, str],
        program: str = "",
        previous: str = "",
        *,
        is_theft: bool = False,
        follows_broken: bool = False,
    ) -> Asked:
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        edge = self._random.randrange(len(self._deployment.fronts))
        key = self._forger.choice(self._tenant.keys)
        forged = FORGED_FIELDS if self._forger.random() < FORGED_SHARE else {}
        sent_at = time.monotonic()
        status, marked, is_whole = self._exchange(
            edge, path, request_id, {**forged, **fields, "Authorization": f"Bearer {key}"}
        )
        asked = Asked(
            request_id=request_id,
            path=path,
            status=status,
            body=without_marks(marked),
            versions=versions_in(marked),
            is_whole=is_whole,
            program=program,
            budget=BUDGET,
            previous=previous,
            tenant=self._tenant.name,
            key=key,
            sent_at=sent_at,
            is_theft=is_theft,
            follows_broken=follows_broken,
        )
        self._records.add(asked)
        self._rest(status)
        return asked

    def _rest(self, status: int | None) -> None:
        longest = PAUSE_SECONDS if status == OK else LONGEST_PAUSE_SECONDS
        self._stop.wait(self._random.uniform(0.0, longest))

    def _exchange(
        self, edge: int, path: str, request_id: str, fields: dict[str, str]
    ) -> tuple[int | None, bytes, bool]:
        """Return status, body as far as it came, and whether it came whole."""
        connection = self._connection(edge)
        headers = {
            "Host": "a.example",
            "X-Yokeline-Request-Id": request_id,
            "X-Yokeline-Deadline-Ms": "5000",
            **fields,
        }
        status: int | None = None
        try:
            connection.request("POST", path, body=f"input-{request_id}", headers=headers)
            response = connection.getresponse()
            status = response.status
            return status, self._read(response), True
        except http.client.IncompleteRead as error:
            self._drop_connection(edge)
            return status, error.partial, False
        except (OSError, http.client.HTTPException):
            self._drop_connection(edge)
            return status, b"", False

    def _read(self, response: http.client.HTTPResponse) -> bytes:
        return response.read()

    def _connection(self, edge: int) -> http.client.HTTPConnection:
        """Return the open connection to an edge, which is used until the edge ends it."""
        if edge not in self._connections:
            port = self._deployment.fronts[edge]
            self._connections[edge] = http.client.HTTPConnection(
                "127.0.0.1", port, timeout=ANSWER_SECONDS
            )
        return self._connections[edge]

    def _drop_connection(self, edge: int) -> None:
        self._connections.pop(edge).close()


class CallerWithoutChunks(Caller):
    """One that speaks HTTP/1.0 and judges by the bytes whether an answer is whole."""

    def _exchange(
        self, edge: int, path: str, request_id: str, fields: dict[str, str]
    ) -> tuple[int | None, bytes, bool]:
        port = self._deployment.fronts[edge]
        try:
            answer = ask_raw(port, path, request_id, fields, version="1.0")
        except OSError:
            return None, b"", False
        return answer.status, answer.body, answer.looks_whole
