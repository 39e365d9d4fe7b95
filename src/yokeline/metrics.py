"""Metrics in the Prometheus text exposition format, by prometheus-client.

Counters live in ``NodeContext.counters`` under ``name`` or ``name{label="value"}``, so that
the cores need no metrics library; this module turns them into metric families. Names carry
their unit (``_seconds``, ``_bytes``, ``_tokens``) and counters end in ``_total``.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator, Mapping
from typing import TypeVar

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector, CollectorRegistry

from yokeline.histogram import DURATION_BUCKETS, Histogram
from yokeline.metric_help import METRIC_HELP

__all__ = ["DURATION_BUCKETS", "Histogram", "Series", "parse_series", "render"]

CONTENT_TYPE = CONTENT_TYPE_LATEST
COUNTER_SUFFIX = "_total"

Value = TypeVar("Value")

_SERIES = re.compile(r"([a-zA-Z_:][a-zA-Z0-9_:]*)(?:\{(.*)\})?")
_LABEL = re.compile(r'([a-zA-Z_][a-zA-Z0-9_]*)="((?:[^"\\]|\\.)*)"')


class Series(msgspec.Struct, frozen=True):
    """A metric name with its labels, in order."""

    name: str
    labels: tuple[tuple[str, str], ...] = ()


def parse_series(key: str) -> Series | None:
    """Return the parts of ``name{label="value"}``; None if it is not of that form."""
    match = _SERIES.fullmatch(key)
    if match is None:
        return None
    labels = _LABEL.findall(match.group(2) or "")
    return Series(match.group(1), tuple((name, value) for name, value in labels))


class _Snapshot(Collector):
    """Hands the values of one moment to prometheus-client."""

    def __init__(
        self,
        counters: Mapping[str, float],
        gauges: Mapping[str, float],
        histograms: Mapping[str, Histogram],
    ) -> None:
        self._counters = counters
        self._gauges = gauges
        self._histograms = histograms

    def collect(self) -> Iterable[Metric]:
        """Yield one family per metric name."""
        yield from _plain_families(self._counters, "counter")
        yield from _plain_families(self._gauges, "gauge")
        for name, rows in _group(self._histograms):
            family = Metric(name, _help(name), "histogram")
            for series, histogram in rows:
                _add_histogram(family, series, histogram)
            yield family


def render(
    counters: Mapping[str, float],
    gauges: Mapping[str, float],
    histograms: Mapping[str, Histogram] | None = None,
) -> bytes:
    """Return the text exposition of these values."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Snapshot(counters, gauges, histograms or {}))
    return generate_latest(registry)


def _group(values: Mapping[str, Value]) -> list[tuple[str, list[tuple[Series, Value]]]]:
    groups: dict[str, list[tuple[Series, Value]]] = {}
    for key in sorted(values):
        series = parse_series(key)
        if series is not None:
            groups.setdefault(series.name, []).append((series, values[key]))
    return list(groups.items())


def _plain_families(values: Mapping[str, float], kind: str) -> Iterator[Metric]:
    for name, rows in _group(values):
        family_name = name.removesuffix(COUNTER_SUFFIX) if kind == "counter" else name
        sample_name = family_name + COUNTER_SUFFIX if kind == "counter" else name
        family = Metric(family_name, _help(name), kind)
        for series, value in rows:
            family.add_sample(sample_name, dict(series.labels), float(value))
        yield family


def _add_histogram(family: Metric, series: Series, histogram: Histogram) -> None:
    labels = dict(series.labels)
    rows = histogram.cumulative()
    for bound, count in rows:
        family.add_sample(series.name + "_bucket", {**labels, "le": bound}, count)
    family.add_sample(series.name + "_count", labels, rows[-1][1])
    family.add_sample(series.name + "_sum", labels, histogram.total)


def _help(name: str) -> str:
    return METRIC_HELP.get(name, name.removeprefix("yokeline_").replace("_", " ") + ".")
