from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import msgspec

LIST = Path(__file__).with_name("start_modules.txt")
"""Modules that a start may load: sections ``[both]``, ``[edge]`` and ``[storage]``."""

SHARED_WITH_EDGES = {
    "yokeline.consensus.messages",
    "yokeline.ledger.client",
    "yokeline.ledger.client_report",
    "yokeline.ledger.codec",
    "yokeline.ledger.history_fetches",
    "yokeline.ledger.leader_search",
    "yokeline.ledger.messages",
    "yokeline.ledger.operations",
    "yokeline.ledger.own_turns",
    "yokeline.ledger.regional_texts",
    "yokeline.ledger.response_times",
    "yokeline.ledger.text_copies",
}
"""Modules of the ledger's packages that forwarding nodes use: its client and its messages."""

PROGRAM = """
import sys
import yokeline.platform.__main__ as program
from yokeline.node.process import Application

RUN_SECONDS = 0.3
run = Application.run

def run_for_a_moment(application):
    application._timer.deadlines.call_after(RUN_SECONDS, application._end_loop)
    run(application)

Application.run = run_for_a_moment
program.main([sys.argv[1]])
loaded = [
    name
    for name, module in sys.modules.items()
    if module is not None and type(module).__name__ != "DeferredModule"
]
print(" ".join(loaded), file=sys.stderr)
"""


def allowed_modules(role: str) -> set[str]:
    """Return the modules that the list allows for a role."""
    sections: dict[str, set[str]] = {}
    section: set[str] = set()
    for line in LIST.read_text().split():
        if line.startswith("["):
            section = sections.setdefault(line.strip("[]"), set())
        else:
            section.add(line)
    return sections["both"] | sections[role]


class StartModules(unittest.TestCase):
    """Each import costs processor time at every start of a process and memory as long as it runs:

    a start that loads one more fails here, so that it is either deferred or listed on purpose.
    """

    loaded: dict[str, set[str]]

    @classmethod
    def setUpClass(cls) -> None:
        cls.loaded = {role: loaded_modules(role) for role in ("edge", "storage")}

    def assert_only_listed(self, role: str) -> None:
        unlisted = sorted(self.loaded[role] - allowed_modules(role))
        self.assertEqual(
            unlisted,
            [],
            f"the start of {role} loads modules that {LIST.name} does not list: import them where"
            f" they are used, add them to yokeline.light_imports, or list them",
        )

    def test_an_edge_loads_only_listed_modules(self) -> None:
        self.assert_only_listed("edge")

    def test_a_storage_node_loads_only_listed_modules(self) -> None:
        self.assert_only_listed("storage")

    def test_an_edge_loads_no_module_of_storage(self) -> None:
        of_storage = {
            name
            for name in self.loaded["edge"]
            if name.startswith(("yokeline.consensus.", "yokeline.ledger."))
        }
        self.assertEqual(sorted(of_storage - SHARED_WITH_EDGES), [])
        self.assertNotIn("yokeline.node.synced_files", self.loaded["edge"])

    def test_a_storage_node_loads_no_module_of_edges(self) -> None:
        of_edges = {
            name
            for name in self.loaded["storage"]
            if name.startswith("yokeline.forwarding")
            or name
            in (
                "yokeline.platform.configuration",
                "yokeline.platform.engine_entries",
                "yokeline.platform.headers",
            )
        }
        self.assertEqual(sorted(of_edges), [])

    def test_both_load_what_they_run(self) -> None:
        """Guards against a program that ends before the roles are built."""
        self.assertIn("yokeline.forwarding.edge_node", self.loaded["edge"])
        self.assertIn("yokeline.ledger.storage_node", self.loaded["storage"])


def loaded_modules(role: str) -> set[str]:
    """Start a role for a moment, without a key-value service; return the modules it executed."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.toml"
        fields: dict[str, object] = {
            "name": "node-1",
            "host": "127.0.0.1",
            "zone": "a",
            "region": "r",
            "peer_port": 0,
            "metrics_port": 0,
            "store": "127.0.0.1:1",
            "first_start": True,
        }
        if role == "edge":
            fields |= {"front": "127.0.0.1:0", "ready": "127.0.0.1:0"}
        else:
            fields["data_folder"] = str(Path(folder) / "data")
        lines = [f"{name} = {json.dumps(value)}" for name, value in fields.items()]
        path.write_text("\n".join(lines) + '\nzone_regions = { "a" = "r" }\n')
        source = Path(__file__).parents[3] / "src"
        libraries = Path(msgspec.__file__).parents[1]
        ended = subprocess.run(
            [sys.executable, "-S", "-c", PROGRAM, role],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
            env={
                "PATH": os.environ.get("PATH", ""),
                "PYTHONPATH": f"{source}{os.pathsep}{libraries}",
                "YOKELINE_NODE_FILE": str(path),
            },
        )
        return set(ended.stderr.splitlines()[-1].split())


def main() -> None:
    """Write the list anew from what the roles load now."""
    edge, storage = loaded_modules("edge"), loaded_modules("storage")
    parts = {"both": edge & storage, "edge": edge - storage, "storage": storage - edge}
    LIST.write_text(
        "".join(f"[{name}]\n" + "\n".join(sorted(part)) + "\n" for name, part in parts.items())
    )


if __name__ == "__main__":
    main()
