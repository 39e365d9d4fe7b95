"""Resolves the configured back end of a tool or app call and selects one of its addresses."""

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
    """A configured tool or app, which accepts requests with an idempotency key.

    Attributes:
        timeout: Time limit of a request in seconds.
        repeatable: Whether a request may be sent more than once.
        lookup: How the back end reports the outcome of earlier requests.
    """

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
    """Return the back end of a call, or a ``NOT_FOUND`` failure if none is configured."""
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
    target: Target, failed_backend: str, leaving: LeavingPredicate, source: random.Random
) -> Address | None:
    """Choose a random address that is not leaving, avoiding the failed one if possible.

    Args:
        target: The back end.
        failed_backend: ``name/ip:port`` of the previous attempt; empty if there is none.
        leaving: Returns whether an address receives no new work.
        source: Source of randomness.

    Returns:
        The address, or None if all addresses are leaving.
    """
    available = [address for address in target.addresses if not leaving(address)]
    if not available:
        return None
    others = [
        address for address in available if backend_name(target.name, address) != failed_backend
    ]
    return source.choice(others or available)


def backend_name(name: str, address: Address) -> str:
    """Return the back end name stored in a call record: ``name/ip:port``."""
    return f"{name}/{address}"


def address_of_backend(backend: str) -> Address | None:
    """Return the address in a back end name, or None if it has no valid address."""
    return parse_address(backend.rpartition("/")[2]).value_or(None)
