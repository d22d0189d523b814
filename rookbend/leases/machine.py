"""The state machine of one director's leases: it takes `(now, event)`, returns actions and does no I/O.

It passes events to its parts (`parts`) and runs their timer. `rookbend.net.leases` drives it, and the tests and
benchmarks do so in simulated time. Times are in µs of the director's monotonic clock, offset to Unix time at its start.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from rookbend.coordination.actions import SendDatagram, WriteLogLine
from rookbend.coordination.events import DatagramReceived, TimerExpired
from rookbend.leases import events
from rookbend.leases.actions import Action
from rookbend.leases.config import LeaseConfig
from rookbend.leases.leader_tasks import REPORT_SCOPE
from rookbend.leases.parts import LeaseParts
from rookbend.leases.state import GRANT_KIND, LOG_KIND, Row, restore
from rookbend.leases.status import lease_status

TICK_US = 100_000
MIN_TICK_RATIO, TICK_JITTER_RATIO = 0.85, 0.3

Actions = list[Action | SendDatagram | WriteLogLine]


class LeaseMachine:
    """The leases of one incarnation of a director; `rows` are those that earlier incarnations persisted.

    `due_us` is the time at which the driver must feed the next TimerExpired. The driver may read `parts` but must not
    change them.
    """

    def __init__(self, config: LeaseConfig, now_us: int, incarnation: int, rows: Iterable[Row] = ()):
        self.config = config
        self.incarnation = incarnation
        self.began_us = now_us
        self.due_us = now_us
        self.parts = LeaseParts(config, now_us, incarnation, restore(rows))
        self.leases = self.parts.leases
        self.actions = self.parts.actions
        self._event_handlers = self._build_event_handlers()

    def begin(self, _now_us: int) -> Actions:
        """Applies the orders that were already committed. Must be called once, before any other method."""
        self.parts.orders.store.apply_committed()
        return self.actions.take()

    def feed(self, now_us: int, event: events.Event) -> Actions:
        """Handles one event; returns the actions that the driver must carry out, in order."""
        self.actions.take()  # discards actions left over from a step that raised
        self.parts.voting.detect_pause(now_us)
        self._event_handlers[type(event)](now_us, event)
        return self.actions.take()

    def describe(self, now_us: int, without: int = -1) -> dict[str, object]:
        """Returns the JSON-ready status of all scopes; see `lease_status`."""
        return lease_status(now_us, self.parts, without)

    @property
    def unusable_datagrams(self) -> int:
        """Number of datagrams that could not be decoded, plus the requests with an implausible token."""
        return self.parts.dispatcher.undecodable + self.parts.fenced.implausible

    # Events

    def _build_event_handlers(self) -> dict[type, Callable[[int, Any], None]]:
        parts = self.parts
        return {
            TimerExpired: self._timer_expired,
            DatagramReceived: self._datagram_received,
            events.RowPersisted: self._row_persisted,
            events.LiveDirectorsChanged: self._live_directors_changed,
            events.ShutdownRequested: parts.handover.shut_down,
            events.VotersChanged: parts.reconfiguration.begin,
            events.StaleStorageDetected: self._stale_storage_detected,
            events.SuccessorChanged: parts.replacement.successor_changed,
            events.PredecessorChanged: parts.replacement.predecessor_changed,
            events.OrderRequested: self._order_requested,
            events.CheckResultsCollected: parts.shard_results.results_collected,
            events.OriginCallsReported: parts.ramp_allocator.calls_reported,
            events.CountersCollected: parts.report.counters_collected,
            events.ReportLineWritten: self._report_line_written,
            events.MoveRequested: parts.handover.move,
        }

    def _timer_expired(self, now_us: int, _event: TimerExpired) -> None:
        if now_us < self.due_us:
            return
        parts = self.parts
        if parts.replacement.is_superseded:
            parts.handover.announce(now_us)
            parts.replacement.tick(now_us)
            parts.orders.requests.tick(now_us, parts.orders.leader)
        else:
            self._run_parts(now_us)
        self.due_us = now_us + int(TICK_US * (MIN_TICK_RATIO + TICK_JITTER_RATIO * parts.random.random()))

    def _run_parts(self, now_us: int) -> None:
        parts = self.parts
        parts.election.tick(now_us)
        parts.handover.announce(now_us)
        parts.voting.request_highest_tokens(now_us)
        parts.discovery.run(now_us)
        parts.rebalancer.run(now_us)
        parts.shard_results.tick(now_us)
        parts.ramp_allocator.tick(now_us)
        parts.report.tick(now_us)
        parts.orders.tick(now_us)

    def _order_requested(self, now_us: int, event: events.OrderRequested) -> None:
        if self.parts.replacement.is_superseded:
            self.parts.replacement.refuse_order(event)
        else:
            self.parts.orders.request(now_us, event)

    def _datagram_received(self, now_us: int, event: DatagramReceived) -> None:
        self.parts.dispatcher.datagram_received(now_us, event.sender, event.data)

    def _row_persisted(self, now_us: int, event: events.RowPersisted) -> None:
        if event.kind == GRANT_KIND:
            self.parts.voting.grant_persisted(now_us, event)
        elif event.kind == LOG_KIND:
            self.parts.orders.follower.entry_persisted(now_us, event)

    def _live_directors_changed(self, _now_us: int, event: events.LiveDirectorsChanged) -> None:
        self.parts.placement.set_live_directors(event.directors)

    def _stale_storage_detected(self, now_us: int, _event: events.StaleStorageDetected) -> None:
        self.parts.voting.stale_storage_detected(now_us)
        self.parts.orders.catch_up.restart()

    def _report_line_written(self, now_us: int, event: events.ReportLineWritten) -> None:
        self.parts.report.line_written(event.number, event.accepted)
        if event.highest_token:
            self.parts.election.step_down(now_us, REPORT_SCOPE, event.highest_token, reporter=-1)
