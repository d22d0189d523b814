"""What may be sent at most: to cold servers, and as fills over the location's link."""

import math
from collections import deque

from rookbend.interface import AttemptDetail
from rookbend.routing.membership import mix

COLD_MARGIN, COLD_CAP = 0.7, 1.7  # share of the cold budget used; at most, in the present capacity
RESTART_SHARE = 0.5  # of those budgets while this router does not know what its past life sent
LATE_SHARE = 0.06  # of fills may come late before fewer are let out at once
LIMIT_STEP = 0.05  # share by which it falls with a late one, times the root of the location's routers
LIMIT_GAIN = 0.06  # fills it gains for each timely one while it is low
# Fills a router may always have out, at first, and at most, in transfers of its share of the caches.
LIMIT_LEAST, LIMIT_START, LIMIT_MOST = 0.08, 1.0, 4.0
PACE_BURST = 0.5  # under a limit from outside: seconds of fills at once


class ColdBudget:
    """Work sent to each server over the fall window. A cold one gets no more than its share allows."""

    def __init__(self, settings, members):
        self.s, self.members, self.sent, self.born, self.senders = settings, members, {}, None, 1

    def charge(self, server, now, work):
        log = self.sent.setdefault(server, deque())
        log.append((now, work))
        while log[0][0] < now - self.s.overload_window_us:
            log.popleft()

    def spent(self, server, now):
        return sum(work for at, work in self.sent.get(server, ()) if at >= now - self.s.overload_window_us)

    def warmth(self, m, now):
        """Share of its capacity that a server is sure to have, the slowest stated ramp assumed."""
        least, whole = self.s.cold_capacity_ratio, self.s.warm_up_us
        if m.kind == self.s.parent_kind:
            least, whole = self.s.parent_cold_capacity_ratio, self.s.parent_warm_up_us
        age = now - m.started_us
        if not m.started_us or m.kind == self.s.origin_kind or age >= whole:
            return 1.0
        return least + (1 - least) * max(age, 0) / whole

    def allows(self, m, now, work):
        if not m.started_us or self.warmth(m, now) >= 1.0:
            return True
        multiple, sharing = self.s.overload_multiple, self.location_routers()
        if m.kind == self.s.parent_kind:
            multiple, sharing = self.s.parent_overload_multiple, self.s.router_count
        # The oldest moment of the window counts: what it could do then, not what it can do now.
        share = self.warmth(m, max(now - self.s.overload_window_us, m.started_us))
        share *= self.members.weight(m) / (sharing * self.senders)
        budget = min(multiple * COLD_MARGIN, COLD_CAP) * share * self.s.overload_window_us
        budget *= RESTART_SHARE if now - self.born < self.s.overload_window_us else 1.0
        if m.kind == self.s.parent_kind and budget < work:
            # Less than one fill for each router: those whose turn it is hold whole ones, more as it warms.
            turn = (self.s.router_index + mix(m.server)) % sharing + 1
            budget = work if turn * work <= budget * sharing else 0.0
        return self.spent(m.server, now) + work <= budget

    def location_routers(self):
        seats = self.s.routers_by_zone
        return max(1, seats[self.s.zone] if self.s.zone < len(seats) else self.s.router_count)


class FillLimit:
    """How many fills this router lets out at once: fewer when they come late. The others look, then wait."""

    def __init__(self):
        self.late = {
            AttemptDetail.FILLED: 0.0,
            AttemptDetail.ORIGIN_ASKED: 0.0,
        }  # share late: held there, and asked for
        self.out, self.limit, self.whole, self.step = 0, None, 1.0, LIMIT_STEP
        self.per_s, self.tokens, self.at = None, 0.0, 0  # from outside: how many a second
        self.failed = -math.inf  # when the origin last failed an attempt of this router

    def resize(self, transfers, routers):  # what the location's caches carry, and how many routers share it
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
            self.tokens, self.at = first, now  # a draw: routers limited together don't begin in step
        elif per_s is not None:
            self.filled(now)
        self.per_s = per_s

    def observe(self, late):
        if late:
            self.limit = max(LIMIT_LEAST * self.whole, self.limit * (1 - self.step))
        elif self.out + 1 > self.limit / 2:
            gain = max(LIMIT_GAIN, self.limit * self.step * LATE_SHARE / (1 - LATE_SHARE))
            self.limit = min(LIMIT_MOST * self.whole, self.limit + gain)
