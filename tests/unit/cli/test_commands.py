"""Commands towards a node, over loopback HTTP."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from returns.result import Failure, Success

from tests.unit.cli.support import ApiServer, CommandResult, answer_writes, apply_write
from tests.unit.gateway.support import CALLER, OPERATOR, PLATFORM, Bench, run_of
from tests.unit.gateway.test_event_stream import finished, started, text
from yokeline.commands import configuration, runs
from yokeline.errors import ErrorKind, Execution, YokelineError
from yokeline.runs.model import RunStatus
from yokeline.shards.operations import ListRuns, RunList, RunResult, StartRun, WatchRun
from yokeline.store.history import OperationStatus

OBJECTS = """
[[programs]]
name = "talk"
tenant = "dallim"
model = "small-1"
conversation = true

[[programs]]
name = "check"
tenant = "dallim"
model = "small-1"

[[engine_pools]]
name = "south"
addresses = ["127.0.0.1:9301"]
models = ["small-1"]
"""
RUN = "run-" + "d" * 32
LATE = YokelineError(kind=ErrorKind.DEADLINE_EXCEEDED, message="late", remedy="ask earlier")


class CommandCase(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench()
        self.script = lambda: None
        self.server = ApiServer(self.bench, lambda: self.script())
        self.addCleanup(self.server.close)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "objects.toml"
        self.file.write_text(OBJECTS)
        for module in (runs, configuration):
            patch = mock.patch.object(module.time, "sleep", lambda seconds: None)
            patch.start()
            self.addCleanup(patch.stop)

    def run_command(self, *arguments: str, token: str = CALLER) -> CommandResult:
        return CommandResult([*arguments, "--url", self.server.url, "--token", token])


class ConfigurationCommandTest(CommandCase):
    def test_put_writes_what_differs_and_nothing_twice(self) -> None:
        self.script = lambda: answer_writes(self.bench)
        file = str(self.file)
        differs = self.run_command("config", "diff", file, "--json", token=PLATFORM)
        changed = {row["object"] for row in json.loads(differs.out)}
        self.assertEqual({"programs/dallim/check", "engine-pools/south"}, changed)
        for results in (["unchanged", "created", "created"], ["unchanged"] * 3):
            found = self.run_command("config", "put", file, "--json", token=PLATFORM)
            self.assertEqual(0, found.code, found.err)
            self.assertEqual(results, [row["result"] for row in json.loads(found.out)])
        self.file.write_text(OBJECTS.replace('"small-1"\nconversation', '"big-1"\nconversation'))
        found = self.run_command("config", "put", file, token=PLATFORM)
        self.assertIn("updated", found.out)
        self.assertIn("warning: programs/dallim/talk", found.err)
        shown = self.run_command(
            "config", "get", "programs", "talk", "--tenant", "dallim", "--json", token=PLATFORM
        )
        self.assertEqual("big-1", json.loads(shown.out)["model"])
        listed = self.run_command("config", "get", "programs", token=OPERATOR)
        self.assertIn("dallim/check", listed.out)
        deleted = self.run_command("config", "delete", "programs", "talk", token=OPERATOR)
        self.assertEqual(0, deleted.code, deleted.err)
        gone = self.run_command("config", "get", "programs", "talk", token=OPERATOR)
        self.assertEqual((1, 1), (gone.code, gone.err.count("\n")))

    def test_an_unknown_outcome_is_resolved_or_told(self) -> None:
        unknown = YokelineError(
            kind=ErrorKind.OUTCOME_UNKNOWN,
            message="lost",
            remedy="ask",
            execution=Execution.UNKNOWN,
        )

        def script() -> None:
            for write in self.bench.writer.writes:
                if self.applied:
                    apply_write(self.bench, write)
                write.done(Failure(unknown))
            self.bench.writer.writes.clear()
            if hasattr(self.bench.writer, "resolving"):
                status = OperationStatus(operation="", applied=None)
                self.bench.writer.resolving(Success(status))
                del self.bench.writer.resolving

        self.script = script
        for self.applied, code in ((False, 1), (True, 0)):
            found = self.run_command("config", "put", str(self.file), token=PLATFORM)
            self.assertEqual(code, found.code)
            self.assertEqual(code, found.err.count("outcome_unknown"))

    def test_explain_shows_policies_and_pools(self) -> None:
        found = self.run_command("config", "explain", "post", token=OPERATOR)
        self.assertIn("posts", found.out)

    def test_check_is_offline_and_names_every_problem(self) -> None:
        self.assertEqual(0, CommandResult(["config", "check", str(self.file)]).code)
        self.file.write_text(
            OBJECTS + '[[tools]]\nname = "a b"\naddresses = ["x"]\n[[nopes]]\nname = "x"\n'
        )
        found = CommandResult(["config", "check", str(self.file)])
        self.assertEqual(2, found.code)
        self.assertEqual(3, found.err.count("objects.toml"), found.err)
        self.file.write_text("[[programs")
        self.assertEqual(2, CommandResult(["config", "check", str(self.file)]).code)
        self.assertEqual([], self.server.requests)


class RunCommandTest(CommandCase):
    def serve_runs(self, status: RunStatus = RunStatus.SUCCEEDED) -> None:
        for asked in self.bench.router.asked:
            operation = asked.operation
            if isinstance(operation, WatchRun):
                self.serve_events(asked.on_events)
                self.bench.advance(10_000)
            else:
                asked.done(Success(self.result(operation, status)))
        self.bench.router.asked.clear()

    def result(self, operation: object, status: RunStatus) -> object:
        if isinstance(operation, ListRuns):
            return RunList(runs=())
        error = LATE if status is RunStatus.FAILED else None
        return RunResult(run=run_of(operation, status, answer="hello", error=error))  # type: ignore[arg-type]

    def serve_events(self, on_events: object) -> None:
        self.watches += 1
        if self.watches == 1:
            on_events((started(1), text(1, 3, "abc")))  # type: ignore[operator]
        else:
            on_events((started(1), text(1, 5, "abcde"), finished(1, 6, "abcde")))  # type: ignore[operator]

    def test_start_shows_the_answer_and_sends_labels_and_key(self) -> None:
        seen: list[StartRun] = []

        def script() -> None:
            seen.extend(a.operation for a in self.bench.router.asked)  # type: ignore[misc]
            self.serve_runs()

        self.script = script
        found = self.run_command(
            "run",
            "start",
            "post",
            '{"bib": 7}',
            "--key",
            "k",
            "--label",
            "a=b",
            "--label",
            "c=d",
            "--json",
        )
        self.assertEqual((0, "hello"), (found.code, json.loads(found.out)["answer"]))
        spec = seen[0].spec
        self.assertEqual(
            ("k", "b", "d"), (spec.idempotency_key, spec.labels["a"], spec.labels["c"])
        )
        self.assertEqual('{"bib": 7}', seen[0].input)
        people = self.run_command("run", "start", "post", "plain text")
        self.assertIn("hello", people.out)

    def test_a_failed_run_is_exit_code_1_and_one_error_line(self) -> None:
        self.script = lambda: self.serve_runs(RunStatus.FAILED)
        found = self.run_command("run", "show", RUN)
        self.assertEqual(
            (1, "deadline_exceeded: late; ask earlier"), (found.code, found.err.splitlines()[-1])
        )
        self.assertEqual(0, self.run_command("run", "cancel", RUN).code)
        self.assertEqual(0, self.run_command("run", "list").code)

    def test_watch_takes_a_broken_stream_up_again(self) -> None:
        self.watches = 0
        self.script = self.serve_runs
        found = self.run_command("run", "watch", RUN)
        self.assertEqual((0, 2), (found.code, self.watches), found.err)
        self.assertEqual(["abc", "de"], [line for line in found.out.splitlines() if line[0] != "["])
        self.watches = 1
        found = self.run_command("run", "watch", RUN, "--json")
        self.assertEqual("finished", json.loads(found.out.splitlines()[-1])["event"])

    def test_errors_of_usage_and_of_the_connection(self) -> None:
        cases = (
            (["run", "start", "post", "@/nonexistent"], 2),
            (["run", "start", "post", "x", "--label", "nope"], 2),
            (["run", "show", RUN, "--url", "ftp://x"], 2),
            (["run", "show", RUN, "--url", "http://127.0.0.1:1"], 1),
        )
        for arguments, code in cases:
            with self.subTest(str(arguments)):
                found = CommandResult([*arguments])
                self.assertEqual((code, 1), (found.code, found.err.count("\n")), found.err)
