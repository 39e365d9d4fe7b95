"""Loading of models and adapters into an engine, through the weight store where there is one."""

from __future__ import annotations

from http import HTTPStatus
from urllib.parse import quote

import msgspec

from yokeline.effects import Address, HttpRequest, HttpResponse
from yokeline.emulator.engine.registry import LoadedModel, ModelRegistry
from yokeline.emulator.engine_protocol import WeightsBody
from yokeline.emulator.settings import EngineSettings
from yokeline.emulator.stand_in import Answer, StandIn

_DEFAULT_RETRY_SECONDS = 1.0


class WeightLoader:
    """Carries out the loads that orders start."""

    def __init__(
        self, stand_in: StandIn, registry: ModelRegistry, settings: EngineSettings
    ) -> None:
        """Create a loader that uses the timers and requests of ``stand_in``."""
        self._stand_in = stand_in
        self._registry = registry
        self._settings = settings

    def begin(self, loading: LoadedModel) -> None:
        """Begin a load; the registry learns of its end."""
        if self._settings.weights:
            self._fetch(loading, self._settings.weights_retries)
            return
        parameters = self._settings.parameters
        seconds = parameters.model_load_seconds
        if loading.adapter:
            seconds = parameters.adapter_load_seconds
        self._finish_after(loading, seconds)

    def _fetch(self, loading: LoadedModel, retries_left: int) -> None:
        host, _, port = self._settings.weights.rpartition(":")
        request = HttpRequest(
            request=self._stand_in.new_request_id(),
            address=Address(host, int(port)),
            method="GET",
            path=f"/v1/weights/{quote(loading.name, safe='')}",
            timeout=self._settings.weights_timeout_seconds,
            allow_retry=True,
        )
        self._stand_in.send_http(
            request, lambda answer: self._fetched(loading, retries_left, answer)
        )

    def _fetched(self, loading: LoadedModel, retries_left: int, answer: Answer) -> None:
        if isinstance(answer, HttpResponse) and answer.status == HTTPStatus.OK:
            weights = msgspec.json.decode(answer.body, type=WeightsBody)
            parameters = self._settings.parameters
            self._finish_after(loading, weights.bytes / parameters.weight_bytes_per_second)
        elif retries_left:
            pause = _retry_after(answer)
            again = self._stand_in.now + pause
            self._stand_in.call_at(again, lambda: self._fetch(loading, retries_left - 1))
        else:
            self._registry.transition_to_absent(loading)
            self._stand_in.log("load_failed", name=loading.name)

    def _finish_after(self, loading: LoadedModel, seconds: float) -> None:
        end = self._stand_in.now + seconds / self._settings.parameters.time_scale
        self._stand_in.call_at(end, lambda: self._finish(loading))

    def _finish(self, loading: LoadedModel) -> None:
        if self._registry.transition_to_ready(loading):
            self._stand_in.log("loaded", name=loading.name, version=loading.version)


def _retry_after(answer: Answer) -> float:
    if isinstance(answer, HttpResponse):
        text = answer.headers.get("retry-after", "")
        if text.replace(".", "", 1).isdecimal():
            return max(float(text), _DEFAULT_RETRY_SECONDS)
    return _DEFAULT_RETRY_SECONDS
