"""Detection of silent servers: several attempts are overdue, and the server has not answered since they were sent."""

from __future__ import annotations

from collections.abc import Callable

from rookbend.interface import CancelAttempt, Settings
from rookbend.routing.membership import Membership
from rookbend.routing.outlier_detection import OutlierDetector
from rookbend.routing.request_state import Attempt, AttemptKey
from rookbend.routing.server_stats import ServerTable

MAX_OVERDUE_UNANSWERED = 3  # attempts overdue without an answer before the server is ejected


class SilenceDetector:
    """Ejects hung and vanished servers without cancelling slow fills: any answer shows that a server is alive."""

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        servers: ServerTable,
        outliers: OutlierDetector,
        in_flight: dict[AttemptKey, Attempt],
    ) -> None:
        self.settings = settings
        self.membership = membership
        self.servers = servers
        self.outliers = outliers
        self.in_flight = in_flight

    def attempt_overdue(self, attempt: Attempt, now_us: int) -> list[CancelAttempt]:
        """Record that an attempt is overdue; returns the cancellations of attempts at a silent server.

        A parent counts as silent only while another parent answers; otherwise the link or the origin is the cause.
        """
        if self.in_flight.get((attempt.request.id, attempt.number)) is not attempt:
            return []
        server = attempt.server
        cancelled = self._record_overdue(attempt, server, lambda other: other.server == server, now_us)
        source = attempt.source
        if attempt.may_fill and source is not None and self._other_parent_answers(attempt):
            cancelled += self._record_overdue(
                attempt, source, lambda other: other.may_fill and other.source == source, now_us
            )
        return cancelled

    def _other_parent_answers(self, attempt: Attempt) -> bool:
        return any(
            self.servers[parent.server].last_answer_us >= attempt.sent_us
            for parent in self.membership.parents
            if parent.server != attempt.source
        )

    def _record_overdue(
        self, attempt: Attempt, server: int, matches: Callable[[Attempt], bool], now_us: int
    ) -> list[CancelAttempt]:
        stats = self.servers[server]
        if stats.last_answer_us >= attempt.sent_us:
            return []
        stats.overdue_unanswered += 1
        if stats.overdue_unanswered >= MAX_OVERDUE_UNANSWERED:
            self.outliers.eject(server, now_us)
        if now_us >= stats.ejected_until_us or not self.settings.allows_cancellation:
            return []
        cancelled = []
        for other in self.in_flight.values():
            is_newest = other.request.attempt is other
            if matches(other) and other.sent_us > stats.last_answer_us and is_newest and not other.request.is_write:
                other.cancelled_for = server
                cancelled.append(CancelAttempt(other.request.id, other.number))
        return cancelled
