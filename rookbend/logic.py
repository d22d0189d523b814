"""Every decision of the router. Types, events and actions: see interface.py.

A cachable request without a mark leads, to the hashed cache and parent; one that finds a mark waits."""

from __future__ import annotations

import math
from collections import OrderedDict, deque

from rookbend import interface as api
from rookbend.interface import Effect, ListKind, MemberState, Note, Status

# Tuned values: ratios of the settings or of what was observed.
TABLE_SHARE = 0.5        # marks at most, as a share of the requests a router may hold
MEMORY_SHARE = 1.0       # remembered objects at most, same unit
EXIT_MARGIN = 1.5        # a waiter leaves when this many of its own sending times are left before its aim
HELD_SHARE = 0.5         # an answer proves the copy held for this share of the purge time
SOFT_WAIT, SOFT_STRETCH = 0.7, 1.7   # overdue after these shares of aim and sending time
HARD_WAIT, HARD_STRETCH = 6.0, 6.0   # given up after these: a fill runs on, so an early end only adds one
SILENT_TO_EJECT = 3      # attempts overdue with no answer since they were sent: the server is silent
WRITE_WAIT = 0.45        # time-out of a write, share of its aim
HIT_DELAY, SLOW_FROM = 0.1, 1.5  # slow: hits take over this multiple of sending time and share of aim
SLOWEST = 4.0            # a slow server stretches time-outs and shrinks its share by this at most
CROWD = 1.5              # a cache is crowded for a request that would take this multiple of the time left
STEP_TO, STEP_SLOW = 0.33, 1.5   # a crowded cache less slow than this is left only for this share of its load
PARENT_CROWD = 4.0       # a parent is crowded above this multiple of this router's share of its link
FAILS_TO_EJECT = 3       # failures in a row
ERROR_RATE = 0.45        # or this failure rate over about ERROR_SPAN attempts
ERROR_SPAN = 8
ERRORS_ITS_OWN = 3       # servers that err on a request before it, not they, is at fault
HOLD_OFF = 3.0           # first ejection, in connect time-outs; doubles
HOLD_OFF_MOST = 0.5      # longest ejection, share of the warm-up time
FULL_PAUSE = 0.5         # passed over after turning one away; a write's first pause: connect time-outs
COLD_MARGIN = 0.7        # share of the cold budget used
COLD_CAP = 1.7           # and never more than this multiple of the present capacity
RESTART_SHARE = 0.5      # of those budgets while this router does not know what its past life sent
WORK_MARGIN = 1.25       # over the observed mean sending time
PRIOR_SAMPLES = 10       # weight of the guess (PRIOR_AIM of the aim) in that mean
PRIOR_AIM = 1.5
PURGE_MARGIN = 1.15      # purges are kept in mind this multiple of their stated time
REPORT_LIFE = 4.0        # a load report counts for this many connect time-outs
LATE_SHARE = 0.06        # of fills may come late before fewer are let out at once
LIMIT_STEP = 0.05        # share by which it falls with a late one, times the root of the location's routers
LIMIT_GAIN = 0.06        # fills it gains for each timely one while it is low
LIMIT_LEAST = 0.08       # fills a router may always have out,
LIMIT_START = 1.0        # at first,
LIMIT_MOST = 4.0         # and at most: in transfers of its share of the location's caches
LATE_AT, FILL_TAKES = 0.8, 2.5  # a fill is late from this share of its aim; takes so many sending times
PEEK_HELD, PEEK_ASKED, LATE_SPAN = 0.05, 0.25, 24   # late shares that tell a slow origin from a full link
LEAST_LEFT = 0.5         # no attempt where less than this share of its sending time is left

PACE_BURST, SPREAD = 0.5, 0.5    # under a limit from outside: seconds of fills at once, least share of a wait
ASK_SHARE = 0.125        # a failed subscription is asked for again after this share of the time stated

MASK, WATCH = (1 << 64) - 1, "watch"


def mix(value: int) -> int:
    """A fixed 64-bit mixer: the same at every router and in every process."""
    value = (value + 0x9E3779B97F4A7C15) & MASK
    value = ((value ^ value >> 30) * 0xBF58476D1CE4E5B9) & MASK
    value = ((value ^ value >> 27) * 0x94D049BB133111EB) & MASK
    return value ^ value >> 31


class Bounded(OrderedDict):     # a table that forgets its oldest rows beyond a limit

    def __init__(self, limit):
        super().__init__()
        self.limit = max(1, int(limit))

    def put(self, key, row):
        self[key] = row
        self.move_to_end(key)
        if len(self) > self.limit:
            self.popitem(last=False)


class Membership:
    """The last list: who is ready, in what role, and the rendezvous order of an object over them."""

    def __init__(self, settings):
        self.s, self.all, self.orders = settings, {}, Bounded(settings.max_open)
        self.caches, self.parents, self.origins = [], [], []
        self.rows = [], []      # caches, parents: each with what its place in an order rests on

    def apply(self, event):
        """Takes a list or a change; returns the servers that are new or restarted."""
        old = self.all
        new = dict(old) if event.kind in (ListKind.DELTA, ListKind.FAILED) else {}
        for m in event.members:
            new[m.server] = m
        self.all = new = {k: m for k, m in new.items() if m.state is not MemberState.GONE}
        zone, parent, origin = self.s.zone, self.s.parent_kind, self.s.origin_kind
        rows = sorted(new.values(), key=lambda m: m.server)
        self.caches = [m for m in rows if m.kind not in (parent, origin) and m.zone == zone]
        self.parents = [m for m in rows if m.kind == parent]
        self.origins = [m for m in rows if m.kind == origin]
        self.rows = tuple(
            [(mix(m.server), self.weight(m), m) for m in role] for role in (self.caches, self.parents))
        self.orders.clear()
        return [k for k, m in new.items() if k not in old or m.started_us > old[k].started_us]

    def ready(self, server):
        """Checked at every send, for sources, retries and released waiters too: drains bind all."""
        m = self.all.get(server)
        return m is not None and m.state is MemberState.READY

    def weight(self, m):
        return max(m.weight, 1e-3) if self.s.weights in ("nominal", "rough") else 1.0

    def order(self, key):
        """(caches, parents) of an (object, part), best first; draining ones stay in: the hash is stable.
        Parts are kept each by itself and spread over the caches; an object's fills meet at one parent."""
        if key not in self.orders:
            at = key[0] ^ mix(key[1])
            self.orders.put(key, (self.rank(self.rows[0], at), self.rank(self.rows[1], key[0])))
        return self.orders[key]

    def rank(self, rows, object_id):
        def score(row):
            return -math.log(((mix(object_id ^ row[0]) >> 11) + 0.5) / (1 << 53)) / row[1]
        return [row[2] for row in sorted(rows, key=score)]


class Server:
    """What this router has seen of one cache, parent or origin."""

    def __init__(self):
        self.out = self.filling = 0         # attempts out at it; attempts that may fill from it
        self.full_until = self.last_ok = 0  # passed over until, last served
        self.report = None                  # (time, requests it held, ours then)
        self.reset()

    def reset(self):
        self.fails = self.silent = 0        # failures in a row; overdue attempts since it last answered
        self.error, self.slow = 0.0, 1.0    # failure rate; how much slower than its pace it sends hits
        self.until = self.hold = 0          # ejected until, for how long
        self.trial = False                  # after that: one attempt at a time until the first success

    def slowness(self):
        return min(max(1.0, self.slow), SLOWEST)


class Health:
    """Ejection by failures, readmission by a trickle, and how slow each server is."""

    def __init__(self, settings):
        self.s, self.servers = settings, {}

    def get(self, server):
        if server not in self.servers:
            self.servers[server] = Server()
        return self.servers[server]

    def alive(self, server, now):
        h = self.get(server)
        h.silent, h.last_ok = 0, now
        return h

    def success(self, server, now):
        h = self.alive(server, now)
        h.fails = h.until = 0
        h.error *= 1 - 1 / ERROR_SPAN
        h.trial, h.hold = False, 0

    def failure(self, server, now):
        h = self.get(server)
        h.fails += 1
        h.error += (1 - h.error) / ERROR_SPAN
        if h.trial or h.fails >= FAILS_TO_EJECT or h.error > ERROR_RATE:
            self.eject(server, now)

    def eject(self, server, now):
        h = self.get(server)
        if now < h.until:
            return
        first = HOLD_OFF * self.s.connect_timeout_us
        h.hold = min(max(first, h.hold * 2), max(first, HOLD_OFF_MOST * self.s.warm_up_us))
        h.until, h.trial = now + h.hold, True

    def open(self, server, now, using=0):
        h = self.get(server)
        return now >= h.until and not (h.trial and using)


class ColdBudget:
    """Work sent to each server over the fall window. A cold one gets no more than its share allows."""

    def __init__(self, settings, members):
        self.s, self.members, self.sent, self.born = settings, members, {}, None

    def charge(self, server, now, work):
        log = self.sent.setdefault(server, deque())
        log.append((now, work))
        while log[0][0] < now - self.s.fall_us:
            log.popleft()

    def spent(self, server, now):
        return sum(work for at, work in self.sent.get(server, ()) if at >= now - self.s.fall_us)

    def warmth(self, m, now):
        """Share of its capacity that a server is sure to have, the slowest stated ramp assumed."""
        if not m.started_us:
            return 1.0
        least, whole = self.s.cold_share, self.s.warm_up_us
        if m.kind == self.s.parent_kind:
            least, whole = self.s.parent_cold_share, self.s.parent_warm_up_us
        age = now - m.started_us
        if m.kind == self.s.origin_kind or age >= whole:
            return 1.0
        return least + (1 - least) * max(age, 0) / whole

    def allows(self, m, now, work):
        if not m.started_us or self.warmth(m, now) >= 1.0:
            return True
        multiple, sharing = self.s.fall_multiple, self.location_routers()
        if m.kind == self.s.parent_kind:
            multiple, sharing = self.s.parent_fall_multiple, self.s.router_count
        # The oldest moment of the window counts: what it could do then, not what it can do now.
        share = self.warmth(m, max(now - self.s.fall_us, m.started_us))
        share *= self.members.weight(m) / sharing
        budget = min(multiple * COLD_MARGIN, COLD_CAP) * share * self.s.fall_us
        budget *= RESTART_SHARE if now - self.born < self.s.fall_us else 1.0
        if m.kind == self.s.parent_kind and budget < work:
            # Less than one fill for each router: those whose turn it is hold whole ones, more as it warms.
            turn = (self.s.router_index + mix(m.server)) % sharing + 1
            budget = work if turn * work <= budget * sharing else 0.0
        return self.spent(m.server, now) + work <= budget

    def location_routers(self):
        seats = self.s.routers_by_zone
        return max(1, seats[self.s.zone] if self.s.zone < len(seats) else self.s.router_count)


class FillLimit:
    """How many fills this router lets out at once over the location's link: fewer when they come late, be it
    a full link, slow parent, crowded origin or wave of misses. The others look, then wait."""

    def __init__(self):
        self.late = {Note.FILLED: 0.0, Note.ORIGIN_ASKED: 0.0}      # share late: held there, and asked for
        self.out, self.limit, self.whole, self.step = 0, None, 1.0, LIMIT_STEP
        self.per_s, self.tokens, self.at = None, 0.0, 0     # from outside: how many a second

    def resize(self, transfers, routers):   # what the location's caches carry, and how many routers share it
        whole = transfers / routers
        self.whole, self.step = max(whole, 1.0), min(LIMIT_STEP * math.sqrt(routers), 0.5)
        self.limit = LIMIT_START * whole if self.limit is None else self.limit
        self.limit = min(max(self.limit, LIMIT_LEAST * self.whole), LIMIT_MOST * self.whole)

    def has_place(self, now):
        return self.out < self.limit and (self.per_s is None or self.filled(now) >= 1)

    def filled(self, now):
        most = max(1.0, PACE_BURST * self.per_s)
        self.tokens = min(most, self.tokens + (now - self.at) * self.per_s / 1e6)
        self.at = now
        return self.tokens

    def pace(self, now, per_s, first):
        if self.per_s is None:
            self.tokens, self.at = first, now       # a draw: routers limited together don't begin in step
        elif per_s is not None:
            self.filled(now)
        self.per_s = per_s

    def observe(self, late):
        if late:
            self.limit = max(LIMIT_LEAST * self.whole, self.limit * (1 - self.step))
        elif self.out + 1 > self.limit / 2:
            gain = max(LIMIT_GAIN, self.limit * self.step * LATE_SHARE / (1 - LATE_SHARE))
            self.limit = min(LIMIT_MOST * self.whole, self.limit + gain)


class PurgeLedger:
    """Purges by object and by group, until every older copy is gone."""

    def __init__(self, settings):
        self.s, self.made = settings, Bounded(settings.max_open)

    def note(self, now, event):
        name = ("object", event.object_id) if event.object_id else ("group", event.group)
        self.made.put(name, max(now - event.age_us, self.made.get(name, 0)))

    def latest(self, object_id, group, now):
        """Time of the newest purge that still matters to this object, or None."""
        made = max(self.made.get(("object", object_id), -1), self.made.get(("group", group), -1))
        return made if made >= 0 and now - made <= PURGE_MARGIN * self.s.purge_takes_us else None


class ClassStats:
    """Mean sending time of a class, guessed high until enough was seen."""

    def __init__(self, cls):
        self.count = PRIOR_SAMPLES
        self.sum = PRIOR_SAMPLES * PRIOR_AIM * cls.aim_us

    def add(self, work):
        self.count, self.sum = self.count + 1, self.sum + work

    @property
    def mean(self):
        return self.sum / self.count


class Mark:
    """A lead under way for an (object, part), and those who wait for it."""

    def __init__(self, leader, now):
        self.leader, self.began, self.waiters = leader, now, deque()
        self.server = self.source = None


class Request:
    """A request and all that was tried for it."""

    def __init__(self, event, cls, stats, now):
        self.id, self.cls = event.request, cls
        self.object, self.group, self.key = event.object_id, event.group, (event.object_id, event.part)
        self.arrived, self.deadline, self.stats = now, event.deadline_us, stats
        self.write = cls.write or event.is_write
        self.charged = WORK_MARGIN * stats.mean
        self.tried, self.bad_sources, self.erred = set(), set(), []
        self.number = self.timeouts = self.resets = 0
        self.timer = self.flight = self.mark = self.ran_at = self.ran_on = None
        self.leading = self.missed = self.sized = self.hopeless = False


class Flight:   # one attempt that is out; `fills`: it may start a fill at its source

    def __init__(self, request, server, source, now, fills):
        self.request, self.server, self.source, self.sent, self.fills = request, server, source, now, fills
        self.number, self.look, self.blamed = request.number, False, None


class Router:
    """One router. Feed it events in order; it answers each with the actions to take."""

    def __init__(self, settings, seed=0):
        self.s = settings
        self.members = Membership(settings)
        self.health = Health(settings)
        self.cold = ColdBudget(settings, self.members)
        self.purges = PurgeLedger(settings)
        self.limit, self.waiting = FillLimit(), []
        self.stats = [ClassStats(c) for c in settings.classes]
        self.memory = Bounded(MEMORY_SHARE * settings.max_open)    # key: (served where, when, sending time)
        self.mark_limit = max(1, int(TABLE_SHARE * settings.max_open))
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
            del known[server]   # replacements come under new ids: the departed are forgotten
            self.cold.sent.pop(server, None)
        self.limit.resize(sum(map(self.members.weight, self.members.caches)), self.cold.location_routers())
        if not self.s.list_is_pushed and not self.asked:
            self.asked = True
            self.out.append(api.WatchMembers(True))
        elif not self.s.list_is_pushed and event.kind is ListKind.FAILED:
            self.set_timer(ASK_SHARE * self.s.ask_within_us, WATCH)

    def on_limited(self, event):
        self.closed = event.closed
        self.limit.pace(self.now, event.per_s, mix(self.seed ^ self.s.router_index) % 1024 / 1024)
        while self.waiting and self.limit.limit and self.limit.has_place(self.now):
            fitting = [w for w in self.waiting if self.in_time(w)]
            if not fitting:
                break
            self.release(fitting)

    def release(self, fitting):
        best = max(fitting, key=lambda w: w.cls.worth / max(w.work, 1.0))   # by worth for its bytes
        self.waiting.remove(best)
        self.send(best)

    def set_timer(self, delay, request):
        self.token += 1
        self.timers[self.token] = request
        if type(request) is Request:
            request.timer = self.token      # only the newest timer of a request counts
        self.out.append(api.SetTimer(max(1, int(delay)), self.token))

    def on_timer(self, event):
        request = self.timers.pop(event.token, None)
        if request is WATCH:
            self.out.append(api.WatchMembers(True))
        elif type(request) is Flight:
            self.overdue(request)
        elif request is None or request.id not in self.open or request.flight or request.timer != event.token:
            return
        elif request.mark is not None and not request.leading:
            self.leave(request)     # near its aim: it goes at once, joining
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
        if self.now < h.until and self.s.cancelling:
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
        r.aim = min(self.now + cls.aim_us + cls.aim_stretch * r.work, r.deadline)
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
        row = self.memory.get(r.key)
        return row[2] if row else r.stats.mean

    def enter(self, r):
        """Wait behind a lead, or lead."""
        purged = self.purges.latest(r.object, r.group, self.now)
        mark = self.marks.get(r.key)
        if mark is not None and purged is not None and mark.began <= purged:
            self.marks.pop(r.key)       # that fill may bring the purged copy: never wait on it
            self.lead(r, mark.waiters)
        elif mark is None and self.held_at(r, purged) is not None:
            self.send(r)                # exception: held there a moment ago, so there is no fill to wait for
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
        life = HELD_SHARE * self.s.purge_takes_us
        if r.cls.fresh_us:
            life = min(life, r.cls.fresh_us)
        return row[0] if self.now - row[1] <= life and self.members.ready(row[0]) else None

    def lead(self, r, waiters=()):
        if len(self.marks) >= self.mark_limit:
            return self.send(r)     # the table is at its bound: go past it, joining at the cache
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
        if mark and mark.waiters:       # the lead failed: nothing is handed on, the oldest waiter leads
            self.lead(mark.waiters.popleft(), mark.waiters)

    # Placing and sending

    def load(self, server):
        """Transfers this server holds: ours, and what its last report says of others'."""
        h = self.health.get(server)
        known = h.report and self.now - h.report[0] < REPORT_LIFE * self.s.connect_timeout_us
        return h.out + (max(0.0, h.report[1] - h.report[2]) if known else 0.0)

    def crowded(self, m, r):
        h = self.health.get(m.server)
        if m.kind == self.s.parent_kind:
            return h.filling > PARENT_CROWD * self.members.weight(m) / self.s.router_count
        takes = self.fullness(m) * h.slowness() * r.work
        return self.now < h.full_until or takes > CROWD * max(r.aim - self.now, 0)

    def fullness(self, m):
        """Transfers over those that fit, with one more."""
        return (self.load(m.server) + 1) / (self.members.weight(m) * self.cold.warmth(m, self.now))

    def choose(self, r, order, avoid, first, holding):
        """Hash order, stepping over those that fail, are cold or hold too much. Cold budgets and drains
        bind always; failures and crowding give way when nothing better is left, but a first try that would
        be late at every cache is marked hopeless."""
        if first is not None:
            order = sorted(order, key=lambda m: m.server != first)
        free = well = least = None      # the first that will do; is not failing; may be sent to at all
        for m in order:                 # mostly the first will do: the others are not looked at
            if m.state is not MemberState.READY or not self.cold.allows(m, self.now, r.charged):
                continue
            least = least or m
            if m.server in avoid:
                continue
            h = self.health.get(m.server)
            if (h.until or h.trial) and not self.health.open(m.server, self.now, getattr(h, holding)):
                continue
            well = well or m
            if not self.crowded(m, r):
                free = m
                break
        if holding == "out" and well and free is not well and not r.number and self.now < r.aim:
            h = self.health.get(well.server)
            sound = self.now >= h.full_until and h.slowness() < STEP_SLOW
            # Late everywhere, or others as full would fill again: leave room for those who can be on time.
            if free is None or (sound and self.fullness(free) > STEP_TO * self.fullness(well)):
                r.hopeless = True
        return free or well or least

    def place(self, r, first=None):
        return self.choose(r, self.members.order(r.key)[0], r.tried, first, "out")

    def pick_source(self, r, first=None):
        parent = self.choose(r, self.members.order(r.key)[1], r.bad_sources, first, "filling")
        return parent or self.origin()      # never round a parent that can be asked: its link is thin

    def origin(self):
        return next((m for m in self.members.origins if self.members.ready(m.server)), None)

    def may_send(self, r, m):
        """The effect rules: what may have run is repeated only inside its group and its window."""
        if r.number >= self.s.max_attempts or self.now + LEAST_LEFT * r.work >= r.deadline:
            return False
        if r.ran_at is None or r.cls.effect is Effect.SAFE:
            return True
        if r.cls.effect is Effect.UNSAFE or self.now - r.ran_at >= r.cls.repeat_window_us - self.s.tick_us:
            return False
        group = r.cls.group
        return group == "all" or (m.zone == r.ran_on.zone and (group == "zone" or m.cell == r.ran_on.cell))

    def send(self, r, first=None, first_source=None):
        m = self.place(r, first)
        source = self.pick_source(r, first_source)
        if self.s.direct and (m is None or m.server in r.tried):
            m = source          # exception: no cache of the location is left to ask: straight to the source
        if m is None or r.hopeless or not self.may_send(r, m):
            return self.give_up(r)
        purged = self.purges.latest(r.object, r.group, self.now)
        known = self.held_at(r, purged) == m.server
        look = not known and source is not None and not self.limit.has_place(self.now)
        if look and (r.missed or m is source):
            return self.queue_fill(r)
        # A look may take what the parent holds while those are timely and others not: the origin is slow.
        late = self.limit.late if look and self.s.detail == "all" else {}
        peek = late.get(Note.FILLED, 1.0) < PEEK_HELD and late[Note.ORIGIN_ASKED] > PEEK_ASKED
        source = source if peek or not look else None
        age = 0
        if purged is not None:
            # Younger than the purge: an age of 0 would only mean the class's fresh time.
            age = max(1, min(self.now - purged - self.s.tick_us, r.cls.fresh_us or self.now))
        timeout = self.launch(r, m, source, HARD_WAIT * r.cls.aim_us + HARD_STRETCH * r.work, known or look)
        r.flight.look = look
        slow = self.health.get(m.server).slowness()
        self.set_timer(SOFT_WAIT * r.cls.aim_us + SOFT_STRETCH * r.work * slow, r.flight)
        target = source.server if source else m.server
        self.out.append(api.Fetch(r.id, m.server, timeout, target, 1, age, self.s.joins and purged is None,
                                  peek))

    def send_write(self, r):
        """Writes run at the origin: straight where that is allowed, else through a cache."""
        origin = self.origin()
        source = origin if origin and origin.server not in r.bad_sources else self.pick_source(r)
        m = source if self.s.direct else self.place(r)
        if source is None or m is None or not self.may_send(r, m):
            return self.give_up(r)
        # What may never run twice gets no other attempt after a time-out: an early one only drops answers.
        wait = WRITE_WAIT * r.cls.aim_us * 2 ** r.timeouts if r.cls.effect is not Effect.UNSAFE else math.inf
        timeout = self.launch(r, m, source, wait, False)
        straight = m is source and m.kind == self.s.origin_kind
        self.out.append(api.Lookup(r.id, m.server, timeout) if straight else
                        api.Fetch(r.id, m.server, timeout, source.server, 0))

    def launch(self, r, m, source, limit, known):
        """Books an attempt: load, budgets, time-out."""
        limit = int(min(limit * 2 ** r.timeouts, r.deadline - self.now))
        source = source.server if source is not None else None
        f = Flight(r, m.server, source, self.now, source is not None and not known)
        f.timeout = limit
        self.cold.charge(m.server, self.now, r.charged)
        if source not in (None, m.server):
            self.cold.charge(source, self.now, r.charged)
        self.health.get(m.server).out += 1
        if f.fills:
            self.health.get(source).filling += 1
            self.limit.out += not r.write
            self.limit.tokens -= 1      # a write's call is one too, but waits for nothing
        self.flights[(r.id, r.number)] = f
        r.number += 1
        r.flight = f
        if r.ran_at is None:
            r.ran_at, r.ran_on = self.now, m
        if r.leading:
            r.mark.server, r.mark.source = m.server, source
        return limit

    # Outcomes

    def on_finished(self, event):
        f = self.flights.pop((event.request, event.attempt), None)
        if f is None:
            return
        r = f.request
        self.health.get(f.server).out -= 1
        if f.fills:
            self.health.get(f.source).filling -= 1
            if not r.write:
                self.limit.out -= 1
        self.read_report(f.server, event.load)
        if not r.write:
            self.watch_fills(f, event)
        self.blame(f, event)
        if r.flight is f:
            r.flight = None
        if event.status in api.NEVER_RAN and r.ran_at == f.sent:
            r.ran_at = r.ran_on = None
        if event.status is Status.OK:
            self.learn(r, f, event)
        self.finish(r, f, event)
        waiting = () if event.status is Status.FULL else self.waiting   # a refused place is none for others
        fitting = [w for w in waiting if self.in_time(w)] if self.limit.has_place(self.now) else ()
        if fitting:
            self.release(fitting)

    def watch_fills(self, f, event):
        """A time-out counts for nothing here: the answer may be lost, and the fill in time."""
        r, shares = f.request, self.limit.late
        due = LATE_AT * (r.cls.aim_us + r.cls.aim_stretch * r.work)
        late = event.elapsed_us > due
        if event.note in shares:
            shares[event.note] += (late - shares[event.note]) / LATE_SPAN
        if f.fills and event.status is Status.OK and event.note is not Note.HIT:
            self.limit.observe(event.elapsed_us - event.fill_wait_us > due)     # the wait is the source's
        elif f.fills and event.status is Status.FULL:
            self.limit.observe(True)

    def in_time(self, r):
        return r.id in self.open and r.flight is None and self.now + FILL_TAKES * r.work <= r.aim

    def queue_fill(self, r):
        """No place for a fill: wait while it can be on time, be answered the moment it can't."""
        if self.in_time(r):
            self.waiting.append(r)
            self.set_timer(r.aim - FILL_TAKES * r.work - self.now + 1, r)
        else:
            self.give_up(r)

    def finish(self, r, f, event):
        if r.id not in self.open:
            return
        if event.final:
            del self.open[r.id]
            if event.status is Status.OK:
                self.served(r, f.server, f.source)
            else:
                self.pass_lead(r)
        elif r.flight is not None:
            return
        elif self.origin_failed(f, event):
            # Asked on by all routers an overloaded origin stays down: reads are answered, writes pause.
            pause = FULL_PAUSE * self.s.connect_timeout_us * 2 ** (r.number - 1)
            if r.write and self.now + pause < r.aim:
                self.set_timer(pause, r)
            else:
                self.give_up(r)
        elif len(r.erred) >= ERRORS_ITS_OWN:
            self.fail(r)
        elif r.write:
            self.send_write(r)
        elif f.look and event.status is Status.MISS:
            r.missed = True
            self.send(r, f.server)
        elif r.leading:
            self.pass_lead(r)
            self.enter(r)
        else:
            self.send(r)

    def origin_failed(self, f, event):
        unmet = event.note in (Note.SOURCE_REFUSED, Note.SOURCE_UNREACHABLE)
        return event.note is Note.ORIGIN_FAILED or (
            unmet and any(m.server == f.source for m in self.members.origins))

    def read_report(self, server, load):
        if load and "inflight" in self.s.report_fields[:len(load)]:
            h = self.health.get(server)
            h.report = (self.now, load[self.s.report_fields.index("inflight")], h.out)

    def learn(self, r, f, event):
        if r.write:
            return r.stats.add(event.elapsed_us)
        sending = r.work if r.sized else event.elapsed_us
        self.memory.put(r.key, (f.server, self.now, sending))
        if event.note is Note.HIT:
            h, usual = self.health.get(f.server), SLOW_FROM * (r.work + HIT_DELAY * r.cls.aim_us)
            h.slow += (event.elapsed_us / usual - h.slow) / ERROR_SPAN

    def blame(self, f, event):
        """Tells cache, source and origin apart by status, note and what else answers."""
        status, note, r = event.status, event.note, f.request
        if status is Status.CANCELLED:
            (r.tried if f.blamed == f.server else r.bad_sources).add(f.blamed)
        if status in (Status.MISS, Status.FULL, Status.ERROR):
            self.health.alive(f.server, self.now)       # it answers: what is slow or fails lies behind it
        if status in (Status.CANCELLED, Status.MOOT, Status.MISS):
            return
        if status is Status.OK:
            for server in r.erred:      # served elsewhere: it was they who failed
                self.health.failure(server, self.now)
            r.erred.clear()
            self.health.success(f.server, self.now)
            if f.source is not None and note in (Note.FILLED, Note.ORIGIN_ASKED):
                self.health.success(f.source, self.now)
            return
        if note in (Note.SOURCE_REFUSED, Note.SOURCE_UNREACHABLE, Note.SOURCE_LACKS, Note.ORIGIN_FAILED):
            r.bad_sources.add(f.source)
            if f.source is not None and note in (Note.SOURCE_REFUSED, Note.SOURCE_UNREACHABLE):
                self.health.failure(f.source, self.now)
            return
        if status is Status.FULL or note is Note.NO_FILL_PLACE:
            self.health.get(f.server).full_until = self.now + FULL_PAUSE * self.s.connect_timeout_us
            r.tried.add(f.server)
            return
        if status is Status.ERROR:
            # Guards those who answer: a client's request that nobody can use errs everywhere.
            r.tried.add(f.server)
            r.erred.append(f.server)
            return
        if status is Status.RESET and not r.resets:
            r.resets = 1        # one connection broke, maybe with the answer: that cache holds it by now
        else:
            r.tried.add(f.server)
        if status is Status.TIMEOUT:
            r.timeouts += 1
            if f.timeout < r.work or self.health.get(f.server).last_ok >= f.sent:
                return      # not to be sent in that time, or it answered others: no fault of this server
        self.health.failure(f.server, self.now)

    def on_cancelled(self, event):
        r = self.open.pop(event.request, None)
        if r is not None:
            self.forget(r)

    def forget(self, r):
        if r in self.waiting:
            self.waiting.remove(r)
        if r.leading:
            self.pass_lead(r)
        elif r.mark is not None and r in r.mark.waiters:
            r.mark.waiters.remove(r)
        r.mark = None

    def fail(self, r):
        """The final answer where another try would end no better."""
        self.open.pop(r.id, None)
        self.out.append(api.Fail(r.id))
        self.forget(r)

    def give_up(self, r):
        """The final answer, at once. A refusal tells the client that another try is harmless."""
        self.open.pop(r.id, None)
        harmless = r.cls.effect is Effect.SAFE or r.ran_at is None \
            or (r.cls.effect is Effect.KEYED and r.cls.group == "all")
        refuse, wait = harmless and self.s.retry_after, self.s.max_retry_after_us
        if self.closed or self.limit.per_s is not None:     # refused together, not to come back together
            wait = int(wait * (SPREAD + (1 - SPREAD) * (mix(self.seed ^ r.id) % 1024) / 1024))
        self.out.append(api.Refuse(r.id, wait) if refuse else api.Fail(r.id))
        self.forget(r)


HANDLERS = {
    api.MembersChanged: Router.on_members,
    api.RequestArrived: Router.on_request,
    api.AttemptFinished: Router.on_finished,
    api.RequestCancelled: Router.on_cancelled,
    api.TimerFired: Router.on_timer,
    api.AnswerStarted: lambda router, event: router.health.alive(event.server, router.now),
    api.Purged: lambda router, event: router.purges.note(router.now, event),
    api.Limited: Router.on_limited,
}
