"""The command that brings shards back which lost their majority."""

from __future__ import annotations

import datetime
from collections.abc import Sequence
from typing import Any

import msgspec

from yokeline.commands.client import Client, path_of
from yokeline.commands.connection import Session, connected
from yokeline.errors import EXIT_FAILURE, EXIT_OK, YokelineError, YokelineException

Row = dict[str, Any]
GONE_STATES = frozenset({"dead"})
DAMAGED = "damaged"
SHARD_COLUMNS = ("shard", "node", "source", "last_term", "last_index", "runs", "active", "latest")
RESULT_COLUMNS = ("shard", "recovered", "node", "last_term", "last_index")
RISKS = (
    "Before --confirm: wait for every node that may come back, and make sure that the missing "
    "processes are gone and not only cut off: a cut-off majority goes on by itself and would "
    "run requests a second time until the cut heals.",
    "Runs and calls after a copy's last entry are lost: answers already given for them cannot "
    "be read again. Runs under way in it end as outcome_unknown; nothing is sent twice.",
    "For --doubt-seconds (default: as long as keys are remembered) a new request at the shard "
    "that may not run twice is answered outcome_unknown, since it may be one that was lost.",
)


class _Answers(msgspec.Struct):
    """What the nodes told.

    Attributes:
        copies: Rows of ``/admin/v1/recovery``, each with the ``url`` of its node.
        shards: Rows of ``/admin/v1/shards`` of all nodes.
        silent: Nodes that gave no answer, with the reason.
    """

    copies: list[Row]
    shards: list[Row]
    silent: list[Row]


class _Plan(msgspec.Struct):
    """What can be done for one shard.

    Attributes:
        refusal: Why it cannot be recovered; empty if it can.
        chosen: The most advanced copy.
        seen_term: Highest term that any node has told.
    """

    shard: int
    copies: list[Row]
    refusal: str
    chosen: Row | None
    seen_term: int


@connected
def recover(
    session: Session,
    *,
    shard: list[int] | None = None,
    confirm: bool = False,
    doubt_seconds: float | None = None,
) -> int:
    """Bring back shards that lost their majority, from what single nodes still hold.

    Without --confirm it only lists, for each lost shard, which node holds what (in memory or
    in its data folder), which copy is the most advanced, and what starting from it may lose.
    With --confirm each shard is started anew from its most advanced copy.

    Args:
        session: The node to ask, and where the result goes.
        shard: A shard; once per shard. All shards that lost their majority if left out.
        confirm: Do it. What the copies lack is lost for good.
        doubt_seconds: Time for which new requests that may be lost ones are not sent.
    """
    answers = _ask_all(session.client)
    plans = [_plan(number, answers) for number in _selected(shard, answers)]
    if not confirm:
        _show(session, plans, answers)
        return EXIT_OK
    results = [_carry_out(session, plan, doubt_seconds) for plan in plans]
    session.output.rows(results, () if session.output.as_json else RESULT_COLUMNS)
    for row in results:
        lost = f"; lost: {row['may_lose']}" if row["recovered"] else ""
        session.output.note(f"shard {row['shard']}: {row['detail']}{lost}")
    _note_silent(session, answers)
    return EXIT_OK if all(row["recovered"] for row in results) else EXIT_FAILURE


# ---------------------------------------------------------------- asking


def _ask_all(client: Client) -> _Answers:
    """Ask all nodes that the asked one knows as not dead."""
    answers = _Answers([], [], [])
    for node in client.pages("/admin/v1/nodes", "items", {}):
        if node["state"] in GONE_STATES:
            continue
        url = f"http://{node['http_address']}"
        peer = client.towards(url)
        try:
            copies = list(peer.pages("/admin/v1/recovery", "items", {}))
            answers.shards += peer.pages("/admin/v1/shards", "items", {})
        except YokelineException as error:
            answers.silent.append({"node": node["name"], "reason": error.error.line()})
            continue
        answers.copies += [{**row, "url": url} for row in copies]
    return answers


def _selected(asked: Sequence[int] | None, answers: _Answers) -> list[int]:
    if asked:
        return sorted(set(asked))
    lost = {row["shard"] for row in answers.shards if row["state"] == "majority_lost"}
    return sorted(lost)


# ---------------------------------------------------------------- deciding


def _plan(shard: int, answers: _Answers) -> _Plan:
    rows = [row for row in answers.shards if row["shard"] == shard]
    copies = [row for row in answers.copies if row["shard"] == shard]
    usable = [row for row in copies if row["source"] != DAMAGED]
    return _Plan(
        shard=shard,
        copies=sorted(copies, key=_position, reverse=True),
        refusal=_refusal(rows, usable),
        chosen=max(usable, key=_position, default=None),
        seen_term=max((row["term"] for row in rows), default=0),
    )


def _position(row: Row) -> tuple[int, int, str]:
    """Return how advanced a copy is; the node's name only makes the choice definite."""
    return (row["last_term"], row["last_index"], row["node"])


def _refusal(rows: Sequence[Row], usable: Sequence[Row]) -> str:
    if not rows:
        return "there is no such shard"
    served = [row for row in rows if row["state"] in ("leading", "following")]
    if served:
        return "a node still has a leader for it"
    if not any(row["state"] == "majority_lost" for row in rows):
        return "no node says that its majority is lost; a node that has just started says so later"
    if not usable:
        return "no node that answers holds a copy that can be used"
    return ""


def _may_lose(chosen: Row) -> str:
    when = _time(chosen["latest_wall"])
    return (
        f"anything acknowledged after entry {chosen['last_index']} of term "
        f"{chosen['last_term']}; the latest change in the copy is of {when}"
    )


def _time(wall: float) -> str:
    if not wall:
        return "no known time"
    return datetime.datetime.fromtimestamp(wall, datetime.UTC).isoformat(timespec="milliseconds")


# ---------------------------------------------------------------- acting


def _carry_out(session: Session, plan: _Plan, doubt_seconds: float | None) -> Row:
    if plan.refusal or plan.chosen is None:
        return _result(plan, recovered=False, detail=plan.refusal)
    body = {
        "last_term": plan.chosen["last_term"],
        "last_index": plan.chosen["last_index"],
        "seen_term": plan.seen_term,
        "doubt_seconds": doubt_seconds,
    }
    path = path_of("admin", "v1", "shards", str(plan.shard), "recover")
    try:
        client = session.client.towards(plan.chosen["url"])
        reply = client.ask("POST", path, body=msgspec.json.encode(body)).json()
    except YokelineException as error:
        return _result(plan, recovered=False, detail=_with_pause(error.error))
    return _result(plan, recovered=True, detail=f"started with term {reply['term']}")


def _with_pause(error: YokelineError) -> str:
    if error.retry_after is None:
        return error.line()
    return f"{error.line()}; retry after {error.retry_after:.0f} s"


def _result(plan: _Plan, *, recovered: bool, detail: str) -> Row:
    chosen = plan.chosen or {}
    return {
        "shard": plan.shard,
        "recovered": recovered,
        "node": chosen.get("node"),
        "last_term": chosen.get("last_term"),
        "last_index": chosen.get("last_index"),
        "may_lose": _may_lose(chosen) if chosen else None,
        "detail": detail,
    }


# ---------------------------------------------------------------- showing


def _show(session: Session, plans: Sequence[_Plan], answers: _Answers) -> None:
    if session.output.as_json:
        session.output.value(
            {
                "shards": [_plan_value(plan) for plan in plans],
                "silent": answers.silent,
                "risks": RISKS,
            }
        )
        return
    rows = [row for plan in plans for row in plan.copies]
    shown = [{**row, "latest": _time(row["latest_wall"])} for row in rows]
    session.output.rows(shown, SHARD_COLUMNS)
    for plan in plans:
        session.output.note(_line(plan))
    for row in rows:
        if row["problem"]:
            session.output.note(f"shard {row['shard']} at {row['node']}: {row['problem']}")
    _note_silent(session, answers)
    for risk in RISKS if any(not plan.refusal for plan in plans) else ():
        session.output.note(risk)


def _plan_value(plan: _Plan) -> Row:
    may_lose = _may_lose(plan.chosen) if plan.chosen else None
    return {**msgspec.to_builtins(plan), "may_lose": may_lose}


def _line(plan: _Plan) -> str:
    if plan.refusal or plan.chosen is None:
        return f"shard {plan.shard} cannot be recovered: {plan.refusal}"
    chosen = plan.chosen
    return (
        f"shard {plan.shard} would start from {chosen['node']} ({chosen['source']}); "
        f"it may lose {_may_lose(chosen)}"
    )


def _note_silent(session: Session, answers: _Answers) -> None:
    for row in answers.silent:
        session.output.note(
            f"{row['node']} gave no answer, so what it holds is not counted: {row['reason']}"
        )
