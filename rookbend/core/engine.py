"""The engine: feeds events to the module, carries out its actions, owns requests and timers.

Whatever the module decides, the engine keeps to this: one final answer a request, by its deadline; one
attempt at a time, `max_attempts` at most; no repeat of what may have run, but under its key; nothing to a member that
drains or is gone, and nothing decided before a purge that was told since.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from rookbend import interface as api
from rookbend.core.clock import Clock
from rookbend.core.counters import Counters
from rookbend.core.intake import Intake
from rookbend.core.model import Answer, Attempt, AttemptResult, Endpoint, FinalOutcome
from rookbend.core.open_request import Backend, OpenRequest, Peers
from rookbend.core.retry_safety import Repeats
from rookbend.core.send_guards import Guards
from rookbend.core.timers import ATTEMPT, ROUTER, Timers
from rookbend.interface import AttemptStatus

COUNTED = {s: s.name.lower() for s in AttemptStatus if s is not AttemptStatus.CANCELLED}


class Engine(Intake, Guards, Repeats, Timers):
    """One director's requests, attempts and timers, between the fronts, the module and the backend."""

    def __init__(self, settings: api.Settings, router, clock: Clock, counters: Counters, log: Callable[..., None]):
        self.settings, self.router, self.clock = settings, router, clock
        self.counters, self.log = counters, log
        self.backend: Backend | None = None
        self.peers: Peers | None = None
        self.endpoints: dict[int, Endpoint] = {}
        self.lag_us = 0  # how late the loop ran last: what is read now may have waited as long
        self.on_timer_change: Callable[[int], None] = lambda due: None
        self.on_attempt_end: Callable[[int, AttemptStatus], None] | None = None  # what health hears of attempts
        # What recovery hears of them: as one goes out (None), and how it ended.
        self.on_attempt: Callable[[Attempt, AttemptResult | None], None] | None = None
        self.on_peer: Callable[[int, bytes], bool] | None = None  # takes what is not the module's
        self.oldest_us = 0  # copies that left the origin before are not asked for; 0: as the module says
        self._open: dict[int, OpenRequest] = {}
        self.classes = {c.name: i for i, c in enumerate(settings.classes)}
        self._vanished: dict[str, tuple[int, int]] = {}  # name: (index, taken until); one row a class name
        self._request_ids: set[str] = set()  # of the open requests
        self._last_id = 0
        self._timers: list[tuple] = []
        self._timer_number = 0
        self._armed = 0
        self._events: deque = deque()
        self._pumping = False
        self._now = 0
        self._restarted: dict[int, int] = {}  # when a member was seen to have restarted; until told, or warm, or gone
        self._purged_objects: dict[int, int] = {}  # when a purge was told, until all older copies are gone
        self._purged_groups: dict[int, int] = {}
        self._settle_at = 0

    # What the coordinator's watch and the peers call

    def set_admission_limits(self, closed: frozenset[int], per_s: float | None) -> None:
        """Limits for the module: see `interface.Limited`."""
        self._post(api.AdmissionLimitsChanged(closed, per_s))

    def set_active_processes(self, senders: int) -> None:
        """So many processes of this director send: see `interface.Shared`."""
        self._post(api.ActiveProcessesChanged(senders))

    def peer_message(self, sender: int, data: bytes) -> None:
        """A datagram from another director, known by its number."""
        self.counters.peer_messages += 1
        if self.on_peer is not None and self.on_peer(sender, data):
            return
        self._post(api.PeerMessageReceived(sender, data))

    # What the backend calls

    def finished(self, attempt: Attempt, result: AttemptResult) -> None:
        """The attempt has ended. Told once; what comes after is ignored."""
        if attempt.is_finished:
            return
        attempt.is_finished = True
        status = result.status
        if (name := COUNTED.get(status)) is not None:
            setattr(self.counters, name, getattr(self.counters, name) + 1)
        open_request = self._open.get(attempt.id)
        if open_request is not None and open_request.flight is attempt:
            open_request.flight = None
            if status not in api.NEVER_EXECUTED:
                self._may_have_run(open_request, attempt)
            open_request.reset |= status is AttemptStatus.RESET
            if status is AttemptStatus.OK:
                self._answer(
                    open_request, Answer(FinalOutcome.SERVED, result.body, result.unchanged, 0, attempt.server)
                )
                open_request = None
            elif open_request.client_left:
                self.counters.clients_left += 1
                self._answer(open_request, self._no_further_attempt(open_request))
                open_request = None
        self._post(
            api.AttemptFinished(
                attempt.id,
                attempt.number,
                attempt.server,
                status,
                self.clock.now() - attempt.sent_us,
                open_request is None,
                result.detail,
                result.fill_queue_us,
                result.load_report,
            )
        )
        if self.on_attempt_end is not None:
            self.on_attempt_end(attempt.server, status)
        if self.on_attempt is not None:
            self.on_attempt(attempt, result)

    # The module

    def _post(self, event) -> None:
        """Feeds events to the module one by one: what an action sets off waits until it is carried out."""
        events = self._events
        events.append(event)
        if self._pumping:
            return
        self._pumping = True
        try:
            # One reading of the clock for an event and all that it sets off at once.
            now = self._now = self.clock.now()
            handle = self.router.handle
            while events:
                for action in handle(now, events.popleft()):
                    ACTIONS[type(action)](self, action)
        finally:
            self._pumping = False

    def _fetch(self, a) -> None:
        now = self._now
        open_request = self._open.get(a.request)
        if open_request is None:
            return self._refuse_to_send(a, 0, True)
        number = open_request.attempts
        open_request.attempts += 1
        entry = self.endpoints.get(a.server)
        if (
            open_request.flight is not None
            or number >= min(open_request.most, self.settings.max_attempts)
            or entry is None
            or not self._may_repeat(open_request, entry.member, now)
            or open_request.deadline <= now
        ):
            return self._refuse_to_send(a, number, False)
        due = min(now + a.timeout_us, open_request.deadline) if a.timeout_us else open_request.deadline
        attempt = Attempt(open_request.request, open_request.id, number, a.server, 0, now, due)
        if type(a) is api.Fetch:
            attempt.source = 0 if a.source == a.server else a.source
            attempt.retention_rank, attempt.max_age_us, attempt.join_fill = a.retention_rank, a.max_age_us, a.join_fill
            attempt.only_if_cached, attempt.refresh_in_background = a.only_if_cached, a.refresh_in_background
            attempt.parent_no_store = a.parent_no_store
            if self.oldest_us:
                # Guards against a purge that was told while nobody listened: see recovery/gap.py.
                young = max(1, now - self.oldest_us)
                attempt.max_age_us = min(attempt.max_age_us or young, young)
        attempt.retry_deadline_us = self._repeat_by(open_request)
        # Guards a request that was lost once to a reset: its next try goes out on a new connection. Writes
        # are not sent on new connections as such: each director doing so kept dozens of idle ones at the
        # origin, whose table, shared by a fleet, turned nine writes in ten away (docs/design/fleet.md).
        attempt.new_connection = open_request.reset
        open_request.flight = attempt
        self.counters.attempts += 1
        if self.on_attempt is not None:
            self.on_attempt(attempt, None)
        if due < open_request.deadline:
            self._set_timer(due, ATTEMPT, attempt)
        self.backend.send(attempt, entry)

    def _refuse_to_send(self, a, number: int, final: bool) -> None:
        self.counters.moot += 1
        self._events.append(api.AttemptFinished(a.request, number, a.server, AttemptStatus.MOOT, 0, final))

    def _fail(self, a) -> None:
        self._end(a.request, Answer(FinalOutcome.FAILED))

    def _refuse(self, a) -> None:
        open_request = self._open.get(a.request)
        if open_request is not None and not open_request.may_be_refused:
            # Guards the rule on refusals: they tell the client that another try does no harm.
            return self._end(a.request, Answer(FinalOutcome.FAILED))
        self._end(a.request, Answer(FinalOutcome.REJECTED, retry_after_us=a.retry_after_us))

    def _end(self, ident: int, answer: Answer) -> None:
        open_request = self._open.get(ident)
        if open_request is not None:
            self._answer(open_request, answer)
            self._call_off(open_request)

    def _answer(self, open_request: OpenRequest, answer: Answer) -> None:
        del self._open[open_request.id]
        self._request_ids.discard(open_request.request.request_id)
        self.counters.ended(open_request.request.class_name, answer.outcome)
        open_request.reply(answer)

    def _call_off(self, open_request: OpenRequest) -> None:
        attempt, open_request.flight = open_request.flight, None
        if attempt is not None and not attempt.is_finished:
            self.backend.undo(attempt)
            self.finished(attempt, AttemptResult(AttemptStatus.CANCELLED))

    def _cancel_attempt(self, a) -> None:
        open_request = self._open.get(a.request)
        attempt = open_request.flight if open_request is not None else None
        if attempt is not None and attempt.number == a.attempt:
            self.backend.undo(attempt)
            self.finished(attempt, AttemptResult(AttemptStatus.CANCELLED))

    def _module_timer(self, a) -> None:
        self._set_timer(self._now + a.delay_us, ROUTER, a.token)

    def _send_peer(self, a) -> None:
        if self.settings.allows_peer_messages and len(a.data) <= 256:
            self.peers.send(a.peer, a.data)

    def _fault(self, a) -> None:
        self.log("module_fault", "error", text=a.text)


ACTIONS = {
    api.Fetch: Engine._fetch,
    api.FetchCached: Engine._fetch,
    api.Fail: Engine._fail,
    api.Reject: Engine._refuse,
    api.CancelAttempt: Engine._cancel_attempt,
    api.SetTimer: Engine._module_timer,
    api.CloseIdleConnections: lambda engine, a: engine.backend.close_idle(a.server),
    api.SendPeerMessage: Engine._send_peer,
    api.WriteLog: lambda engine, a: engine.log("module", text=a.text),
    api.InternalError: Engine._fault,
    # The list is pushed by the coordinator, and caches may not be probed.
    api.SubscribeMembership: lambda engine, a: None,
    api.ReloadMembership: lambda engine, a: None,
    api.StartHealthCheck: lambda engine, a: None,
}
