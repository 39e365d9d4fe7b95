"""The flags that all commands towards a node have in common."""

from __future__ import annotations

import functools
import inspect
import os
from collections.abc import Callable
from typing import Any

import msgspec

from yokeline.commands.client import Client
from yokeline.commands.output import Output

DEFAULT_URL = "http://127.0.0.1:7800"
URL_VARIABLE = "YOKELINE_URL"
TOKEN_VARIABLE = "YOKELINE_TOKEN"
SESSION = "session"
"""The command's first parameter, which is made from the flags."""

FLAGS = (
    inspect.Parameter("url", inspect.Parameter.KEYWORD_ONLY, default="", annotation=str),
    inspect.Parameter("token", inspect.Parameter.KEYWORD_ONLY, default="", annotation=str),
    inspect.Parameter("json", inspect.Parameter.KEYWORD_ONLY, default=False, annotation=bool),
)
FLAG_DOCUMENTATION = f"""
        url: HTTP address of any node; YOKELINE_URL if left out, else {DEFAULT_URL}.
        token: Bearer token; YOKELINE_TOKEN if left out (better: flags show in process lists).
        json: Write JSON for programs instead of text for people.
"""


class Session(msgspec.Struct, frozen=True):
    """What a command works with: the node to ask, and where the result goes."""

    client: Client
    output: Output


def connected(command: Callable[..., int]) -> Callable[..., int]:
    """Turn ``command(session, ...)`` into one with ``--url``, ``--token``, ``--json``.

    The flags are added to the signature and to the ``Args`` section of the docstring, which
    must come last in it, since that is where defopt finds flags and help.
    """

    @functools.wraps(command)
    def with_flags(
        *arguments: Any,
        url: str = "",
        token: str = "",
        json: bool = False,
        **options: Any,
    ) -> int:
        client = Client(
            url or os.environ.get(URL_VARIABLE) or DEFAULT_URL,
            token or os.environ.get(TOKEN_VARIABLE, ""),
        )
        session = Session(client, Output(as_json=json))
        return command(session, *arguments, **options)

    signature = inspect.signature(command, eval_str=True)
    own = list(signature.parameters.values())[1:]
    parameters = [*own, *FLAGS]
    wrapper: Any = with_flags
    wrapper.__signature__ = signature.replace(parameters=parameters)
    wrapper.__annotations__ = {item.name: item.annotation for item in parameters} | {"return": int}
    wrapper.__doc__ = _documented(inspect.getdoc(command) or "")
    del wrapper.__wrapped__
    return with_flags


def _documented(text: str) -> str:
    head, _, arguments = text.partition("Args:\n")
    kept = [line for line in arguments.rstrip().splitlines() if f" {SESSION}: " not in line]
    flags = inspect.cleandoc(FLAG_DOCUMENTATION).splitlines()
    lines = [*kept, *[f"    {line}" for line in flags]]
    return head.rstrip() + "\n\nArgs:\n" + "\n".join(lines) + "\n"
