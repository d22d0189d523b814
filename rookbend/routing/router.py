"""The router: dispatches each event to the components concerned, and returns their actions."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from rookbend.interface import (
    Action,
    ActiveProcessesChanged,
    AdmissionLimitsChanged,
    AttemptFinished,
    AttemptStatus,
    Event,
    Fail,
    MembershipUpdated,
    PurgeReceived,
    RequestArrived,
    RequestCancelled,
    ResponseStarted,
    Settings,
    SettingsChanged,
    SubscribeMembership,
    TimerFired,
)
from rookbend.routing.admission import AdmissionControl
from rookbend.routing.attempt_tracking import AttemptTracker
from rookbend.routing.cached_copies import CachedCopies
from rookbend.routing.endpoint_selection import EndpointSelector
from rookbend.routing.failure_attribution import FailureAttribution
from rookbend.routing.fill_concurrency import FillConcurrencyLimit
from rookbend.routing.fill_lateness import FillMonitor
from rookbend.routing.fill_queue import FillQueue
from rookbend.routing.fill_rate import FillRateLimiter
from rookbend.routing.membership import Membership
from rookbend.routing.membership_updates import MembershipUpdates
from rookbend.routing.origin_protection import OriginProtection
from rookbend.routing.outlier_detection import OutlierDetector
from rookbend.routing.purge_log import PurgeLog
from rookbend.routing.read_sending import ReadSender
from rookbend.routing.rendezvous_hash import uniform_draw
from rookbend.routing.request_collapsing import RequestCollapser
from rookbend.routing.request_lifecycle import RequestLifecycle
from rookbend.routing.request_state import Attempt, Request, new_request
from rookbend.routing.retry_policy import RetryPolicy
from rookbend.routing.server_load import ServerLoad
from rookbend.routing.server_stats import ServerTable
from rookbend.routing.silence_detection import SilenceDetector
from rookbend.routing.slow_start import SlowStart
from rookbend.routing.source_selection import SourceSelector
from rookbend.routing.timers import RouterTimer, TimerTable
from rookbend.routing.transfer_estimates import TransferEstimates
from rookbend.routing.write_sending import WriteSender


class Router:
    """A router. It handles events in order, and returns the actions for each.

    `seed` gives each router random draws of its own, so that routers don't act in step.
    """

    def __init__(self, settings: Settings, seed: int = 0) -> None:
        self.settings = settings
        self.seed = seed
        self.open_requests: dict[int, Request] = {}
        self._build_state(settings)
        self._build_rules(settings, seed)
        self._build_lifecycle()
        self._handlers = self._event_handlers()

    def _build_state(self, settings: Settings) -> None:
        self.membership = Membership(settings)
        self.servers = ServerTable()
        self.timers = TimerTable()
        self.purges = PurgeLog(settings)
        self.copies = CachedCopies(settings, self.membership)
        self.estimates = TransferEstimates(settings, self.copies)
        self.collapser = RequestCollapser(settings)
        self.fill_rate = FillRateLimiter()
        self.fill_limit = FillConcurrencyLimit(self.fill_rate)
        self.fill_queue = FillQueue(self.open_requests)
        self.slow_start = SlowStart(settings, self.membership)
        self.membership_updates = MembershipUpdates(
            settings, self.membership, self.servers, self.slow_start, self.fill_limit, self.timers
        )
        self.attempts = AttemptTracker(self.servers, self.slow_start, self.fill_limit)

    def _build_rules(self, settings: Settings, seed: int) -> None:
        membership = self.membership
        servers = self.servers
        self.outliers = OutlierDetector(settings, servers)
        self.silence = SilenceDetector(settings, membership, servers, self.outliers, self.attempts.in_flight)
        self.load = ServerLoad(settings, membership, servers, self.slow_start)
        self.endpoints = EndpointSelector(settings, membership, servers, self.slow_start, self.outliers, self.load)
        self.sources = SourceSelector(settings, membership, servers, self.endpoints, self.fill_limit)
        self.origin_protection = OriginProtection(settings, seed)
        self.fill_monitor = FillMonitor(self.fill_limit)
        self.attribution = FailureAttribution(settings, membership, servers, self.outliers, self.origin_protection)
        self.retry_policy = RetryPolicy(settings, membership)
        self.admission = AdmissionControl(settings, self.fill_rate, seed)
        self.reads = ReadSender(
            settings,
            servers,
            self.endpoints,
            self.sources,
            self.retry_policy,
            self.origin_protection,
            self.fill_limit,
            self.fill_monitor,
            self.copies,
            self.purges,
            self.attempts,
            self.timers,
        )
        self.writes = WriteSender(settings, membership, self.endpoints, self.sources, self.retry_policy, self.attempts)

    def _build_lifecycle(self) -> None:
        self.lifecycle = RequestLifecycle(
            self.open_requests,
            self.admission,
            self.collapser,
            self.copies,
            self.purges,
            self.reads,
            self.writes,
            self.retry_policy,
            self.fill_queue,
            self.fill_limit,
            self.timers,
        )

    def _event_handlers(self) -> dict[type, Callable[[int, Any], None]]:
        return {
            MembershipUpdated: self._on_membership,
            RequestArrived: self._on_request,
            AttemptFinished: self._on_attempt_finished,
            RequestCancelled: self._on_cancelled,
            TimerFired: self._on_timer,
            ResponseStarted: self._on_response_started,
            PurgeReceived: self.purges.record,
            AdmissionLimitsChanged: self._on_limits,
            SettingsChanged: self._on_settings,
            ActiveProcessesChanged: self._on_processes,
        }

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle one event; returns the resulting actions in order."""
        actions: list[Action] = []
        self.lifecycle.now_us = now_us
        self.lifecycle.actions = actions
        self.slow_start.router_started_us = self.slow_start.router_started_us or now_us
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(now_us, event)
        return actions

    def needs_timer(self, token: int) -> bool:
        """Whether the timer with this token still has an effect."""
        return token in self.timers.owners

    def is_ejected(self, server: int, now_us: int) -> bool:
        """Whether a server is ejected as an outlier; an unknown one is not."""
        return server in self.servers and self.servers[server].ejected_until_us > now_us

    def _on_membership(self, now_us: int, event: MembershipUpdated) -> None:
        self.lifecycle.actions += self.membership_updates.apply(event)

    def _on_limits(self, now_us: int, event: AdmissionLimitsChanged) -> None:
        self.admission.rejected_classes = event.rejected_classes
        # The initial tokens are random, so that routers limited at the same time don't start in step.
        self.fill_rate.set_rate(now_us, event.fills_per_second, uniform_draw(self.seed, self.settings.router_index))
        while self.fill_limit.limit and self.fill_limit.has_capacity(now_us) and self.lifecycle.start_queued_fill():
            pass

    def _on_settings(self, now_us: int, event: SettingsChanged) -> None:
        """Apply new settings. Classes keep their positions, so that existing statistics remain valid."""
        self.settings = event.settings
        for component in (
            self.membership,
            self.membership_updates,
            self.purges,
            self.copies,
            self.estimates,
            self.slow_start,
            self.outliers,
            self.silence,
            self.load,
            self.endpoints,
            self.sources,
            self.origin_protection,
            self.attribution,
            self.retry_policy,
            self.admission,
            self.reads,
            self.writes,
        ):
            component.settings = event.settings
        self.estimates.add_classes()

    def _on_timer(self, now_us: int, event: TimerFired) -> None:
        owner = self.timers.take(event.token)
        if type(owner) is Attempt:
            self.lifecycle.actions += self.silence.attempt_overdue(owner, now_us)
        elif type(owner) is Request:
            self.lifecycle.timer_fired(owner, event.token)
        elif owner is RouterTimer.RESUBSCRIBE_MEMBERSHIP:
            self.lifecycle.actions.append(SubscribeMembership(True))

    def _on_request(self, now_us: int, event: RequestArrived) -> None:
        class_index = event.traffic_class
        if class_index >= len(self.settings.classes):
            self.lifecycle.actions.append(Fail(event.request))
            return
        request = new_request(event, self.settings.classes[class_index])
        self.estimates.estimate(request, event.size_kb, now_us)
        self.lifecycle.start(request)

    def _on_attempt_finished(self, now_us: int, event: AttemptFinished) -> None:
        attempt = self.attempts.finish(event)
        if attempt is None:
            return
        self.timers.discard(attempt)
        request = attempt.request
        self.load.record_report(attempt.server, event.load_report, now_us)
        if not request.is_write:
            self.fill_monitor.attempt_finished(attempt, event)
        self.attribution.attribute(attempt, event, now_us)
        self.attempts.update_request(attempt, event)
        if event.status is AttemptStatus.OK:
            self.estimates.record_served(request, attempt.server, now_us, event.elapsed_us)
            self.load.record_hit(attempt, event)
        self.lifecycle.attempt_finished(attempt, event)

    def _on_cancelled(self, now_us: int, event: RequestCancelled) -> None:
        self.lifecycle.cancel(event.request)

    def _on_response_started(self, now_us: int, event: ResponseStarted) -> None:
        self.outliers.record_answer(event.server, now_us)

    def _on_processes(self, now_us: int, event: ActiveProcessesChanged) -> None:
        self.slow_start.sender_count = event.processes
