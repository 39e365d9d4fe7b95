"""The functions of ``inspect`` that ``circuits`` uses, without an import of ``inspect``.

``inspect`` imports the syntax tree, the disassembler and the tokenizer. Results are equal to those
of ``inspect`` for what ``circuits`` passes: functions, methods and instances of components.
"""

from __future__ import annotations

import importlib
from collections import namedtuple
from types import FunctionType, MethodType

_OWN_SIGNATURE = ("__wrapped__", "__signature__", "_partialmethod")
_CO_VARARGS = 0x04
_CO_VARKEYWORDS = 0x08

FullArgSpec = namedtuple(  # noqa: PYI024 - the form of inspect
    "FullArgSpec", "args varargs varkw defaults kwonlyargs kwonlydefaults annotations"
)


def isfunction(value: object) -> bool:
    """Return whether a value is a function that is written in Python."""
    return isinstance(value, FunctionType)


def ismethod(value: object) -> bool:
    """Return whether a value is a bound method."""
    return isinstance(value, MethodType)


def getmembers(value, predicate=None):  # type: ignore[no-untyped-def]
    """Return the attributes of an instance by name, as ``inspect.getmembers`` does."""
    if isinstance(value, type):
        return _inspect_function("getmembers")(value, predicate)
    members = []
    for name in sorted(set(dir(value))):
        try:
            member = getattr(value, name)
        except AttributeError:
            continue
        if predicate is None or predicate(member):
            members.append((name, member))
    return members


def getfullargspec(function):  # type: ignore[no-untyped-def]
    """Return the arguments of a function, as ``inspect.getfullargspec`` does."""
    is_plain = type(function) is FunctionType and not any(
        name in vars(function) for name in _OWN_SIGNATURE
    )
    if not is_plain or function.__code__.co_kwonlyargcount:
        return _inspect_function("getfullargspec")(function)
    code = function.__code__
    rest = list(code.co_varnames[code.co_argcount :])
    variable = rest.pop(0) if code.co_flags & _CO_VARARGS else None
    keywords = rest.pop(0) if code.co_flags & _CO_VARKEYWORDS else None
    return FullArgSpec(
        list(code.co_varnames[: code.co_argcount]),
        variable,
        keywords,
        function.__defaults__,
        [],
        None,
        dict(function.__annotations__),
    )


def _inspect_function(name: str):  # type: ignore[no-untyped-def]
    """Return a function of the executed ``inspect``."""
    module = importlib.import_module("inspect")
    module.signature  # noqa: B018 - executes a deferred module
    return getattr(module, name)
