from __future__ import annotations

import email.utils
import inspect
import json
import os
import subprocess
import sys
import tempfile
import threading
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from circuits.core.components import BaseComponent
from circuits.core.handlers import handler

from yokeline import light_imports, light_inspect
from yokeline.light_imports import DeferredModule, defer_imports
from yokeline.node.http_heads import http_date
from yokeline.node.process import Application

PACKAGE = "deferred_example"


class Deferred(unittest.TestCase):
    """A module that a start does not use is executed at its first use, once."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        package = Path(folder.name) / PACKAGE
        package.mkdir()
        (package / "__init__.py").write_text("from .part import VALUE\nEXECUTED = True\n")
        (package / "part.py").write_text("COUNT = 0\nVALUE = 7\n")
        (package / "other.py").write_text("import time\ntime.sleep(0.05)\nVALUE = 8\n")
        sys.path.insert(0, folder.name)
        self.addCleanup(sys.path.remove, folder.name)
        self.addCleanup(self.forget)

    def forget(self) -> None:
        for name in [name for name in sys.modules if name.partition(".")[0] == PACKAGE]:
            del sys.modules[name]

    def test_an_import_does_not_execute_the_module(self) -> None:
        defer_imports((PACKAGE,))
        module = __import__(PACKAGE)
        self.assertIs(type(module), DeferredModule)
        self.assertNotIn("EXECUTED", vars(module))

    def test_an_attribute_executes_the_module_in_place(self) -> None:
        defer_imports((PACKAGE,))
        module = sys.modules[PACKAGE]
        self.assertTrue(module.EXECUTED)
        self.assertEqual(module.VALUE, 7)
        self.assertIs(sys.modules[PACKAGE], module)
        self.assertIsNot(type(module), DeferredModule)

    def test_a_submodule_is_imported_without_its_deferred_package(self) -> None:
        with mock.patch.object(light_imports, "_PACKAGES", (PACKAGE,)):
            defer_imports((PACKAGE,))
            part: Any = __import__(f"{PACKAGE}.part", fromlist=["VALUE"])
        self.assertEqual(part.VALUE, 7)
        self.assertIs(type(sys.modules[PACKAGE]), DeferredModule)

    def test_a_submodule_is_deferred_without_executing_its_package(self) -> None:
        defer_imports((f"{PACKAGE}.part",))
        self.assertNotIn(PACKAGE, sys.modules)
        self.assertIs(type(sys.modules[f"{PACKAGE}.part"]), DeferredModule)
        self.assertEqual(__import__(PACKAGE).VALUE, 7)

    def test_an_unknown_attribute_is_an_attribute_error(self) -> None:
        defer_imports((PACKAGE,))
        with self.assertRaises(AttributeError):
            _ = sys.modules[PACKAGE].unknown

    def test_an_imported_module_stays(self) -> None:
        module = __import__(PACKAGE)
        defer_imports((PACKAGE,))
        self.assertIs(sys.modules[PACKAGE], module)

    def test_a_module_that_does_not_exist_is_reported_when_it_is_used(self) -> None:
        name = f"{PACKAGE}.missing"
        defer_imports((name,))
        with self.assertRaises(ModuleNotFoundError):
            _ = sys.modules[name].VALUE

    def test_a_second_thread_waits_for_the_execution(self) -> None:
        defer_imports((f"{PACKAGE}.other",))
        module = sys.modules[f"{PACKAGE}.other"]
        values: list[int] = []
        threads = [threading.Thread(target=lambda: values.append(module.VALUE)) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(values, [8, 8, 8, 8])


class _Component(BaseComponent):
    class_value = 1

    @handler("one")
    def _on_one(self, event: Any, *values: int, **named: int) -> None:
        """Takes an event."""

    @handler("two")
    def _on_two(self, value: int, other: int = 2) -> None:
        """Takes values."""


class LightInspect(unittest.TestCase):
    """circuits must find the same handlers and arguments as with ``inspect`` itself."""

    def test_members_of_components_are_equal(self) -> None:
        for component in (_Component(), Application()):
            self.assertEqual(
                [name for name, _ in light_inspect.getmembers(component)],
                [name for name, _ in inspect.getmembers(component)],
            )
        self.assertEqual(
            light_inspect.getmembers(_Component, callable),
            inspect.getmembers(_Component, callable),
        )

    def test_arguments_are_equal(self) -> None:
        def keyword_only(first: int, /, second: int, *, third: int = 3) -> None: ...

        functions: list[Any] = [
            _Component._on_one,
            _Component._on_two,
            keyword_only,
            lambda: None,
            lambda *values: values,
            lambda **named: named,
            _Component()._on_one,
        ]
        for function in functions:
            self.assertEqual(
                tuple(light_inspect.getfullargspec(function)),
                tuple(inspect.getfullargspec(function)),
            )

    def test_kinds_of_values_are_equal(self) -> None:
        component = _Component()
        for value in (component._on_one, _Component._on_one, _Component, len, 1):
            self.assertEqual(light_inspect.isfunction(value), inspect.isfunction(value))
            self.assertEqual(light_inspect.ismethod(value), inspect.ismethod(value))


class Dates(unittest.TestCase):
    def test_dates_are_those_of_the_standard_library(self) -> None:
        for second in (0, 1, 951_827_696, 1_700_000_000, 1_735_689_599, 4_102_444_800):
            self.assertEqual(
                http_date(second).decode(), email.utils.formatdate(second, usegmt=True)
            )


DEFERRED_PROGRAM = """
import json, sys, yokeline.platform.__main__
import copy, hashlib, inspect, platform, typing_extensions, xml.dom.minidom
from yokeline.light_inspect import getmembers
document = xml.dom.minidom.Document()
print(json.dumps([
    type(document).__module__,
    hashlib.sha256(b"").hexdigest()[:8],
    str(inspect.signature(getmembers)),
    inspect.getmembers.__module__,
    platform.machine() != "",
    typing_extensions.deprecated.__module__,
    copy.deepcopy([1]),
]))
"""


class DeferredLibraries(unittest.TestCase):
    def test_deferred_libraries_work_when_they_are_used(self) -> None:
        ended = subprocess.run(
            [sys.executable, "-c", DEFERRED_PROGRAM],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
            env=dict(os.environ),
        )
        self.assertEqual(
            json.loads(ended.stdout),
            [
                "xml.dom.minidom",
                "e3b0c442",
                "(value, predicate=None)",
                "inspect",
                True,
                "typing_extensions",
                [1],
            ],
        )


LOG_PROGRAM = """
import sys
import yokeline.platform.__main__
import absl.logging
from yokeline.light_imports import DeferredModule
from yokeline.logs import set_up_role_logs

def is_deferred():
    return type(sys.modules["absl.logging"]) is DeferredModule

set_up_role_logs("warning")
absl.logging.info({"event": "low"})
absl.logging.warning({"event": "same", "number": 1})
before = is_deferred()
absl.logging.error("text %s", 5)
absl.logging.info({"event": "low"})
for _ in range(2):
    absl.logging.log_every_n_seconds(absl.logging.WARNING, {"event": "limited"}, 60)
absl.logging.warning({"event": "same", "number": 1})
print(before, is_deferred(), file=sys.stderr)
"""


class DeferredLogging(unittest.TestCase):
    def test_lines_are_the_same_before_and_after_absl_logging_is_executed(self) -> None:
        """Guards against lines that are lost, or written below the level of the role."""
        ended = subprocess.run(
            [sys.executable, "-c", LOG_PROGRAM],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        self.assertEqual(ended.stderr.split(), ["True", "False"])
        lines = [json.loads(line) for line in ended.stdout.splitlines()]
        for line in lines:
            del line["time"]
        self.assertEqual(
            lines,
            [
                {"level": "WARNING", "event": "same", "number": 1},
                {"level": "ERROR", "message": "text 5"},
                {"level": "WARNING", "event": "limited"},
                {"level": "WARNING", "event": "same", "number": 1},
            ],
        )
