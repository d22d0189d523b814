"""Load of a server: this router's transfers, and those of others according to the server's last load report."""

from __future__ import annotations

from rookbend.interface import AttemptDetail, AttemptFinished, Member, Settings
from rookbend.routing.membership import Membership
from rookbend.routing.outlier_detection import ERROR_SPAN_ATTEMPTS
from rookbend.routing.request_state import Attempt
from rookbend.routing.server_stats import LoadReport, ServerTable
from rookbend.routing.slow_start import SlowStart

REPORT_MAX_AGE_CONNECT_TIMEOUTS = 4.0
USUAL_HIT_RATIO = 1.5  # usual upper bound of a hit's duration, relative to its transfer time plus delay
USUAL_HIT_DELAY_OBJECTIVE_RATIO = 0.1  # that delay, relative to the latency objective
IN_FLIGHT_FIELD = "inflight"


class ServerLoad:
    """Load of each server, relative to its capacity, which is lower during warm-up."""

    def __init__(self, settings: Settings, membership: Membership, servers: ServerTable, slow_start: SlowStart) -> None:
        self.settings = settings
        self.membership = membership
        self.servers = servers
        self.slow_start = slow_start

    def record_report(self, server: int, values: tuple[float, ...], now_us: int) -> None:
        """Record a load report, its values in the order of the settings' `load_report_fields`."""
        fields = self.settings.load_report_fields
        if values and IN_FLIGHT_FIELD in fields[: len(values)]:
            stats = self.servers[server]
            stats.load_report = LoadReport(now_us, values[fields.index(IN_FLIGHT_FIELD)], stats.in_flight)

    def record_hit(self, attempt: Attempt, event: AttemptFinished) -> None:
        """Record how long a hit took: only hits show how slow the cache itself is."""
        request = attempt.request
        if request.is_write or event.detail is not AttemptDetail.HIT:
            return
        delay_us = USUAL_HIT_DELAY_OBJECTIVE_RATIO * request.traffic_class.latency_objective_us
        usual_us = USUAL_HIT_RATIO * (request.expected_transfer_us + delay_us)
        stats = self.servers[attempt.server]
        stats.slowness_ratio += (event.elapsed_us / usual_us - stats.slowness_ratio) / ERROR_SPAN_ATTEMPTS

    def transfers(self, server: int, now_us: int) -> float:
        """Transfers at a server: those of this router, and those of others where its load report is recent."""
        stats = self.servers[server]
        report = stats.load_report
        max_age_us = REPORT_MAX_AGE_CONNECT_TIMEOUTS * self.settings.connect_timeout_us
        if report is None or now_us - report.received_us >= max_age_us:
            return stats.in_flight
        return stats.in_flight + max(0.0, report.in_flight - report.own_in_flight)

    def utilization(self, member: Member, now_us: int) -> float:
        """Transfers at a server plus one, relative to its current capacity."""
        capacity = self.membership.weight(member) * self.slow_start.capacity_ratio(member, now_us)
        return (self.transfers(member.server, now_us) + 1) / capacity
