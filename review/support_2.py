"""What the cases of the second review share: a small deployment, a platform and a record.

The roles are started with the commands of the deploy file, as processes of their own. Everything
else is a stand-in in the process of the case: the project's own ones, served over loopback.
"""

from __future__ import annotations

import http.client
import os
import signal
import subprocess
import sys
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from types import FrameType

from tests.processes.child import ROOT
from tests.processes.cluster import HOST
from tests.processes.platform import deployment
from tests.processes.platform.deployment import CALLER_HOST, Deployment, RoleProcess

BROKEN, HELD, COULD_NOT_RUN = 3, 0, 2
"""Exit codes of a case; its run.sh turns the first into 1, with which Python ends at an error."""
LONGEST_SECONDS = 116
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 4194304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}
"""Limits as in the example of a configuration that ``fleetbench wire`` prints."""


class CaseTimeout(BaseException):
    """The time of a case is over, or it was asked to end."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def __call__(self, text: str) -> None:
        with self._lock:
            seconds = time.monotonic() - self._began
            self._file.write(f"{seconds:8.3f} {text}\n")
            self._file.flush()


class DeployedRole(RoleProcess):
    """A role that is started with the command of the deploy file."""

    def start(self, *, first_start: bool = True) -> None:
        if not first_start:
            text = self._settings.read_text()
            self._settings.write_text(text.replace("first_start = true", "first_start = false"))
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][self.role]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": "target/deps",
            "YOKELINE_NODE_FILE": str(self._settings),
        }
        with self._log.open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, *command["run"].split()[1:]],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )


class SmallDeployment(Deployment):
    """Three storage nodes and two edges, with the settings of condor-yokeline."""

    edge_memory_mb = 150
    storage_memory_mb = 160

    def region_settings(self, name: str) -> list[str]:
        """Return further lines of a node's settings."""
        is_edge = name.startswith("edge")
        memory = self.edge_memory_mb if is_edge else self.storage_memory_mb
        return [
            f"memory_mb = {memory}",
            f"max_descriptors = {4100 if is_edge else 8200}",
            f"link_mbps = {1000.0 if is_edge else 600.0}",
        ]

    def change_configuration(
        self, version: int, change: Callable[[dict[str, object]], None]
    ) -> None:
        """Put the usual configuration with limits in force, after a change."""
        import base64
        import json

        item = self.store.items["op/config"]
        document = json.loads(base64.b64decode(item["value"]))
        document["version"] = version
        document["limits"] = LIMITS
        change(document)
        self.store.put("op/config", document)


def send(
    port: int, path: str, request_id: str, body: bytes, **fields: str
) -> tuple[int | None, bytes]:
    """Send a request over a connection of its own; return the status, None if it was cut."""
    headers = {
        "Host": CALLER_HOST,
        "X-Yokeline-Request-Id": request_id,
        "X-Yokeline-Deadline-Ms": "5000",
        **{name.replace("_", "-"): value for name, value in fields.items()},
    }
    connection = http.client.HTTPConnection(HOST, port, timeout=10)
    try:
        connection.request("POST", path, body=body, headers=headers)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException) as error:
        return None, repr(error).encode()
    finally:
        connection.close()


def turn_fields(program: str, previous: str = "", *, finish_ms: int = 100_000) -> dict[str, str]:
    """Return the fields of a turn of an agent program with an ample budget."""
    fields = {
        "X_Yokeline_Program_Id": program,
        "X_Yokeline_Session_Id": f"{program}-line",
        "X_Yokeline_Finish_Ms": str(finish_ms),
        "X_Yokeline_Token_Budget": "1000000",
        "X_Yokeline_Token_Usage": "1000,500",
    }
    if previous:
        fields["X_Yokeline_Previous_Turn"] = previous
    return fields


def memory_mb(process: RoleProcess) -> float:
    """Return the anonymous memory of a process; less than all that the platform counts."""
    try:
        for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


def peak_mb(process: RoleProcess) -> int:
    """Return the most memory that a process has had resident."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) // 1024
    return 0


@contextmanager
def bounded() -> Iterator[None]:
    """Raise CaseTimeout before the time of a case is over, so that its processes are ended."""

    def expire(number: int, _frame: FrameType | None) -> None:
        raise CaseTimeout(f"signal {number}")

    signal.signal(signal.SIGALRM, expire)
    signal.signal(signal.SIGTERM, expire)
    signal.alarm(LONGEST_SECONDS)
    try:
        yield
    finally:
        signal.alarm(0)


def run_case(path: Path, play: Callable[[Record], bool]) -> int:
    """Play a case, which returns whether the rule held, with its record at ``path``."""
    deployment.RoleProcess = DeployedRole  # type: ignore[misc]
    record = Record(path)
    record("with the disruption" if HAS_TROUBLE else "without the disruption")
    try:
        with bounded():
            has_held = play(record)
    except (Exception, CaseTimeout) as error:  # whatever stopped the case, the rule was not judged
        record(f"could not run: {error!r}")
        return COULD_NOT_RUN
    record("the rule held" if has_held else "the rule is broken")
    return HELD if has_held else BROKEN
