"""The router: events in, actions out; lists, timers and the ordinary path.

A cachable request without a mark leads, to the hashed cache and parent; one that finds a mark waits."""

from rookbend import interface as api
from rookbend.routing.endpoint_selection import Placing
from rookbend.routing.fill_concurrency import ColdBudget, FillLimit
from rookbend.routing.membership import Bounded, ClassStats, Membership, PurgeLedger, mix
from rookbend.routing.outlier_detection import Health
from rookbend.routing.request_state import Flight, Mark, Request
from rookbend.routing.retry_policy import Outcomes

TABLE_SHARE = 0.5  # marks at most, as a share of the requests a router may hold
MEMORY_SHARE = 1.0  # remembered objects at most, same unit
EXIT_MARGIN = 1.5  # a waiter leaves when this many of its own sending times are left before its aim
HELD_SHARE = 0.5  # an answer proves the copy held for this share of the purge time
SILENT_TO_EJECT = 3  # attempts overdue with no answer since they were sent: the server is silent
ASK_SHARE = 0.125  # a failed subscription is asked for again after this share of the time stated
GUESS = 0.3  # of a guessed sending time is sure enough to refuse by: most objects are small
WATCH = "watch"


class Router(Placing, Outcomes):
    """One router. Feed it events in order; it answers each with the actions to take."""

    def __init__(self, settings, seed=0):
        self.s = settings
        self.members = Membership(settings)
        self.health = Health(settings)
        self.cold = ColdBudget(settings, self.members)
        self.purges = PurgeLedger(settings)
        self.limit, self.waiting = FillLimit(), []
        self.stats = [ClassStats(c) for c in settings.classes]
        self.memory = Bounded(MEMORY_SHARE * settings.max_requests_in_flight)  # key: (served where, when, sending time)
        self.mark_limit = max(1, int(TABLE_SHARE * settings.max_requests_in_flight))
        self.marks, self.open, self.flights, self.timers = {}, {}, {}, {}
        self.token, self.now, self.out, self.asked = 0, 0, [], False
        self.closed, self.seed = frozenset(), seed

    def handle(self, now_us, event):
        self.now, self.out = now_us, []
        self.cold.born = self.cold.born or now_us
        HANDLERS.get(type(event), lambda router, event: None)(self, event)
        return self.out

    # Lists, purges, timers

    def on_members(self, event):
        for server in self.members.apply(event):
            self.health.get(server).reset()
        known = self.health.servers
        for server in [k for k in known if k not in self.members.all and not known[k].out + known[k].filling]:
            del known[server]  # replacements come under new ids: the departed are forgotten
            self.cold.sent.pop(server, None)
        self.limit.resize(sum(map(self.members.weight, self.members.caches)), self.cold.location_routers())
        if not self.s.membership_is_pushed and not self.asked:
            self.asked = True
            self.out.append(api.SubscribeMembership(True))
        elif not self.s.membership_is_pushed and event.kind is api.MembershipUpdateKind.FAILED:
            self.set_timer(ASK_SHARE * self.s.membership_poll_interval_us, WATCH)

    def on_limited(self, event):
        self.closed = event.rejected_classes
        self.limit.pace(self.now, event.fills_per_second, mix(self.seed ^ self.s.router_index) % 1024 / 1024)
        while (
            self.limit.limit
            and self.limit.has_place(self.now)
            and (fitting := [w for w in self.waiting if self.in_time(w)])
        ):
            self.release(fitting)

    def on_settings(self, event):  # classes join or change in their places: their numbers go on
        for part in (self, self.members, self.health, self.cold, self.purges):
            part.s = event.settings
        self.stats += [ClassStats(c) for c in event.settings.classes[len(self.stats) :]]

    def release(self, fitting):
        best = max(fitting, key=lambda w: w.cls.priority_weight / max(w.work, 1.0))  # by worth for its bytes
        self.waiting.remove(best)
        self.send(best)

    def set_timer(self, delay, request):
        self.token += 1
        self.timers[self.token] = request
        if type(request) is Request:
            request.timer = self.token  # only the newest timer of a request counts
        self.out.append(api.SetTimer(max(1, int(delay)), self.token))

    def on_timer(self, event):
        request = self.timers.pop(event.token, None)
        if request is WATCH:
            self.out.append(api.SubscribeMembership(True))
        elif type(request) is Flight:
            self.overdue(request)
        elif request is None or request.id not in self.open or request.flight or request.timer != event.token:
            return
        elif request.mark is not None and not request.leading:
            self.leave(request)  # near its aim: it goes at once, joining
        elif request in self.waiting:
            self.give_up(request)
        elif request.write:
            self.send_write(request)

    def overdue(self, f):
        """Silence: nothing came from a cache, or by a parent, since several overdue attempts were sent.
        Guards against hung and vanished servers without ending slow fills; any answer clears it. A parent
        is only silent while another one answers: else it is the link or the origin."""
        if self.flights.get((f.request.id, f.number)) is not f:
            return
        parents = self.members.parents
        self.silence(f, f.server, lambda g: g.server == f.server)
        others = (self.health.get(p.server) for p in parents if p.server != f.source)
        if f.fills and any(h.last_ok >= f.sent for h in others):
            self.silence(f, f.source, lambda g: g.fills and g.source == f.source)

    def silence(self, f, server, there):
        h = self.health.get(server)
        if h.last_ok >= f.sent:
            return
        h.silent += 1
        if h.silent >= SILENT_TO_EJECT:
            self.health.eject(server, self.now)
        if self.now < h.until and self.s.allows_cancellation:
            for g in [g for g in self.flights.values() if there(g) and g.sent > h.last_ok]:
                if g.request.flight is g and not g.request.write:
                    g.blamed = server
                    self.out.append(api.CancelAttempt(g.request.id, g.number))

    # The ordinary path

    def on_request(self, event):
        if event.traffic_class >= len(self.s.classes):
            return self.out.append(api.Fail(event.request))
        cls = self.s.classes[event.traffic_class]
        r = Request(event, cls, self.stats[event.traffic_class], self.now)
        r.work = self.sending_time(r, event.size_kb)
        r.least = r.work if r.sized or r.key in self.memory else GUESS * r.work
        r.aim = min(self.now + cls.latency_objective_us + cls.latency_objective_stretch * r.work, r.deadline)
        self.open[r.id] = r
        if event.traffic_class in self.closed:
            return self.give_up(r)
        self.send_write(r) if r.write else self.enter(r)

    def sending_time(self, r, size_kb):
        if size_kb > 0 and self.s.pace_kb_per_s > 0:
            work = size_kb / self.s.pace_kb_per_s * 1e6
            r.stats.add(work)
            r.sized = True
            return work
        return self.memory.get(r.key, (0, 0, r.stats.mean))[2]

    def enter(self, r):
        """Wait behind a lead, or lead."""
        purged = self.purges.latest(r.object, r.group, self.now)
        mark = self.marks.get(r.key)
        if mark is not None and purged is not None and mark.began <= purged:
            self.marks.pop(r.key)  # that fill may bring the purged copy: never wait on it
            self.lead(r, mark.waiters)
        elif mark is None and self.held_at(r, purged) is not None:
            self.send(r)  # exception: held there a moment ago, so there is no fill to wait for
        elif mark is None:
            self.lead(r)
        else:
            r.mark = mark
            mark.waiters.append(r)
            wait = r.aim - EXIT_MARGIN * r.work - self.now
            self.set_timer(wait, r) if wait > 0 else self.leave(r)

    def held_at(self, r, purged):
        row = self.memory.get(r.key)
        if row is None or (purged is not None and row[1] <= purged):
            return None
        life = HELD_SHARE * self.s.purge_propagation_us
        if r.cls.freshness_lifetime_us:
            life = min(life, r.cls.freshness_lifetime_us)
        return row[0] if self.now - row[1] <= life and self.members.ready(row[0]) else None

    def lead(self, r, waiters=()):
        if len(self.marks) >= self.mark_limit:
            return self.send(r)  # the table is at its bound: go past it, joining at the cache
        r.mark = mark = self.marks[r.key] = Mark(r, self.now)
        r.leading = True
        for w in waiters:
            w.mark = mark
            mark.waiters.append(w)
        self.send(r)

    def leave(self, r):
        mark = r.mark
        self.forget(r)
        self.send(r, mark.server, mark.source)

    def drop_mark(self, r):
        """Takes a leader's mark away; returns it if it was still the one in the table."""
        mark, r.mark, r.leading = r.mark, None, False
        ours = mark is not None and mark.leader is r and self.marks.get(r.key) is mark
        return self.marks.pop(r.key) if ours else None

    def served(self, r, server, source):
        """The lead was served: its waiters go to that cache, same source, joining."""
        mark = self.drop_mark(r)
        for w in mark.waiters if mark else ():
            w.mark = None
            self.send(w, server, source)

    def pass_lead(self, r):
        mark = self.drop_mark(r)
        if mark and mark.waiters:  # the lead failed: nothing is handed on, the oldest waiter leads
            self.lead(mark.waiters.popleft(), mark.waiters)


HANDLERS = {
    api.MembershipUpdated: Router.on_members,
    api.RequestArrived: Router.on_request,
    api.AttemptFinished: Router.on_finished,
    api.RequestCancelled: Router.on_cancelled,
    api.TimerFired: Router.on_timer,
    api.ResponseStarted: lambda router, event: router.health.alive(event.server, router.now),
    api.PurgeReceived: lambda router, event: router.purges.note(router.now, event),
    api.AdmissionLimitsChanged: Router.on_limited,
    api.SettingsChanged: Router.on_settings,
    api.ActiveProcessesChanged: lambda router, event: setattr(router.cold, "senders", event.processes),
}
