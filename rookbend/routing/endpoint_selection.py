"""Where a request goes, and what its fill comes from."""

import math

from rookbend import interface as api
from rookbend.interface import AttemptDetail, Idempotency, MemberState
from rookbend.routing.membership import mix
from rookbend.routing.request_state import Flight

SOFT_WAIT, SOFT_STRETCH = 0.7, 1.7  # overdue after these shares of aim and sending time
HARD_WAIT, HARD_STRETCH = 6.0, 6.0  # given up after these: a fill runs on, so an early end only adds one
WRITE_WAIT = 0.45  # time-out of a write, share of its aim
CROWD = 1.5  # a cache is crowded for a request that would take this multiple of the time left
STEP_TO, STEP_SLOW = 0.33, 1.5  # a crowded cache less slow than this is left only for this share of its load
PARENT_CROWD, LEAST_SHARE = 4.0, 4.0  # a parent is crowded above this multiple of a router's share; transfers
REPORT_LIFE = 4.0  # a load report counts for this many connect time-outs
PEEK_HELD, PEEK_ASKED = 0.05, 0.25  # late shares that tell a slow origin from a full link
SPARE = 12.5  # reads spare an origin that failed, ever fewer, for so many connect time-outs
LEAST_LEFT = 0.5  # no attempt where less than this share of its sending time is left


class Placing:  # the part of Router that chooses
    def load(self, server):
        """Transfers this server holds: ours, and what its last report says of others'."""
        h = self.health.get(server)
        known = h.report and self.now - h.report[0] < REPORT_LIFE * self.s.connect_timeout_us
        return h.out + (max(0.0, h.report[1] - h.report[2]) if known else 0.0)

    def crowded(self, m, r, work):
        h = self.health.get(m.server)
        if m.kind == self.s.parent_kind:
            return h.filling > PARENT_CROWD * self.members.weight(m) / self.s.router_count
        takes = self.fullness(m) * h.slowness() * work
        return self.now < h.full_until or takes > CROWD * max(r.aim - self.now, 0)

    def fullness(self, m):
        """Transfers over those that fit, with one more."""
        return (self.load(m.server) + 1) / (self.members.weight(m) * self.cold.warmth(m, self.now))

    def choose(self, r, order, avoid, first, holding):
        """Hash order, stepping over those that fail, are cold or hold too much. Cold budgets and drains
        bind always; failures and crowding give way when nothing better is left, but a first try that would
        be late at every cache, even if it is small where its size is a guess, is marked hopeless. None has it
        twice, and one that fails and holds something of ours gets nothing more."""
        if first is not None:
            order = sorted(order, key=lambda m: m.server != first)
        free = well = least = None  # the first that will do; is not failing; may be sent to at all
        for m in order:  # mostly the first will do: the others are not looked at
            ready = m.state is MemberState.READY and m.server not in avoid
            if not ready or not self.cold.allows(m, self.now, r.charged):
                continue
            h = self.health.get(m.server)
            least = least or (m if not h.until or not getattr(h, holding) else None)
            if (h.until or h.trial) and not self.health.open(m.server, self.now, getattr(h, holding)):
                continue
            well = well or m
            if not self.crowded(m, r, r.work):
                free = m
                break
        if holding == "out" and well and free is not well and not r.number and self.now < r.aim:
            h = self.health.get(well.server)
            sound = self.now >= h.full_until and h.slowness() < STEP_SLOW
            # Late everywhere, or others as full would fill again: leave room for those who can be on time.
            if free is None or (sound and self.fullness(free) > STEP_TO * self.fullness(well)):
                r.hopeless = self.fullness(well) > CROWD or self.crowded(well, r, r.least)
                free = well
        return free or well or least

    def place(self, r, first=None):
        return self.choose(r, self.members.order(r.key)[0], r.tried, first, "out")

    def pick_source(self, r, first=None):
        """A parent; the origin where a router has its share of the parent's link full, by the part of its
        location's fills that falls to it. Too small a share tells nothing of the link: there, never."""
        parent = self.choose(r, self.members.order(r.key)[1], r.bad_sources, first, "filling")
        origin, n, filling = self.origin(), self.s.router_count, lambda m: self.health.get(m.server).filling
        full = parent and LEAST_SHARE < self.members.weight(parent) / n < filling(parent)
        spare = self.limit.whole * self.cold.location_routers() / n
        return origin if origin and full and filling(origin) < spare else parent or origin

    def spares_origin(self, r):
        """Each refusal of an overloaded origin is asked again below us: a router that met one lets its fills
        have what parents hold, and go on to the origin by a draw that grows with the time since."""
        most = SPARE * self.s.connect_timeout_us
        return self.now - self.limit.failed < most * (mix(self.seed ^ r.id) % 1024 / 1024)

    def origin(self):
        return next((m for m in self.members.origins if self.members.ready(m.server)), None)

    def may_send(self, r, m):
        """The effect rules: what may have run is repeated only inside its group and its window."""
        if r.number >= self.s.max_attempts or self.now + LEAST_LEFT * r.least >= r.deadline:
            return False
        if r.ran_at is None or r.cls.idempotency is Idempotency.IDEMPOTENT:
            return True
        if (
            r.cls.idempotency is Idempotency.NOT_IDEMPOTENT
            or self.now - r.ran_at >= r.cls.idempotency_key_window_us - self.s.clock_tick_us
        ):
            return False
        group = r.cls.retry_scope
        return group == "all" or (m.zone == r.ran_on.zone and (group == "zone" or m.cell == r.ran_on.cell))

    def send(self, r, first=None, first_source=None):
        m = self.place(r, first)
        source = self.pick_source(r, first_source)
        if self.s.allows_direct_to_source and (m is None or m.server in r.tried):
            m = source  # exception: no cache of the location is left to ask: straight to the source
        if m is None or r.hopeless or not self.may_send(r, m):
            return self.give_up(r)
        purged = self.purges.latest(r.object, r.group, self.now)
        known = self.held_at(r, purged) == m.server
        look = not known and source is not None and not self.limit.has_place(self.now)
        if look and (r.missed or m is source):
            return self.queue_fill(r)
        # A look may take what the parent holds while those are timely and others not: the origin is slow.
        late = self.limit.late if look and self.s.answer_detail == "all" else {}
        peek = late.get(AttemptDetail.FILLED, 1.0) < PEEK_HELD and late[AttemptDetail.ORIGIN_ASKED] > PEEK_ASKED
        source = source if peek or not look else None
        peek = peek or (self.spares_origin(r) and source is not None and source.kind == self.s.parent_kind)
        # Younger than the purge: an age of 0 would only mean the class's fresh time.
        age = (
            0
            if purged is None
            else max(1, min(self.now - purged - self.s.clock_tick_us, r.cls.freshness_lifetime_us or self.now))
        )
        timeout = self.launch(
            r, m, source, HARD_WAIT * r.cls.latency_objective_us + HARD_STRETCH * r.work, known or look
        )
        r.flight.look = look
        slow = self.health.get(m.server).slowness()
        self.set_timer(SOFT_WAIT * r.cls.latency_objective_us + SOFT_STRETCH * r.work * slow, r.flight)
        target = source.server if source else m.server
        self.out.append(
            api.Fetch(r.id, m.server, timeout, target, 1, age, self.s.supports_joined_fills and purged is None, peek)
        )

    def send_write(self, r):
        """Writes run at the origin: straight where that is allowed, else through a cache."""
        origin = self.origin()
        source = origin if origin and origin.server not in r.bad_sources else self.pick_source(r)
        m = source if self.s.allows_direct_to_source else self.place(r)
        if source is None or m is None or not self.may_send(r, m):
            return self.give_up(r)
        # What may never run twice gets no other attempt after a time-out: an early one only drops answers.
        wait = (
            WRITE_WAIT * r.cls.latency_objective_us * 2**r.timeouts
            if r.cls.idempotency is not Idempotency.NOT_IDEMPOTENT
            else math.inf
        )
        timeout = self.launch(r, m, source, wait, False)
        if m is source and m.kind == self.s.origin_kind:
            self.out.append(api.FetchCached(r.id, m.server, timeout))
        else:
            self.out.append(api.Fetch(r.id, m.server, timeout, source.server, 0))

    def launch(self, r, m, source, limit, known):
        """Books an attempt: load, budgets, time-out."""
        limit = int(min(limit * 2**r.timeouts, r.deadline - self.now))
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
            self.limit.tokens -= 1  # a write's call is one too, but waits for nothing
        self.flights[(r.id, r.number)] = f
        r.number += 1
        r.flight = f
        if r.ran_at is None:
            r.ran_at, r.ran_on = self.now, m
        if r.leading:
            r.mark.server, r.mark.source = m.server, source
        return limit
