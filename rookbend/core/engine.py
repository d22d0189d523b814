"""The engine: feeds events to the module, carries out its actions, owns requests and timers.

Whatever the module decides, the engine keeps to this: one final answer a request, by its deadline; one
attempt at a time, `max_attempts` at most; no repeat of a write that may have run; nothing to a member that
drains or is gone, and nothing decided before a purge that was told since.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from typing import Protocol

from rookbend import interface as api
from rookbend.core.clock import Clock
from rookbend.core.counters import Counters
from rookbend.core.model import Answer, Attempt, Entry, Purge, Request, Result, RosterChange, Verdict
from rookbend.interface import Effect, ListKind, MemberState, Status

ATTEMPT, REQUEST, ROUTER = range(3)     # what a timer is for
COUNTED = {s: s.name.lower() for s in Status if s is not Status.CANCELLED}


class Backend(Protocol):
    """Carries attempts to members."""

    def send(self, attempt: Attempt, entry: Entry) -> None: ...

    def undo(self, attempt: Attempt) -> Status:
        """Gives the attempt up; tells whether it may have run (TIMEOUT) or never did (CONNECT_FAILED)."""

    def forget(self, server: int) -> None: ...

    def close_idle(self, server: int) -> None: ...


class Peers(Protocol):
    def send(self, peer: int | None, data: bytes) -> None: ...


class Live:
    """A request that is owed its final answer."""

    __slots__ = ("attempts", "deadline", "flight", "id", "may_have_run", "reply", "request", "reset", "write")

    def __init__(self, ident, request, reply, write):
        self.id, self.request, self.reply, self.write = ident, request, reply, write
        self.deadline = request.deadline_us
        self.attempts, self.flight, self.may_have_run, self.reset = 0, None, False, False


class Engine:
    def __init__(self, settings: api.Settings, router, clock: Clock, counters: Counters,
                 log: Callable[..., None]):
        self.settings, self.router, self.clock = settings, router, clock
        self.counters, self.log = counters, log
        self.backend: Backend | None = None
        self.peers: Peers | None = None
        self.entries: dict[int, Entry] = {}
        self.lag_us = 0         # how late the loop ran last: what is read now may have waited as long
        self.on_timer_change: Callable[[int], None] = lambda due: None
        self.on_attempt_end: Callable[[int, Status], None] | None = None    # what health hears of attempts
        # What recovery hears of them: as one goes out (None), and how it ended.
        self.on_attempt: Callable[[Attempt, Result | None], None] | None = None
        self.on_peer: Callable[[int, bytes], bool] | None = None    # takes what is not the module's
        self.oldest_us = 0      # copies that left the origin before are not asked for; 0: as the module says
        self._live: dict[int, Live] = {}
        self._rids: set[str] = set()        # of the open requests
        self._last_id = 0
        self._timers: list[tuple] = []
        self._timer_number = 0
        self._armed = 0
        self._events: deque = deque()
        self._pumping = False
        self._now = 0
        self._purged_objects: dict[int, int] = {}   # when a purge was told, until all older copies are gone
        self._purged_groups: dict[int, int] = {}
        self._settle_at = 0

    # What fronts call

    @property
    def open_requests(self) -> int:
        return len(self._live)

    def submit(self, request: Request, reply: Callable[[Answer], None]) -> Live | None:
        """Takes a request; `reply` is called exactly once, unless the request is cancelled first."""
        now = self.clock.now()
        self.counters.requests += 1
        self.counters.retries += request.is_retry
        if self._settle_at:
            request.deadline_us = min(request.deadline_us, self._settle_at)
        if request.deadline_us <= now or request.rid in self._rids:
            # An id in use names another request: members could not tell the two apart.
            self.counters.failed += 1
            reply(Answer(Verdict.FAILED))
            return None
        self._rids.add(request.rid)
        ident = self._last_id = self._last_id % 0xFFFFFFFF + 1
        cls = self.settings.classes[request.traffic_class]
        live = self._live[ident] = Live(ident, request, reply, cls.write or cls.effect is not Effect.SAFE)
        self._set_timer(request.deadline_us, REQUEST, live)
        self._post(api.RequestArrived(
            ident, request.traffic_class, request.object_id, request.deadline_us, 0.0, request.group,
            request.part, 0, request.is_retry, cls.write,
        ))
        return live

    def cancel(self, live: Live | None) -> None:
        """The client has gone: nobody waits for an answer, and none is given."""
        if live is None or self._live.pop(live.id, None) is None:
            return
        self._rids.discard(live.request.rid)
        self.counters.cancelled += 1
        self._post(api.RequestCancelled(live.id))
        self._call_off(live)

    def settle_by(self, at_us: int) -> None:
        """No request, open or to come, is answered later than this."""
        self._settle_at = at_us
        for live in list(self._live.values()):
            if live.deadline > at_us:
                live.deadline = at_us
                self._set_timer(at_us, REQUEST, live)

    # What the coordinator's watch and the peers call

    def roster_changed(self, change: RosterChange) -> None:
        """The roster, or a part of it, as the coordinator tells it, or as health weighs it: from here on
        nothing new goes to a member that is not in service."""
        self.counters.roster_changes += 1
        self._apply(change)

    def judged(self, entries: list[Entry]) -> None:
        """Members whose state or weight differs from what the roster says, by other evidence."""
        self.counters.judgements += len(entries)
        self._apply(RosterChange(False, 0, entries))

    def _apply(self, change: RosterChange) -> None:
        if change.complete:
            named = {e.member.server for e in change.entries}
            for server in [s for s in self.entries if s not in named]:
                self._drop(server)
        for entry in change.entries:
            if entry.member.state is MemberState.GONE:
                self._drop(entry.member.server)
            else:
                old = self.entries.get(entry.member.server)
                if old is not None and old.address != entry.address:
                    self.backend.forget(entry.member.server)
                self.entries[entry.member.server] = entry
        self._post(api.MembersChanged(
            ListKind.FULL if change.complete else ListKind.DELTA, change.version,
            tuple(e.member for e in change.entries)))

    def _drop(self, server: int) -> None:
        if self.entries.pop(server, None) is not None:
            self.backend.forget(server)

    def purged(self, purge: Purge) -> None:
        self.counters.purges += 1
        now = self.clock.now()
        told = self._purged_groups if purge.object_id is None else self._purged_objects
        name = purge.group if purge.object_id is None else purge.object_id
        told.pop(name, None)
        told[name] = now
        while (oldest := next(iter(told))) != name and told[oldest] < now - 2 * self.settings.purge_takes_us:
            del told[oldest]
        age = max(0, now - purge.unix_us)
        if self.settings.purge_takes_us and age > self.settings.purge_takes_us:
            # Guards against a system clock that is ahead: by it every purge is too old to matter, and older
            # copies were served. One so late counts as made now: that is stricter, never less.
            age = 0
        self._post(api.Purged(purge.object_id or 0, purge.group, age))

    def limit(self, closed: frozenset[int], per_s: float | None) -> None:
        """Limits for the module: see `interface.Limited`."""
        self._post(api.Limited(closed, per_s))

    def peer_message(self, sender: int, data: bytes) -> None:
        self.counters.peer_messages += 1
        if self.on_peer is not None and self.on_peer(sender, data):
            return
        self._post(api.PeerMessage(sender, data))

    # What the backend calls

    def serving(self, server: int) -> bool:
        entry = self.entries.get(server)
        return entry is not None and entry.member.state is MemberState.READY

    def may_write(self, attempt: Attempt) -> bool:
        """Asked as the attempt's first byte is written, after any wait for a connection or a full buffer.

        Guards against what was told in between: a drain of the cache or of the source, or a purge that
        the age limit, fixed when the attempt was decided, does not know of.
        """
        if attempt.over:
            return False
        source = attempt.source
        if not self.serving(attempt.server) or (source and not self.serving(source)):
            return False
        if attempt.due_us <= self.clock.now():
            return False
        told = self._purged_objects.get(attempt.request.object_id, 0)
        return max(told, self._purged_groups.get(attempt.request.group, 0)) <= attempt.sent_us

    def finished(self, attempt: Attempt, result: Result) -> None:
        """The attempt has ended. Told once; what comes after is ignored."""
        if attempt.over:
            return
        attempt.over = True
        status = result.status
        if (name := COUNTED.get(status)) is not None:
            setattr(self.counters, name, getattr(self.counters, name) + 1)
        live = self._live.get(attempt.id)
        if live is not None and live.flight is attempt:
            live.flight = None
            if status not in api.NEVER_RAN:
                live.may_have_run = True
            live.reset |= status is Status.RESET
            if status is Status.OK:
                self._answer(live, Answer(Verdict.SERVED, result.body, result.unchanged, 0, attempt.server))
                live = None
        self._post(api.AttemptFinished(
            attempt.id, attempt.number, attempt.server, status, self.clock.now() - attempt.sent_us,
            live is None, result.note, result.fill_wait_us, result.load))
        if self.on_attempt_end is not None:
            self.on_attempt_end(attempt.server, status)
        if self.on_attempt is not None:
            self.on_attempt(attempt, result)

    # Timers

    def _set_timer(self, due: int, kind: int, what) -> None:
        self._timer_number += 1
        heapq.heappush(self._timers, (due, self._timer_number, kind, what))
        if due < self._armed or not self._armed:
            self._armed = due
            self.on_timer_change(due)

    def run_due(self) -> int:
        """Runs every timer that is due; returns when the next one is, or 0."""
        timers, now = self._timers, self.clock.now()
        while timers and timers[0][0] <= now:
            _, _, kind, what = heapq.heappop(timers)
            if kind == ROUTER:
                self._post(api.TimerFired(what))
            elif kind == ATTEMPT:
                if not what.over:
                    self.finished(what, Result(self.backend.undo(what)))
            elif what.id in self._live and what.deadline <= now:
                self._deadline(what)
        self._armed = timers[0][0] if timers else 0
        return self._armed

    def _deadline(self, live: Live) -> None:
        """The deadline guard: guards against a module that still holds the request when its time is over."""
        if live.flight is not None:
            self.finished(live.flight, Result(self.backend.undo(live.flight)))
        if self._live.get(live.id) is live:
            self.counters.late_guard += 1
            self._answer(live, Answer(Verdict.FAILED))
            self._post(api.RequestCancelled(live.id))

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
        live = self._live.get(a.request)
        if live is None:
            return self._refuse_to_send(a, 0, True)
        number = live.attempts
        live.attempts += 1
        entry = self.entries.get(a.server)
        if (live.flight is not None or number >= self.settings.max_attempts or entry is None
                or (live.write and live.may_have_run) or live.deadline <= now):
            return self._refuse_to_send(a, number, False)
        due = min(now + a.timeout_us, live.deadline) if a.timeout_us else live.deadline
        attempt = Attempt(live.request, live.id, number, a.server, 0, now, due)
        if type(a) is api.Fetch:
            attempt.source = 0 if a.source == a.server else a.source
            attempt.keep, attempt.max_age_us, attempt.join = a.keep, a.max_age_us, a.join
            attempt.only_if_held, attempt.renew = a.only_if_held, a.renew
            attempt.parent_keeps_none = a.parent_keeps_none
            if self.oldest_us:
                # Guards against a purge that was told while nobody listened: see recovery/gap.py.
                young = max(1, now - self.oldest_us)
                attempt.max_age_us = min(attempt.max_age_us or young, young)
        # Guards a request that was lost once to a reset: its next try goes out on a new connection. Writes
        # are not sent on new connections as such: each director doing so kept dozens of idle ones at the
        # origin, whose table, shared by a fleet, turned nine writes in ten away (docs/design/fleet.md).
        attempt.fresh = live.reset
        live.flight = attempt
        self.counters.attempts += 1
        if self.on_attempt is not None:
            self.on_attempt(attempt, None)
        if due < live.deadline:
            self._set_timer(due, ATTEMPT, attempt)
        self.backend.send(attempt, entry)

    def _refuse_to_send(self, a, number: int, final: bool) -> None:
        self.counters.moot += 1
        self._events.append(api.AttemptFinished(a.request, number, a.server, Status.MOOT, 0, final))

    def _fail(self, a) -> None:
        self._end(a.request, Answer(Verdict.FAILED))

    def _refuse(self, a) -> None:
        live = self._live.get(a.request)
        if live is not None and live.write and (live.may_have_run or live.flight is not None):
            # Guards the rule on refusals: they tell the client that another try does no harm.
            return self._end(a.request, Answer(Verdict.FAILED))
        self._end(a.request, Answer(Verdict.REFUSED, backoff_us=a.retry_after_us))

    def _end(self, ident: int, answer: Answer) -> None:
        live = self._live.get(ident)
        if live is not None:
            self._answer(live, answer)
            self._call_off(live)

    def _answer(self, live: Live, answer: Answer) -> None:
        del self._live[live.id]
        self._rids.discard(live.request.rid)
        name = answer.verdict.value
        setattr(self.counters, name, getattr(self.counters, name) + 1)
        live.reply(answer)

    def _call_off(self, live: Live) -> None:
        attempt, live.flight = live.flight, None
        if attempt is not None and not attempt.over:
            self.backend.undo(attempt)
            self.finished(attempt, Result(Status.CANCELLED))

    def _cancel_attempt(self, a) -> None:
        live = self._live.get(a.request)
        attempt = live.flight if live is not None else None
        if attempt is not None and attempt.number == a.attempt:
            self.backend.undo(attempt)
            self.finished(attempt, Result(Status.CANCELLED))

    def _module_timer(self, a) -> None:
        self._set_timer(self._now + a.delay_us, ROUTER, a.token)

    def _send_peer(self, a) -> None:
        if self.settings.peers and len(a.data) <= 256:
            self.peers.send(a.peer, a.data)

    def _fault(self, a) -> None:
        self.log("module_fault", "error", text=a.text)


ACTIONS = {
    api.Fetch: Engine._fetch,
    api.Lookup: Engine._fetch,
    api.Fail: Engine._fail,
    api.Refuse: Engine._refuse,
    api.CancelAttempt: Engine._cancel_attempt,
    api.SetTimer: Engine._module_timer,
    api.CloseIdle: lambda engine, a: engine.backend.close_idle(a.server),
    api.SendPeer: Engine._send_peer,
    api.LogLine: lambda engine, a: engine.log("module", text=a.text),
    api.Fault: Engine._fault,
    # The list is pushed by the coordinator, and caches may not be probed.
    api.WatchMembers: lambda engine, a: None,
    api.ReloadMembers: lambda engine, a: None,
    api.Probe: lambda engine, a: None,
}
