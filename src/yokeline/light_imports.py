"""Defers imports of the libraries that a role's start does not use.

A process is started again all day, and its imports are the larger part of a start. Libraries import
modules for features that a role never uses (process pools, command lines, JSON schemas). Such a
module is replaced by a :class:`DeferredModule`, which is executed in place when something reads an
attribute of it that is not set yet; until then it costs neither processor time nor memory.
"""

from __future__ import annotations

import importlib
import importlib.util
import os
import sys
from _thread import RLock
from importlib.machinery import ModuleSpec, PathFinder
from types import ModuleType

from yokeline import light_inspect, light_logging

DEFERRED_MODULES = (
    # Imported by absl.flags: help texts, help in XML, copies of flags.
    "csv",
    "shutil",
    "textwrap",
    "xml",
    "xml.dom",
    "xml.dom.minidom",
    "importlib.resources",
    # Roles write their lines by light_logging; absl.logging limits the rate of some warnings.
    "absl",
    "absl.logging",
    # Imported by absl.logging: files of its own.
    "getpass",
    "tempfile",
    "timeit",
    # Imported by circuits: all parts of its packages, and processes. Roles import the parts of
    # circuits that they use.
    "circuits",
    "circuits.core",
    "multiprocessing.reduction",
    # Imported by dataclasses: copies of instances.
    "copy",
    # Imported by inspect, logging and traceback: source code.
    "inspect",
    "linecache",
    "tokenize",
    # Imported by msgspec: type information for schemas.
    "msgspec.inspect",
    # Imported by socket: sending files.
    "selectors",
    # Imported by returns and msgspec, which need names that typing has too.
    "typing_extensions",
    # Imported by uuid: name of the operating system.
    "platform",
    # Used when the first key, engine or unusual answer comes.
    "hashlib",
    "hmac",
    "http",
    "ipaddress",
)
"""Modules that a start leaves out; a package comes before its modules."""

_PACKAGES = (
    "absl",
    "absl.logging",
    "circuits",
    "circuits.core",
    "http",
    "importlib.resources",
    "xml",
    "xml.dom",
)
"""Deferred packages with submodules that are imported; their folders are found then."""

_NOT_EXECUTED_FOR = ("__path__", "__file__", "__warningregistry__")
"""Attributes that the import system and ``warnings`` look for in every module."""

_LOCK = RLock()
_executing: set[str] = set()


class DeferredModule(ModuleType):
    """A module that is found and executed when an attribute is read that it does not have yet.

    Other modules hold the same object before and after. Submodules can be imported without
    executing a deferred package.
    """

    def __init__(self, name: str) -> None:
        """Stand for the module ``name``."""
        super().__init__(name)
        self.__spec__ = ModuleSpec(name, None)

    def __getattr__(self, name: str) -> object:
        """Execute the module and return its attribute."""
        if name == "__path__" and self.__name__ in _PACKAGES:
            self.__path__ = _spec_of(self.__name__).submodule_search_locations or []
            return self.__path__
        if name not in _NOT_EXECUTED_FOR:
            execute(self)
        if type(self) is DeferredModule:
            raise AttributeError(f"module {self.__name__!r} has no attribute {name!r}")
        return getattr(self, name)


class DeferredClass:
    """Stands for a class of a deferred module in annotations; a call makes an instance."""

    def __init__(self, module: DeferredModule, name: str) -> None:
        """Stand for the class ``name`` of ``module``."""
        self._module = module
        self._name = name

    def __call__(self, *arguments: object, **named: object) -> object:
        """Execute the module and call its class."""
        execute(self._module)
        return getattr(self._module, self._name)(*arguments, **named)


def execute(module: ModuleType) -> None:
    """Execute a deferred module once; a second thread waits, a circular import does not."""
    with _LOCK:
        if type(module) is not DeferredModule or module.__name__ in _executing:
            return
        _executing.add(module.__name__)
        try:
            spec = _spec_of(module.__name__)
            vars(module).update(vars(importlib.util.module_from_spec(spec)))
            assert spec.loader is not None
            spec.loader.exec_module(module)
            module.__class__ = ModuleType  # type: ignore[assignment]
            if module.__name__ == "absl.logging":
                light_logging.set_executed_verbosity()
        finally:
            _executing.discard(module.__name__)


def _spec_of(name: str) -> ModuleSpec:
    """Find a module.

    Raises:
        ModuleNotFoundError: There is none.
    """
    parent = name.rpartition(".")[0]
    path = importlib.import_module(parent).__path__ if parent else None
    spec = PathFinder.find_spec(name, path)
    if spec is None or spec.loader is None:
        raise ModuleNotFoundError(f"No module named {name!r}", name=name)
    return spec


def defer_imports(names: tuple[str, ...] = DEFERRED_MODULES) -> None:
    """Replace modules that are not imported yet by deferred ones.

    A name that does not exist is reported by ModuleNotFoundError when it is used, not when it is
    imported: to look for all of them took 4 ms of a start.
    """
    for name in names:
        if name in sys.modules:
            continue
        module = DeferredModule(name)
        _provide(module)
        sys.modules[name] = module
        parent, _, child = name.rpartition(".")
        if parent in sys.modules:
            setattr(sys.modules[parent], child, module)


def _provide(module: DeferredModule) -> None:
    """Set the attributes that importers read during a start; executing replaces them."""
    provided: dict[str, object] = {}
    match module.__name__:
        case "absl.logging":
            provided = light_logging.provided()
        case "inspect":
            provided = {
                "FrameInfo": DeferredClass(module, "FrameInfo"),
                "getfullargspec": light_inspect.getfullargspec,
                "getmembers": light_inspect.getmembers,
                "isfunction": light_inspect.isfunction,
                "ismethod": light_inspect.ismethod,
            }
        case "platform":
            provided = {"system": _system_name}
        case "typing_extensions":
            import typing

            provided = {name: getattr(typing, name) for name in _TYPING_NAMES}
        case "xml.dom.minidom":
            provided = {name: DeferredClass(module, name) for name in ("Document", "Element")}
    vars(module).update(provided)


class _InspectOfDataclasses:
    """The module ``inspect`` as ``dataclasses`` sees it, without signatures."""

    @staticmethod
    def signature(value: object) -> object:
        """Raise ValueError, which ``dataclasses`` expects and takes as an empty signature."""
        raise ValueError(f"the signature of {value!r} is not determined")

    def __getattr__(self, name: str) -> object:
        """Return an attribute of the real module."""
        return getattr(importlib.import_module("inspect"), name)


def omit_dataclass_signatures() -> None:
    """Leave the signature out of the doc strings that ``dataclasses`` makes.

    A class of h11 has no doc string; its signature alone would execute ``inspect``.
    """
    import dataclasses

    vars(dataclasses)["inspect"] = _InspectOfDataclasses()


_TYPING_NAMES = (
    "Literal",
    "NotRequired",
    "ParamSpec",
    "Required",
    "TypeVarTuple",
    "TypedDict",
    "get_type_hints",
)


def _system_name() -> str:
    """Return the name of the operating system, as ``platform.system`` does."""
    return os.uname().sysname
