"""The command line: ``yokeline COMMAND``.

Exit codes of all commands: 0 ok, 1 failure, 2 wrong usage or settings. An error is one line
on standard error that names its kind and the remedy.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Mapping

import defopt

from yokeline import __version__
from yokeline.commands import (
    cluster,
    configuration,
    emulate,
    experiment,
    explain,
    node,
    recover,
    runs,
    simulate,
)
from yokeline.errors import EXIT_FAILURE, EXIT_USAGE, ErrorKind, YokelineError, YokelineException

PROGRAM = "yokeline"
DESCRIPTION = (
    "A scheduler for agent programs. "
    "config and run have commands of their own, see yokeline config --help. "
    "Exit codes: 0 ok, 1 failure, 2 wrong usage or settings. "
    "Commands towards a node take --url and --token (or YOKELINE_URL and YOKELINE_TOKEN)."
)
REPEATED_FLAGS = ("--set", "--label", "--shard")
"""Flags that may be given several times, each with one value."""

Command = Callable[..., int]
Commands = Mapping[str, "Command | Commands"]

COMMANDS: Commands = {
    "node": node.node,
    "emulate": emulate.emulate,
    "experiment": experiment.experiment,
    "config": {
        "get": configuration.get,
        "put": configuration.put,
        "delete": configuration.delete,
        "diff": configuration.diff,
        "check": configuration.check,
        "explain": configuration.explain,
    },
    "run": {
        "start": runs.start,
        "show": runs.show,
        "watch": runs.watch,
        "cancel": runs.cancel,
        "list": runs.listing,
    },
    "nodes": cluster.nodes,
    "shards": cluster.shards,
    "engines": cluster.engines,
    "drain": cluster.drain,
    "explain": explain.explain,
    "recover": recover.recover,
    "simulate": simulate.simulate,
}
"""Each new command has its module in ``yokeline.commands`` and one line here."""


def main(arguments: list[str] | None = None) -> int:
    """Run a command and return its exit code.

    Args:
        arguments: Command line without the program's name; ``sys.argv`` by default.
    """
    given = sys.argv[1:] if arguments is None else arguments
    try:
        return int(
            defopt.run(
                COMMANDS,
                argv=gather_repeated(given),
                short={},
                show_defaults=False,
                show_types=False,
                no_negated_flags=True,
                version=__version__,
                argparse_kwargs={"prog": PROGRAM, "description": DESCRIPTION},
            )
        )
    except YokelineException as error:
        print(error.error.line(), file=sys.stderr)
        return exit_code_of(error.error)
    except KeyboardInterrupt:
        return EXIT_FAILURE
    except BrokenPipeError:
        return EXIT_FAILURE
    except SystemExit as stop:
        return stop.code if isinstance(stop.code, int) else EXIT_FAILURE


def exit_code_of(error: YokelineError) -> int:
    """Return the exit code of an error."""
    return EXIT_USAGE if error.kind is ErrorKind.BAD_SETTING else EXIT_FAILURE


def gather_repeated(arguments: list[str]) -> list[str]:
    """Move the values of flags that may be repeated behind one flag each, at the end.

    The parser keeps only the last of several equal flags, and lets one flag take all words
    that follow it.
    """
    rest: list[str] = []
    values: dict[str, list[str]] = {}
    position = 0
    while position < len(arguments):
        word = arguments[position]
        flag, separator, value = word.partition("=")
        if flag in REPEATED_FLAGS and separator:
            values.setdefault(flag, []).append(value)
        elif word in REPEATED_FLAGS and position + 1 < len(arguments):
            position += 1
            values.setdefault(word, []).append(arguments[position])
        else:
            rest.append(word)
        position += 1
    for flag, found in values.items():
        rest.extend([flag, *found])
    return rest


if __name__ == "__main__":
    sys.exit(main())
