"""The fleet's report: the leader collects the counters of all directors, adds them up and has a line written.

A line's number is the number of its period since the Unix epoch, so the next leader continues with the next number,
and a ledger recognizes a line that it already has. Directors report counts since their start. The report contains the
differences to the previous collection; for a director that restarted, the difference to zero.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from rookbend.coordination.action_queue import ActionQueue
from rookbend.leases.actions import Action, CollectCounters, WriteReportLine
from rookbend.leases.events import CountersCollected
from rookbend.leases.fenced_requests import FencedRequests
from rookbend.leases.leader_tasks import REPORT_SCOPE
from rookbend.leases.lease_table import LeaseTable
from rookbend.leases.messenger import Messenger
from rookbend.protocol.lease_messages import CountersReply, CountersRequest
from rookbend.protocol.leases import encode

COLLECTION_TIMEOUT_US = 1_000_000
COUNTER_NAMES = ("requests", "served", "refused", "failed")
NO_COUNTS = (0,) * len(COUNTER_NAMES)


class CounterSnapshot(NamedTuple):
    """The counters of one incarnation of a director."""

    incarnation: int
    counters: tuple[int, ...]


class ReportLine(NamedTuple):
    """A line and the number of its period."""

    number: int
    line: str


@dataclass(slots=True)
class CollectionRound:
    """A collection in progress, with the counters `received` so far by director."""

    number: int
    sequence: int
    began_us: int
    received: dict[int, CounterSnapshot] = field(default_factory=dict)


class FleetReport:
    """Builds one line per `period_us`; `last_written` is the highest line number known to be written."""

    def __init__(self, period_us: int):
        self._period_us = period_us
        self._sequence = 0
        self.round: CollectionRound | None = None
        self._previous: dict[int, CounterSnapshot] = {}
        self.last_written = 0

    def is_due(self, now_us: int) -> bool:
        """Returns whether a collection should begin now."""
        return self.round is None and now_us // self._period_us > self.last_written

    def begin(self, now_us: int) -> int:
        """Begins a collection; returns the sequence number that the replies must carry."""
        self._sequence += 1
        self.round = CollectionRound(now_us // self._period_us, self._sequence, now_us)
        return self._sequence

    def record(self, director: int, incarnation: int, sequence: int, counters: tuple[int, ...]) -> None:
        """Records a director's counters; those of an earlier collection are ignored."""
        if self.round is None or self.round.sequence != sequence or len(counters) != len(COUNTER_NAMES):
            return
        self.round.received[director] = CounterSnapshot(incarnation, counters)

    def line(self, now_us: int, token: int, director_count: int) -> ReportLine | None:
        """Returns the line once all directors have replied or the collection has timed out, and ends the collection."""
        collection = self.round
        if collection is None:
            return None
        if len(collection.received) < director_count and now_us - collection.began_us < COLLECTION_TIMEOUT_US:
            return None
        self.round = None
        totals = list(NO_COUNTS)
        for director, snapshot in collection.received.items():
            baseline = self._baseline(director, snapshot)
            totals = [
                total + count - before for total, count, before in zip(totals, snapshot.counters, baseline, strict=True)
            ]
        self._previous.update(collection.received)
        content = {
            "number": collection.number,
            "token": token,
            "directors": len(collection.received),
            "of": director_count,
            **dict(zip(COUNTER_NAMES, totals, strict=True)),
        }
        return ReportLine(collection.number, msgspec.json.encode(content).decode())

    def _baseline(self, director: int, snapshot: CounterSnapshot) -> tuple[int, ...]:
        """Returns the counters to subtract from a director's snapshot.

        A director without an earlier snapshot contributes nothing until the next collection.
        """
        previous = self._previous.get(director)
        if previous is None:
            return snapshot.counters
        return previous.counters if previous.incarnation == snapshot.incarnation else NO_COUNTS

    def line_written(self, number: int, accepted: bool) -> None:
        """Records the outcome of writing a line."""
        if accepted:
            self.last_written = max(self.last_written, number)


class ReportTask:
    """Runs the report while its lease is held, and answers collections of another leader."""

    def __init__(
        self,
        director_count: int,
        report: FleetReport,
        leases: LeaseTable,
        fenced: FencedRequests,
        messenger: Messenger,
        actions: ActionQueue[Action],
    ):
        self._director_count = director_count
        self._report = report
        self._leases = leases
        self._fenced = fenced
        self._messenger = messenger
        self._actions = actions
        self._counters: tuple[int, ...] = ()

    def tick(self, now_us: int) -> None:
        """Begins a collection when it is due, and has the line written once it is ready."""
        token = self._leases.held_token(now_us, REPORT_SCOPE)
        if not token:
            return
        if self._report.is_due(now_us):
            sequence = self._report.begin(now_us)
            self._actions.append(CollectCounters())
            request = encode(CountersRequest(*self._messenger.header, token, sequence))
            self._messenger.send_to_peers(now_us, [request])
        line = self._report.line(now_us, token, self._director_count)
        if line is not None:
            expires_us = self._leases.leases[REPORT_SCOPE].expires_us
            self._actions.append(WriteReportLine(line.number, token, line.line, expires_us))

    def lease_lost(self) -> None:
        """Drops the collection in progress."""
        self._report.round = None

    def line_written(self, number: int, accepted: bool) -> None:
        """Passes the outcome of writing a line to the report."""
        self._report.line_written(number, accepted)

    def counters_collected(self, _now_us: int, event: CountersCollected) -> None:
        """Stores this director's counters, for its own collection or that of another leader."""
        self._counters = event.counters
        if self._report.round is not None:
            _, director, incarnation = self._messenger.header
            self._report.record(director, incarnation, self._report.round.sequence, event.counters)

    def counters_requested(self, now_us: int, sender: int, message: CountersRequest) -> None:
        """Replies with the counters that were last collected, and has them collected again for the next request."""
        if self._fenced.accept(now_us, sender, REPORT_SCOPE, message.token):
            self._actions.append(CollectCounters())
            reply = CountersReply(*self._messenger.header, message.incarnation, message.sequence, self._counters)
            self._messenger.send(now_us, sender, reply)

    def counters_received(self, sender: int, message: CountersReply) -> None:
        """Records the counters of another director."""
        if message.to_incarnation == self._messenger.header[2]:
            self._report.record(sender, message.incarnation, message.sequence, message.counters)
