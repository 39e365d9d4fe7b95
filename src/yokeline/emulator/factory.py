"""Creation of a stand-in by its kind, for the command line and experiments."""

from __future__ import annotations

import random

from yokeline.effects import Service
from yokeline.emulator.app_service import AppService
from yokeline.emulator.engine_service import EngineService
from yokeline.emulator.machines_service import MachinesService
from yokeline.emulator.settings import (
    SETTINGS_TYPES,
    AppSettings,
    EngineSettings,
    MachinesSettings,
    StandInKind,
    StandInSettings,
    StoreSettings,
    ToolSettings,
    WeightsSettings,
)
from yokeline.emulator.store_service import StoreService
from yokeline.emulator.tool_service import ToolService
from yokeline.emulator.weights_service import WeightsService


def build_stand_in(
    kind: StandInKind, settings: StandInSettings | None, source: random.Random
) -> Service:
    """Return a stand-in.

    Args:
        kind: What to stand in for.
        settings: Its settings, of the type that belongs to the kind; None for the defaults.
        source: The stand-in's only source of chance.

    Raises:
        TypeError: The settings are those of another kind.
    """
    settings = settings if settings is not None else SETTINGS_TYPES[kind]()
    if not isinstance(settings, SETTINGS_TYPES[kind]):
        raise TypeError(f"{type(settings).__name__} are not the settings of {kind.value}")
    match settings:
        case EngineSettings():
            return EngineService(settings, source)
        case ToolSettings():
            return ToolService(settings, source)
        case AppSettings():
            return AppService(settings, source)
        case StoreSettings():
            return StoreService(settings, source)
        case MachinesSettings():
            return MachinesService(settings, source)
        case WeightsSettings():
            return WeightsService(settings, source)
