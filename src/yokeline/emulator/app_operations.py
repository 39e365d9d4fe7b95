"""Operations of the emulated app engines: race results and picking records."""

from __future__ import annotations

import enum
from typing import Any

import msgspec


class AppOperation(enum.Enum):
    """What an app request may ask for."""

    POST_FINISH = "post_finish"
    CORRECT_ENTRY = "correct_entry"
    RESULT_LOOKUP = "result_lookup"
    WEIGH_IN_ALERT = "weigh_in_alert"
    TALLY_ENTRY = "tally_entry"
    TALLY_LOOKUP = "tally_lookup"
    LOT_QUERY = "lot_query"


class AppRequestBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an app request: the operation and the fields it uses.

    Attributes:
        race: Race, for finishes, corrections and results.
        bib: Runner's number.
        seconds: Finish time.
        name: Corrected name of a runner.
        load: Truck load, for weigh-in alerts.
        lot: Lot that a load or query is about.
        picker: Picker, for tallies.
        kilograms: Weight of a load or of a tally entry.
    """

    operation: AppOperation
    race: str = ""
    bib: str = ""
    seconds: float = 0.0
    name: str = ""
    load: str = ""
    lot: str = ""
    picker: str = ""
    kilograms: float = 0.0


class AppAnswer(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Body of an app's answer.

    Attributes:
        sequence: Number of the request among those applied by this app.
        result: What a lookup found.
    """

    sequence: int
    operation: AppOperation
    result: Any = None


class Finish(msgspec.Struct, kw_only=True):
    """A finish as it is on record."""

    bib: str
    seconds: float
    name: str = ""


class AppState:
    """Records of an app engine. Nothing is deduplicated: what comes twice counts twice.

    Attributes:
        finishes: By race, in order of posting.
        corrections: Applied corrections, in order.
        alerts: Weigh-in alerts, in order.
        tallies: Kilograms by picker.
    """

    def __init__(self) -> None:
        """Create empty records."""
        self.finishes: dict[str, list[Finish]] = {}
        self.corrections: list[AppRequestBody] = []
        self.alerts: list[AppRequestBody] = []
        self.tallies: dict[str, float] = {}
        self._sequence = 0

    def apply(self, body: AppRequestBody) -> AppAnswer:
        """Apply a request."""
        self._sequence += 1
        result: Any = None
        match body.operation:
            case AppOperation.POST_FINISH:
                result = self._post_finish(body)
            case AppOperation.CORRECT_ENTRY:
                result = self._correct_entry(body)
            case AppOperation.RESULT_LOOKUP:
                result = self._ranking(body.race)
            case AppOperation.WEIGH_IN_ALERT:
                self.alerts.append(body)
            case AppOperation.TALLY_ENTRY:
                self.tallies[body.picker] = self.tallies.get(body.picker, 0.0) + body.kilograms
            case AppOperation.TALLY_LOOKUP:
                result = self.tallies.get(body.picker, 0.0)
            case AppOperation.LOT_QUERY:
                result = [alert.load for alert in self.alerts if alert.lot == body.lot]
        return AppAnswer(sequence=self._sequence, operation=body.operation, result=result)

    def _post_finish(self, body: AppRequestBody) -> int:
        finishes = self.finishes.setdefault(body.race, [])
        finishes.append(Finish(bib=body.bib, seconds=body.seconds, name=body.name))
        return 1 + sum(1 for finish in finishes if finish.seconds < body.seconds)

    def _correct_entry(self, body: AppRequestBody) -> int:
        self.corrections.append(body)
        changed = 0
        for finish in self.finishes.get(body.race, []):
            if finish.bib == body.bib:
                finish.name = body.name
                changed += 1
        return changed

    def _ranking(self, race: str) -> list[str]:
        finishes = sorted(self.finishes.get(race, []), key=lambda finish: finish.seconds)
        return [finish.bib for finish in finishes]
