"""The engine: owns the open requests, feeds events to the router and carries out its actions.

Whatever the router decides, the engine enforces the following: a request gets one final answer, by its deadline; it
has one attempt at a time, and at most `max_attempts`; one that is not idempotent and may have run is retried only under
its idempotency key; no attempt is sent to a member that drains or has left, or after a purge that came since its
decision.
"""

from __future__ import annotations

from collections.abc import Callable

from rookbend import interface as api
from rookbend.core.actions import ActionHandlers
from rookbend.core.attempts import AttemptRunner
from rookbend.core.clock import Clock
from rookbend.core.counters import Counters
from rookbend.core.deadlines import DeadlineEnforcer
from rookbend.core.held_requests import HeldRequests
from rookbend.core.membership_transitions import state_transitions
from rookbend.core.membership_view import MembershipView
from rookbend.core.model import AttemptResult, Endpoint, MembershipChange, Purge
from rookbend.core.open_request import EndReason, OpenRequest, OpenRequestTable
from rookbend.core.ports import Backend, PeerTransport, RoutingPolicy
from rookbend.core.received_purges import ReceivedPurges
from rookbend.core.recent_request_ids import RecentRequestIds
from rookbend.core.rejection import rejection, retry_after_us
from rookbend.core.request_intake import RequestIntake
from rookbend.core.router_driver import RouterDriver
from rookbend.core.send_guard import SendGuard
from rookbend.core.timers import TimerQueue
from rookbend.core.traffic_classes import TrafficClassIndex
from rookbend.interface import AttemptStatus

MAX_PEER_MESSAGE_BYTES = 256


class Engine:
    """Manages one director's requests, attempts and timers, between the fronts, the router and the backend.

    `backend` must be set before the first request, `peers` only if the director has peers. `endpoints` are the known
    members by number. Some attributes are bound methods of other objects: `submit` of `RequestIntake`, `may_write` and
    `withhold_reason` of `SendGuard`, `finished` and `withhold` of `AttemptRunner`, and `class_index`, which is
    `TrafficClassIndex.index_of`.
    """

    def __init__(
        self,
        settings: api.Settings,
        router: RoutingPolicy,
        clock: Clock,
        counters: Counters,
        log: Callable[..., None],
    ) -> None:
        self.router = router
        self.clock = clock
        self.counters = counters
        self.log = log
        self.peers: PeerTransport | None = None
        self.on_peer_message: Callable[[int, bytes], bool] | None = None  # takes messages not meant for the router
        self._has_backend = False
        self.lag_us = 0  # latest delay of the event loop: data read now may have waited this long
        self.timers = TimerQueue()
        self.traffic_classes = TrafficClassIndex(settings, clock)
        recent_ids = RecentRequestIds(clock, self.traffic_classes.id_retention_us)
        self.requests = OpenRequestTable(counters, recent_ids, self.timers.note_obsolete, log)
        self.membership = MembershipView(settings, clock, lambda server: self.backend.disconnect(server))
        self.purges = ReceivedPurges(settings, clock)
        self._driver = RouterDriver(router, clock)
        self.attempts = AttemptRunner(
            settings, self.requests, self.membership.endpoints, self._driver, self.timers, clock, counters, log
        )
        self._driver.handlers = ActionHandlers(
            self.requests, self.attempts, self.timers, self._driver, log, self._send_to_peer
        ).by_type()
        held = HeldRequests(self.requests, self.timers, clock, self._pass_on_held, lambda: self.retry_after_us)
        self.held_requests = held
        self._deadlines = DeadlineEnforcer(
            self.timers, self.requests, held, self.attempts, self._driver, clock, counters
        )
        self._intake = RequestIntake(
            settings, self.requests, held, self.timers, self._deadlines, self._driver, clock, counters
        )
        self._settings = settings
        self.endpoints = self.membership.endpoints
        # Bound directly: a delegating method would add a call to each request.
        guard = SendGuard(self.membership, self.purges, clock)
        self.may_write = guard.may_write
        self.withhold_reason = guard.withhold_reason
        self.submit = self._intake.submit
        self.finished = self.attempts.finished
        self.withhold = self.attempts.withhold
        self.class_index = self.traffic_classes.index_of
        self._post = self._driver.post

    @property
    def settings(self) -> api.Settings:
        """The current settings."""
        return self._settings

    @settings.setter
    def settings(self, settings: api.Settings) -> None:
        self._settings = settings
        self._intake.settings = settings
        self.attempts.settings = settings
        self.membership.settings = settings
        self.purges.settings = settings

    @property
    def backend(self) -> Backend:
        """The backend that sends attempts to members."""
        return self.attempts.backend

    @backend.setter
    def backend(self, backend: Backend) -> None:
        self.attempts.backend = backend
        self._has_backend = True

    @property
    def retry_after_us(self) -> int:
        """The Retry-After of a rejection; 0 if the settings allow none."""
        return retry_after_us(self._settings)

    @property
    def open_requests(self) -> int:
        """The number of requests that have no final answer yet."""
        return len(self.requests.by_id)

    def _pass_on_held(self, open_request: OpenRequest) -> None:
        self._intake.pass_on(open_request)

    # Called by the fronts

    def cancel(self, open_request: OpenRequest | None) -> None:
        """Ends a request whose client no longer waits for it, without an answer."""
        if open_request is None or not self.requests.remove(open_request):
            return
        self.counters.cancelled += 1
        self._post(api.RequestCancelled(open_request.id))
        self.attempts.abandon(open_request)

    def client_half_closed(self, open_request: OpenRequest | None) -> None:
        """Handles a client that has closed its sending side, and may have disconnected: no further attempt starts.

        An attempt that is fully sent may still bring the answer; otherwise the request ends now.
        """
        if open_request is None or open_request.id not in self.requests.by_id:
            return
        open_request.client_half_closed = True
        attempt = open_request.current_attempt
        if attempt is not None:
            if self.backend.is_fully_sent(attempt):
                return
            self.attempts.withdraw(open_request, attempt)
        self.counters.clients_left += 1
        self.requests.answer(open_request, rejection(open_request, self.retry_after_us), EndReason.CLIENT_LEFT)
        self._post(api.RequestCancelled(open_request.id))
        if attempt is not None:
            self.finished(attempt, AttemptResult(AttemptStatus.CANCELLED))

    # Called by the lifecycle

    def apply_settings(self, settings: api.Settings) -> None:
        """Replaces the settings. Open requests keep their class as it was when they arrived.

        `settings.classes` starts with the classes known before, in the same order. Requests for a retired class are
        accepted only if they were already on their way (`RETIRED_GRACE_US`).
        """
        self.traffic_classes.apply_settings(settings)
        self.settings = settings
        self._post(api.SettingsChanged(settings))

    def set_active_processes(self, processes: int) -> None:
        """Sets how many processes of this director send: see `interface.ActiveProcessesChanged`."""
        self._post(api.ActiveProcessesChanged(processes))

    def finish_all_by(self, at_us: int) -> None:
        """Limits the deadline of every request, open or future, to `at_us`."""
        self._deadlines.finish_all_by(at_us)

    def run_due(self) -> int:
        """Runs every timer that is due; returns when the next one is due, or 0 if there is none."""
        return self._deadlines.run_due()

    def is_able_to_serve(self) -> bool:
        """Whether new requests are passed on at once, and any known member accepts them."""
        return not self.held_requests.is_holding and self.membership.has_member_in_service()

    def is_in_service(self, server: int) -> bool:
        """Whether a member is known and accepts new requests."""
        return self.membership.is_in_service(server)

    # Called by the coordinator's watch, by health, recovery and the peers

    def membership_changed(self, change: MembershipChange) -> None:
        """Applies a change of the membership: from now on no new attempt goes to a member that is not in service."""
        self.counters.roster_changes += 1
        previous = dict(self.endpoints)
        updated = self.membership.apply(change)
        if transitions := state_transitions(previous, self.endpoints, updated):
            self.log("membership_changed", version=change.version, complete=change.complete, **transitions)
        self._post(updated)
        self._withhold_unsent()

    def health_changed(self, endpoints: list[Endpoint]) -> None:
        """Applies the members whose state or weight, by health evidence, differs from that of the membership."""
        self.counters.judgements += len(endpoints)
        self._post(self.membership.apply(MembershipChange(False, 0, endpoints)))
        self._withhold_unsent()

    def member_restarted(self, server: int) -> None:
        """Handles a detected restart: the member counts as started now until the membership reports its start."""
        endpoint = self.endpoints.get(server)
        if endpoint is None:
            return
        self.counters.restarts_seen += 1
        self.log("member_restarted", "info", member=endpoint.name)
        self.membership.note_restart(server)
        self._post(self.membership.apply(MembershipChange(False, 0, [endpoint])))

    def purged(self, purge: Purge) -> None:
        """Handles a purge: attempts that were decided before it are no longer written."""
        self.counters.purges += 1
        self._post(self.purges.record(purge))
        self._withhold_unsent()

    def _withhold_unsent(self) -> None:
        """Takes back attempts that may not be sent any more. Before there is a backend, recovery applies what it has
        kept from an earlier process, and nothing was sent."""
        if self._has_backend:
            self.backend.withhold_unsent()

    def set_admission_limits(self, rejected_classes: frozenset[int], fills_per_s: float | None) -> None:
        """Sets the router's admission limits: see `interface.AdmissionLimitsChanged`."""
        self._post(api.AdmissionLimitsChanged(rejected_classes, fills_per_s))

    def peer_message(self, sender: int, data: bytes) -> None:
        """Handles a datagram from another director; `sender` is its number."""
        self.counters.peer_messages += 1
        if self.on_peer_message is not None and self.on_peer_message(sender, data):
            return
        self._post(api.PeerMessageReceived(sender, data))

    def _send_to_peer(self, peer: int | None, data: bytes) -> None:
        is_allowed = self._settings.allows_peer_messages and len(data) <= MAX_PEER_MESSAGE_BYTES
        if is_allowed and self.peers is not None:
            self.peers.send(peer, data)
