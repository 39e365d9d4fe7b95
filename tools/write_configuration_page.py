"""Writes docs/CONFIGURATION.md: ``python -m tools.write_configuration_page``.

The tables come from the types and docstrings of the settings and configuration objects.
"""

from __future__ import annotations

from pathlib import Path

from yokeline.settings_docs import render_configuration_page

PAGE = Path(__file__).resolve().parent.parent / "docs" / "CONFIGURATION.md"

INTRODUCTION = """\
# Configuration

The tables below are generated from the code by `python -m tools.write_configuration_page`.

**Settings** say how one node runs: one TOML file per node, one table per section, read at its
start. `yokeline node FILE --set SECTION.KEY=VALUE` overrides a value; `yokeline node FILE --check`
checks all of them and prints one line per problem, with file, key, what is allowed and the remedy.
Units are in the names.

**Configuration objects** say what the service does. They live in the key-value service, are written
through the admin API or `yokeline config put FILE`, and are in force on all nodes within seconds.
`yokeline config check FILE` checks a file without a node; `yokeline config diff FILE` shows what
would change; `yokeline config explain PROGRAM` says which policies apply to a program and where
it may run. A file has one array per kind, see `examples/demo/objects.toml`.

Names: a tenant's programs, tools, apps and policies are its own; two tenants may use one name. A
tool or app without a tenant is shared, and a tenant's own goes before a shared one of that name.

Selectors have the syntax of Kubernetes, with requirements joined by commas, all of which must hold:
`key=value`, `key!=value`, `key in (a,b)`, `key notin (a,b)`, `key`, `!key`. `!=` and `notin` also
match where the key is absent. The empty selector matches everything.

Conflicts between policies: the policies whose `program_selector` matches are applied in order, a
tenant's own first, then the platform's, in ascending `(order, name)` within each group. A later one
overrides the fields that it sets. Engine selectors add up: an engine pool must match all of them.
A run keeps what was resolved when it was created.

Concurrent writers: a write without `If-Match` only makes new objects. To replace or delete one,
send `If-Match` with the revision (`ETag`) that was read; if the object has changed since, the
answer is 412 and nothing is written. `If-Match: *` replaces whatever is there.
`yokeline config put` reads, sends the precondition, and tries again when it lost a race.

"""


def page() -> str:
    """Return the whole page."""
    return INTRODUCTION + render_configuration_page()


def main() -> None:
    """Write the page."""
    PAGE.write_text(page(), encoding="utf-8")


if __name__ == "__main__":
    main()
