"""Commands about the nodes of a deployment."""

from __future__ import annotations

import time

from yokeline.commands.connection import Session, connected
from yokeline.errors import EXIT_FAILURE, EXIT_OK, ErrorKind, YokelineException

POLL_SECONDS = 0.5
GONE = frozenset({ErrorKind.UNAVAILABLE, ErrorKind.OUTCOME_UNKNOWN})


@connected
def nodes(session: Session) -> int:
    """List the nodes, as the asked one sees them.

    Args:
        session: The node to ask, and where the result goes.
    """
    return _list(session, "/admin/v1/nodes")


@connected
def shards(session: Session) -> int:
    """List the shards and their leaders.

    Args:
        session: The node to ask, and where the result goes.
    """
    return _list(session, "/admin/v1/shards")


@connected
def engines(session: Session) -> int:
    """List the model engines and their load.

    Args:
        session: The node to ask, and where the result goes.
    """
    return _list(session, "/admin/v1/engines")


@connected
def drain(session: Session, *, wait: float = 0.0) -> int:
    """Begin a planned stop of the node at --url.

    The node hands its shards over, finishes the requests under way and exits.

    Args:
        session: The node to ask, and where the result goes.
        wait: Seconds to wait until the node has gone; exit code 1 if it has not by then.
    """
    started = session.client.ask("POST", "/admin/v1/drain").json()
    if wait <= 0:
        session.output.value(started)
        return EXIT_OK
    end = time.monotonic() + wait
    while time.monotonic() < end:
        try:
            session.client.request("GET", "/healthz")
        except YokelineException as error:
            if error.error.kind not in GONE:
                raise
            session.output.value({**started, "gone": True})
            return EXIT_OK
        time.sleep(POLL_SECONDS)
    session.output.note(f"the node {started['node']} has not gone within {wait:g} seconds")
    return EXIT_FAILURE


def _list(session: Session, path: str) -> int:
    session.output.rows(session.client.pages(path, "items", {}))
    return EXIT_OK
