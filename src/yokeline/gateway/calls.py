"""One call of an API handler, and the parts of the gateway that handlers share."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec
from returns.result import Failure, Result

from yokeline.effects import HttpArrived
from yokeline.errors import YokelineError, YokelineException
from yokeline.gateway.authentication import Identity
from yokeline.gateway.exchange import Exchange, ExchangeTable
from yokeline.gateway.interfaces import AdminReader, ConfigurationReader, ConfigurationWriter
from yokeline.gateway.limits import Admission
from yokeline.server.context import NodeContext
from yokeline.settings import Settings
from yokeline.timers import TimerQueue

Value = TypeVar("Value")


class ApiCall(msgspec.Struct, frozen=True, kw_only=True):
    """A request that found its route and passed its access check.

    Attributes:
        arguments: The variable segments of the path, by their name in the route.
    """

    exchange: Exchange
    identity: Identity
    arguments: dict[str, str]

    @property
    def request(self) -> HttpArrived:
        """Return the request as it arrived."""
        return self.exchange.request


class GatewayParts(msgspec.Struct, frozen=True, kw_only=True):
    """What the handlers of one gateway share.

    Attributes:
        share: Part of a tenant's rate that this node lets through.
        stopping: Whether the node takes no new requests any more.
    """

    context: NodeContext
    settings: Settings
    table: ExchangeTable
    timers: TimerQueue
    configuration: ConfigurationReader
    writer: ConfigurationWriter
    admin: AdminReader
    admission: Admission
    share: Callable[[], float]
    stopping: Callable[[], bool]


def value_of(result: Result[Value, YokelineError]) -> Value:
    """Return the value of a result; handlers let the dispatcher answer a failure.

    Raises:
        YokelineException: With the error of a failure.
    """
    if isinstance(result, Failure):
        raise YokelineException(result.failure())
    return result.unwrap()
