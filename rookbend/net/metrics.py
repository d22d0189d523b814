"""Metrics in the Prometheus text format, by prometheus-client. Imported only if they are served."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from typing import Any

from prometheus_client import CollectorRegistry, Metric, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from rookbend.core.counters import Counters
from rookbend.health.model import State

PREFIX = "rookbend_"
MemberTable = Sequence[dict[str, Any]]


class MetricsCollector(Collector):
    """Reads counters and tables when it is scraped: metrics cost nothing per request, and nothing is counted twice."""

    def __init__(
        self,
        counters: Counters,
        members: Callable[[], MemberTable] | None,
        gauges: Callable[[], dict[str, float]],
    ):
        """`members` returns the table of members, or is None if health is disabled; `gauges` returns values by name."""
        self._counters = counters
        self._members = members
        self._gauges = gauges
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def text(self) -> bytes:
        """All metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def collect(self) -> Iterator[Metric]:
        """The metrics, as prometheus-client requests them."""
        for name, value in self._counters.fields().items():
            yield CounterMetricFamily(f"{PREFIX}{name}", f"see {name} in ONCALL", value=value)
        for name, level in self._gauges().items():
            yield GaugeMetricFamily(f"{PREFIX}{name}", name.replace("_", " "), value=level)
        if self._members is not None:
            table = self._members()
            yield _member_counts(table)
            yield _member_weights(table)


def _member_counts(table: MemberTable) -> Metric:
    family = GaugeMetricFamily(f"{PREFIX}members", "members by role and effective state", labels=("role", "state"))
    counts = Counter((member["role"], member["state"]) for member in table)
    roles = {member["role"] for member in table}
    for labels in sorted((role, state.value) for role in roles for state in State):
        family.add_metric(labels, counts[labels])
    return family


def _member_weights(table: MemberTable) -> Metric:
    family = GaugeMetricFamily(
        f"{PREFIX}member_weight", "percent of the membership's weight", labels=("member", "role")
    )
    for member in table:
        family.add_metric((member["member"], member["role"]), member["weight"])
    return family
