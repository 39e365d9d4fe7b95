"""Inputs of the simulated requests: scripts for the emulated model, bodies for the apps."""

from __future__ import annotations

import random

import msgspec

ANSWER_WORDS = 30
_WORDS = ("bib", "club", "time", "row", "lot", "gate", "load", "crew", "list", "entry")


class Step(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One step of a script: a tool call, or a child run."""

    tool: str = ""
    arguments: dict[str, str | int] = {}
    child: str = ""
    input: str = ""


class ModelScript(msgspec.Struct, frozen=True, kw_only=True):
    """Input that tells the emulated model what to do (``emulator.engine.script``)."""

    steps: tuple[Step, ...]
    text: str


class AppBody(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Input of a request to an app (``emulator.app_operations``)."""

    operation: str
    race: str = ""
    bib: str = ""
    seconds: float = 0.0
    load: str = ""
    lot: str = ""
    kilograms: float = 0.0


def answer_text(marker: str, source: random.Random) -> str:
    """Return the answer that a script asks for; it names the request."""
    return " ".join([marker, *source.choices(_WORDS, k=ANSWER_WORDS)])


def tool_steps(marker: str, tools: tuple[str, ...]) -> tuple[Step, ...]:
    """Return one step per tool, in order; each tells its position."""
    return tuple(
        Step(tool=tool, arguments={"marker": marker, "step": number})
        for number, tool in enumerate(tools, start=1)
    )


def child_step(marker: str, child: str, answer: str) -> Step:
    """Return a step that runs a child program."""
    script = ModelScript(steps=(), text=answer)
    return Step(child=child, input=msgspec.json.encode(script).decode())


def encode_script(steps: tuple[Step, ...], text: str) -> str:
    """Return a script as the text of a user message."""
    return msgspec.json.encode(ModelScript(steps=steps, text=text)).decode()


def encode_app_body(operation: str, marker: str, entry: int) -> str:
    """Return the JSON body of a request to an app; the marker is in a field it records."""
    if operation == "post_finish":
        body = AppBody(operation=operation, race="race", bib=marker, seconds=float(entry))
    elif operation == "weigh_in_alert":
        body = AppBody(operation=operation, load=marker, lot="lot", kilograms=float(entry))
    else:
        body = AppBody(operation=operation, race=marker)
    return msgspec.json.encode(body).decode()
