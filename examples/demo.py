"""The demo: stand-ins and five nodes as separate processes, used as a caller would.

``make demo`` runs this. It starts the processes of ``examples/Procfile`` with honcho, loads the
example configuration through the admin API, sends an agent run and a posting that may not be
repeated, prints what came of them, and stops all processes.
"""

from __future__ import annotations

import http.client
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
YOKELINE = str(ROOT / ".venv" / "bin" / "yokeline")
HONCHO = str(ROOT / ".venv" / "bin" / "honcho")
NODE_PORTS = (17801, 17802, 17803, 17804, 17805)
STAND_IN_PORTS = (17379, 17380, 17401, 17402, 17403, 17501, 17601)
HOST = "127.0.0.1"
PLATFORM_TOKEN = "demo-platform-token"
TENANT_TOKEN = "demo-dallim-token"
READY_SECONDS = 60.0
STOP_SECONDS = 90.0
POLL_SECONDS = 0.2
TABLE_COLUMNS = 160

AGENT_INPUT = {
    "text": "Reconcile heat 3 of the spring 10 km.",
    "steps": [
        {"tool": "bib-lookup", "arguments": {"bib": "214"}},
        {"child": "club-roster", "input": "Check the roster of the Larch Hill club."},
        {"tool": "bib-lookup", "arguments": {"bib": "215"}},
    ],
    "answer_tokens": 40,
}
POSTING = {"operation": "post_finish", "race": "spring-10k", "bib": "214", "seconds": 2291}

BY_HAND = """
The same by hand:
  .venv/bin/honcho start -f examples/Procfile
  export YOKELINE_URL=http://127.0.0.1:17801
  YOKELINE_TOKEN=demo-platform-token .venv/bin/yokeline config put examples/demo/objects.toml
  curl -N -H 'Authorization: Bearer demo-dallim-token' -H 'Accept: text/event-stream' \\
       -H 'Idempotency-Key: my-first-run' -H 'Content-Type: application/json' \\
       -d '{"input": "Say something about the spring 10 km."}' \\
       http://127.0.0.1:17801/v1/programs/reconcile/runs
"""


def main() -> int:
    """Run the demo; return 0 if every step did what it should."""
    started = time.monotonic()
    log = ROOT / "var" / "demo.log"
    log.parent.mkdir(exist_ok=True)
    with log.open("wb") as output:
        processes = start_processes(output)
        try:
            wait_until_listening(STAND_IN_PORTS)
            wait_until_listening(NODE_PORTS)
            exit_code = use_the_service()
        finally:
            stop_processes(processes)
    stopped_cleanly = all_stopped_cleanly(log.read_text(errors="replace"))
    if not stopped_cleanly:
        print(f"some process did not stop cleanly, see {log}", file=sys.stderr)
        exit_code = 1
    print(f"\nDemo time: {time.monotonic() - started:.1f} s; logs: {log.relative_to(ROOT)}")
    print(BY_HAND)
    return exit_code


def start_processes(output: object) -> subprocess.Popen[bytes]:
    """Start the Procfile's processes in a session of their own."""
    command = [HONCHO, "start", "-f", "examples/Procfile", "--no-colour"]
    return subprocess.Popen(command, cwd=ROOT, stdout=output, stderr=output)  # type: ignore[call-overload, no-any-return]


def stop_processes(honcho: subprocess.Popen[bytes]) -> None:
    """Stop all processes in the planned way."""
    honcho.send_signal(signal.SIGTERM)
    try:
        honcho.wait(STOP_SECONDS)
    except subprocess.TimeoutExpired:
        honcho.kill()


def all_stopped_cleanly(log: str) -> bool:
    """Return whether honcho's log shows exit code 0 for each of its processes."""
    return log.count(" stopped (rc=0)") == len(NODE_PORTS) + len(STAND_IN_PORTS)


def wait_until_listening(ports: tuple[int, ...]) -> None:
    """Wait until something answers on each port."""
    deadline = time.monotonic() + READY_SECONDS
    for port in ports:
        while status_of(port, "/healthz") is None:
            if time.monotonic() > deadline:
                raise SystemExit(f"nothing answers on {HOST}:{port}; see var/demo.log")
            time.sleep(POLL_SECONDS)


def wait_until_ready() -> None:
    """Wait until every node says that it is ready for requests."""
    deadline = time.monotonic() + READY_SECONDS
    for port in NODE_PORTS:
        while status_of(port, "/readyz") != 200:
            if time.monotonic() > deadline:
                raise SystemExit(f"node at {HOST}:{port} is not ready; see var/demo.log")
            time.sleep(POLL_SECONDS)


def status_of(port: int, path: str) -> int | None:
    """Return the HTTP status of a GET; None if nothing answers."""
    connection = http.client.HTTPConnection(HOST, port, timeout=2.0)
    try:
        connection.request("GET", path)
        return connection.getresponse().status
    except OSError:
        return None
    finally:
        connection.close()


def use_the_service() -> int:
    """Load the configuration and send requests as a caller would."""
    print("1. Waiting for five nodes in three zones to be ready")
    wait_until_ready()
    print("2. Loading the configuration through the admin API")
    code = yokeline(["config", "put", "examples/demo/objects.toml"], PLATFORM_TOKEN)
    print("3. An agent run: several turns, two tool calls and a child run, streamed")
    code |= yokeline(
        ["run", "start", "reconcile", json.dumps(AGENT_INPUT), "--key", "demo-run", "--watch"],
        TENANT_TOKEN,
    )
    print("4. The same request again, at another node: the same run, not a second one")
    code |= yokeline(
        ["run", "start", "reconcile", json.dumps(AGENT_INPUT), "--key", "demo-run", "--wait"],
        TENANT_TOKEN,
        node=3,
    )
    print("5. A posting that may not be repeated, sent twice with one key: applied once")
    for node in (1, 4):
        code |= yokeline(
            ["run", "start", "post-finish", json.dumps(POSTING), "--key", "demo-post", "--wait"],
            TENANT_TOKEN,
            node=node,
        )
    print("6. The nodes and engines")
    code |= yokeline(["nodes"], PLATFORM_TOKEN)
    code |= yokeline(["engines"], PLATFORM_TOKEN)
    return code


def yokeline(arguments: list[str], token: str, node: int = 1) -> int:
    """Run a ``yokeline`` command against a node and show its output."""
    environment = {
        **os.environ,
        "YOKELINE_URL": f"http://{HOST}:{NODE_PORTS[node - 1]}",
        "YOKELINE_TOKEN": token,
        "COLUMNS": os.environ.get("COLUMNS", str(TABLE_COLUMNS)),
    }
    print(f"$ yokeline {' '.join(arguments)}", flush=True)
    finished = subprocess.run([YOKELINE, *arguments], cwd=ROOT, env=environment, check=False)
    return finished.returncode


if __name__ == "__main__":
    sys.exit(main())
