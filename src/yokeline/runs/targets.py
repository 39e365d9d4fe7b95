"""Where a tool or app call goes: the configured back end and one of its addresses."""

from __future__ import annotations

import random

import msgspec
from returns.result import Failure, Result, Success

from yokeline.addresses import parse_address
from yokeline.effects import Address
from yokeline.errors import YokelineError
from yokeline.labels.objects import App, Lookup, Tool
from yokeline.runs.errors import not_configured
from yokeline.runs.model import CallKind, Run
from yokeline.runs.ports import Configuration, LeavingPredicate


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """A back end that takes requests under an idempotency key."""

    kind: CallKind
    name: str
    addresses: tuple[Address, ...]
    path: str
    timeout: float
    repeatable: bool
    lookup: Lookup


def target_of(
    configuration: Configuration, run: Run, kind: CallKind, name: str
) -> Result[Target, YokelineError]:
    """Return the configured back end of a call, or a failure if there is none."""
    tenant = run.spec.tenant
    if kind is CallKind.APP:
        app = configuration.app(tenant, name)
        return _target(kind, name, app, run.spec.repeatable)
    tool = configuration.tool(tenant, name)
    return _target(kind, name, tool, tool.repeatable if tool is not None else False)


def _target(
    kind: CallKind, name: str, found: Tool | App | None, repeatable: bool
) -> Result[Target, YokelineError]:
    if found is None:
        return Failure(not_configured(kind.value, name))
    parsed = (parse_address(text).value_or(None) for text in found.addresses)
    addresses = tuple(address for address in parsed if address is not None)
    if not addresses:
        return Failure(not_configured(kind.value, name))
    target = Target(
        kind=kind,
        name=name,
        addresses=addresses,
        path=found.path,
        timeout=found.timeout_seconds,
        repeatable=repeatable,
        lookup=found.lookup,
    )
    return Success(target)


def choose_address(
    target: Target, failed: str, leaving: LeavingPredicate, source: random.Random
) -> Address | None:
    """Choose an address: none that is leaving, and another than the one that failed.

    Args:
        target: The back end.
        failed: ``name/ip:port`` of the attempt before, empty for none.
        leaving: Tells which addresses get no new work.
        source: Source of randomness, which spreads the load.

    Returns:
        The address, None if all are leaving.
    """
    staying = [address for address in target.addresses if not leaving(address)]
    if not staying:
        return None
    others = [address for address in staying if backend_name(target.name, address) != failed]
    return source.choice(others or staying)


def backend_name(name: str, address: Address) -> str:
    """Return how a call's record names its back end: ``name/ip:port``."""
    return f"{name}/{address}"


def address_of_backend(backend: str) -> Address | None:
    """Return the address inside a record's back end name."""
    return parse_address(backend.rpartition("/")[2]).value_or(None)
