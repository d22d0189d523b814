"""Checks the invariants of a run from the traffic on the sockets or the simulated network, not from directors' reports.

The checker does no I/O. It takes events in order of time and collects violations of the rules in `Rule`. It keeps the
open requests, the states of members, recent purges, and the digests that members produced of each object and part.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from rookbend.testing.director_notifications import DirectorNotifications
from rookbend.testing.invariant_events import (
    REJECTED,
    SERVED,
    AttemptAnswered,
    AttemptReceived,
    ClientClosed,
    FillReceived,
    MembershipSent,
    MemberStarted,
    PurgeSent,
    RequestSent,
    ResponseReceived,
    WireEvent,
)
from rookbend.testing.invariant_rules import InvariantLimits, Rule, Violation
from rookbend.testing.observed_request import RequestRecord
from rookbend.testing.slow_start_budget import SlowStartBudget


class InvariantChecker:
    """Checks the rules as events arrive."""

    def __init__(self, limits: InvariantLimits | None = None) -> None:
        self.limits = limits or InvariantLimits()
        self.violations: list[Violation] = []
        self.requests: dict[str, RequestRecord] = {}
        self.observed_events = 0
        self._notifications = DirectorNotifications(self.limits.purge_retention_us)
        self._slow_start_budgets: dict[str, SlowStartBudget] = {}  # by member
        self._produced_digests: dict[tuple[Any, ...], set[str]] = {}  # by object and part
        self._handlers: dict[type, Callable[[Any], None]] = {
            RequestSent: self._on_request_sent,
            ResponseReceived: self._on_response_received,
            ClientClosed: self._on_client_closed,
            AttemptReceived: self._on_attempt_received,
            AttemptAnswered: self._on_attempt_answered,
            FillReceived: self._on_fill_received,
            MemberStarted: self._on_member_started,
            MembershipSent: self._notifications.add_membership,
            PurgeSent: self._notifications.add_purge,
        }

    def observe(self, event: WireEvent) -> None:
        """Processes the next event."""
        self.observed_events += 1
        self._handlers[type(event)](event)

    def close_expired(self, now_us: int) -> None:
        """Closes expired requests with no attempt in flight; reports any with no response, unless its client closed."""
        grace_us = self.limits.answer_grace_us + self.limits.slack_us
        for request_id, record in list(self.requests.items()):
            if record.request.deadline_us + grace_us >= now_us or record.in_flight:
                continue
            if not record.responses and record.client_closed_us is None:
                self._report(Rule.ANSWER, now_us, request_id, "no response")
            del self.requests[request_id]

    def violations_by_rule(self) -> dict[str, int]:
        """Returns the number of violations of every rule, including zeros."""
        counts = {rule.value: 0 for rule in Rule}
        for violation in self.violations:
            counts[violation.rule.value] += 1
        return counts

    def _report(self, rule: Rule, at_us: int, subject: str, text: str) -> None:
        self.violations.append(Violation(rule, at_us, subject, text))

    # Clients

    def _on_request_sent(self, event: RequestSent) -> None:
        self.requests[event.request_id] = RequestRecord(event)

    def _on_response_received(self, event: ResponseReceived) -> None:
        at_us = event.at_us
        request_id = event.request_id
        record = self.requests.get(request_id)
        if record is None:
            self._report(Rule.ANSWER, at_us, request_id, "response to a request that is unknown or already closed")
            return
        record.responses += 1
        if record.responses > 1:
            self._report(Rule.ANSWER, at_us, request_id, f"response number {record.responses}")
            return
        if not event.is_whole:
            self._report(Rule.ANSWER, at_us, request_id, "malformed or truncated response")
        due_us = record.request.deadline_us + self.limits.answer_grace_us + self.limits.slack_us
        if at_us > due_us and record.client_closed_us is None:
            self._report(Rule.ANSWER, at_us, request_id, f"response {(at_us - due_us) / 1000:.0f} ms late")
        self._check_verdict(event, record)

    def _check_verdict(self, event: ResponseReceived, record: RequestRecord) -> None:
        may_execute = record.may_have_executed or bool(record.in_flight)
        if event.verdict == REJECTED and record.request.at_most_once and may_execute:
            self._report(Rule.REPEAT, event.at_us, event.request_id, "rejected although it may have executed")
        if event.verdict == SERVED and event.digest:
            produced = self._produced_digests.get(record.request.content_key, set())
            if event.digest not in produced:
                self._report(Rule.BYTES, event.at_us, event.request_id, "served bytes that no member produced for it")

    def _on_client_closed(self, event: ClientClosed) -> None:
        record = self.requests.get(event.request_id)
        if record is not None and record.client_closed_us is None:
            record.client_closed_us = event.at_us

    # Members

    def _on_attempt_received(self, event: AttemptReceived) -> None:
        at_us = event.at_us
        request_id = event.request_id
        member = event.member
        record = self.requests.get(request_id)
        if record is None:
            self._report(Rule.ATTEMPTS, at_us, request_id, f"attempt at {member} for a request that is not open")
            return
        record.attempts += 1
        if record.attempts > self.limits.max_attempts:
            self._report(Rule.ATTEMPTS, at_us, request_id, f"attempt number {record.attempts}, at {member}")
        if record.in_flight:
            others = ", ".join(record.in_flight)
            self._report(
                Rule.ATTEMPTS, at_us, request_id, f"attempt at {member} while another is in flight at {others}"
            )
        if record.request.at_most_once and record.may_have_executed:
            self._report(Rule.REPEAT, at_us, request_id, f"retried at {member} although it may have executed")
        record.in_flight[member] = event
        record.first_bytes_us[member] = event.first_byte_us
        self._check_drain(event, record.request.director, member, "sent to this member")
        self._check_drain(event, record.request.director, event.source, "names this member as its source")
        self._check_client(event, record)
        self._check_slow_start(at_us, member, event.work_s)

    def _check_client(self, event: AttemptReceived, record: RequestRecord) -> None:
        """Checks that the client is there, and that the member is given no more time than the client has left."""
        limits = self.limits
        sent_us = event.first_byte_us
        left_us = record.client_closed_us
        if left_us is not None and sent_us > left_us + limits.left_grace_us + limits.slack_us:
            text = f"sent {(sent_us - left_us) / 1000:.0f} ms after its client has left"
            self._report(Rule.LEFT, event.at_us, event.request_id, text)
        excess_us = sent_us + event.wait_us - record.request.deadline_us
        if event.wait_us and excess_us > limits.deadline_slack_us + limits.slack_us:
            text = f"{event.member} is given {excess_us / 1000:.0f} ms more than the client has left"
            self._report(Rule.DEADLINE, event.at_us, event.request_id, text)

    def _check_drain(self, event: AttemptReceived, director: str, member: str, relation: str) -> None:
        notice = self._notifications.out_of_service(director, member)
        grace_us = self.limits.drain_grace_us + self.limits.slack_us
        if notice is None or event.first_byte_us <= notice.since_us + grace_us:
            return
        delay_ms = (event.first_byte_us - notice.since_us) / 1000
        text = f"{event.request_id} {relation} {delay_ms:.0f} ms after notification that it is {notice.status.value}"
        self._report(Rule.DRAIN, event.at_us, member, text)

    def _on_attempt_answered(self, event: AttemptAnswered) -> None:
        record = self.requests.get(event.request_id)
        if record is None:
            return
        record.in_flight.pop(event.member, None)
        record.may_have_executed |= event.may_have_executed
        if event.succeeded:
            self._produced_digests.setdefault(record.request.content_key, set()).add(event.digest)
            self._check_purges(event, record)

    def _check_purges(self, event: AttemptAnswered, record: RequestRecord) -> None:
        request = record.request
        object_name = request.content_key[0] if request.content_key else ""
        sent_us = record.first_bytes_us.get(event.member, event.at_us)
        grace_us = self.limits.purge_grace_us + self.limits.slack_us
        for purge in self._notifications.purges(request.director, object_name, request.group):
            if event.copied_us >= purge.created_us or sent_us <= purge.notified_us + grace_us:
                continue
            older_ms = (purge.created_us - event.copied_us) / 1000
            before_ms = (sent_us - purge.notified_us) / 1000
            text = f"copy {older_ms:.0f} ms older than a purge notified {before_ms:.0f} ms before the attempt was sent"
            self._report(Rule.PURGE, event.at_us, event.request_id, text)

    def _on_fill_received(self, event: FillReceived) -> None:
        self._check_slow_start(event.at_us, event.member, event.work_s)

    def _on_member_started(self, event: MemberStarted) -> None:
        budget = SlowStartBudget(event.slow_start, event.at_us, self.limits.cold_window_us)
        self._slow_start_budgets[event.member] = budget

    def _check_slow_start(self, at_us: int, member: str, work_s: float) -> None:
        budget = self._slow_start_budgets.get(member)
        if budget is None:
            return
        if budget.is_over(at_us):
            del self._slow_start_budgets[member]
            return
        overload_ratio = budget.add(at_us, work_s)
        if overload_ratio > 1 and not budget.violation_reported:
            budget.violation_reported = True
            age_s = (at_us - budget.started_us) / 1e6
            text = f"sent {overload_ratio:.2f} times the work that overloads it, {age_s:.1f} s after its start"
            self._report(Rule.COLD, at_us, member, text)
