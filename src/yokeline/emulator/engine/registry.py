"""Models and adapters of an engine, its role, and the fence of the orders to it."""

from __future__ import annotations

import enum

import msgspec
from returns.result import Failure, Result, Success

from yokeline.emulator.engine.parameters import EngineParameters
from yokeline.errors import ErrorKind, YokelineError


class OrderKind(enum.Enum):
    """What an engine can be told to do."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"


class EngineOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to an engine.

    Attributes:
        fence: Fencing token; an order with a lower one than seen before is refused.
        name: Model, adapter or role.
        version: Version of the model or adapter.
    """

    fence: int
    order: OrderKind
    name: str
    version: str = ""


class LoadedModel(msgspec.Struct, kw_only=True):
    """A model or adapter that is loaded or being loaded."""

    name: str
    version: str
    adapter: bool
    ready: bool


class ModelRegistry:
    """What is loaded in an engine, under fenced orders.

    Attributes:
        role: Role of the engine, as last ordered.
        fence: Highest fence seen in an order.
    """

    def __init__(self, parameters: EngineParameters) -> None:
        """Create a registry with the models that are loaded from the start."""
        self.role = "mixed"
        self.fence = 0
        self._parameters = parameters
        self._loaded = {
            name: LoadedModel(name=name, version="", adapter=False, ready=True)
            for name in parameters.models
        }

    def ready(self, name: str) -> bool:
        """Return whether calls for a model (or adapter) can run."""
        loaded = self._loaded.get(name)
        return loaded is not None and loaded.ready

    def ready_names(self) -> tuple[str, ...]:
        """Return the names that calls may use."""
        return tuple(name for name, loaded in self._loaded.items() if loaded.ready)

    def apply(self, order: EngineOrder) -> Result[LoadedModel | None, YokelineError]:
        """Take an order.

        Returns:
            The model or adapter whose load starts now, None where there is nothing to load.
        """
        if order.fence < self.fence:
            return Failure(_fenced(order, self.fence))
        self.fence = order.fence
        if order.order is OrderKind.SET_ROLE:
            self.role = order.name
            return Success(None)
        if order.order is OrderKind.UNLOAD_MODEL:
            self._loaded.pop(order.name, None)
            return Success(None)
        return self._transition_to_loading(order)

    def transition_to_ready(self, loading: LoadedModel) -> bool:
        """The load has ended; return False if it was overtaken by another order."""
        if self._loaded.get(loading.name) is not loading:
            return False
        loading.ready = True
        return True

    def transition_to_absent(self, loading: LoadedModel) -> None:
        """The load has failed."""
        if self._loaded.get(loading.name) is loading:
            del self._loaded[loading.name]

    def _transition_to_loading(
        self, order: EngineOrder
    ) -> Result[LoadedModel | None, YokelineError]:
        adapter = order.order is OrderKind.LOAD_ADAPTER
        present = self._loaded.get(order.name)
        if present is not None and present.version == order.version:
            return Success(None)
        limit = self._parameters.adapter_limit if adapter else self._parameters.model_limit
        alike = [
            loaded
            for loaded in self._loaded.values()
            if loaded.adapter == adapter and loaded.name != order.name
        ]
        if len(alike) >= limit:
            return Failure(_no_room(order))
        loading = LoadedModel(name=order.name, version=order.version, adapter=adapter, ready=False)
        self._loaded[order.name] = loading
        return Success(loading)


def _fenced(order: EngineOrder, fence: int) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.PRECONDITION_FAILED,
        message=f"fence {order.fence} is lower than {fence}",
        remedy="another leader gives the orders now: stop",
    )


def _no_room(order: EngineOrder) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.LIMIT_EXCEEDED,
        message=f"no room to load {order.name}",
        remedy="unload another model first",
    )
