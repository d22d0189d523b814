"""What the router keeps by name: members and their order, purges, what a class takes to send."""

import math
from collections import OrderedDict

from rookbend.interface import MembershipUpdateKind, MemberState

PRIOR_SAMPLES, PRIOR_AIM = 10, 1.5  # weight of the guess in a class's mean; its share of the aim
PURGE_MARGIN = 1.15  # purges are kept in mind this multiple of their stated time
MASK = (1 << 64) - 1


def mix(value: int) -> int:
    """A fixed 64-bit mixer: the same at every router and in every process."""
    value = (value + 0x9E3779B97F4A7C15) & MASK
    value = ((value ^ value >> 30) * 0xBF58476D1CE4E5B9) & MASK
    value = ((value ^ value >> 27) * 0x94D049BB133111EB) & MASK
    return value ^ value >> 31


class Bounded(OrderedDict):  # a table that forgets its oldest rows beyond a limit
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
        self.s, self.all, self.orders = settings, {}, Bounded(settings.max_requests_in_flight)
        self.caches, self.parents, self.origins = [], [], []
        self.rows = [], []  # caches, parents: each with what its place in an order rests on

    def apply(self, event):
        """Takes a list or a change; returns the servers that are new or restarted."""
        old = self.all
        new = dict(old) if event.kind in (MembershipUpdateKind.DELTA, MembershipUpdateKind.FAILED) else {}
        for m in event.members:
            new[m.server] = m
        self.all = new = {k: m for k, m in new.items() if m.state is not MemberState.GONE}
        zone, parent, origin = self.s.zone, self.s.parent_kind, self.s.origin_kind
        rows = sorted(new.values(), key=lambda m: m.server)
        self.caches = [m for m in rows if m.kind not in (parent, origin) and m.zone == zone]
        self.parents = [m for m in rows if m.kind == parent]
        self.origins = [m for m in rows if m.kind == origin]
        self.rows = tuple([(mix(m.server), self.weight(m), m) for m in role] for role in (self.caches, self.parents))
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


class PurgeLedger:
    """Purges by object and by group, until every older copy is gone."""

    def __init__(self, settings):
        self.s, self.made = settings, Bounded(settings.max_requests_in_flight)

    def note(self, now, event):
        name = ("object", event.object_id) if event.object_id else ("group", event.group)
        self.made.put(name, max(now - event.age_us, self.made.get(name, 0)))

    def latest(self, object_id, group, now):
        """Time of the newest purge that still matters to this object, or None."""
        made = max(self.made.get(("object", object_id), -1), self.made.get(("group", group), -1))
        return made if made >= 0 and now - made <= PURGE_MARGIN * self.s.purge_propagation_us else None


class ClassStats:
    """Mean sending time of a class, guessed high until enough was seen."""

    def __init__(self, cls):
        self.count, self.sum = PRIOR_SAMPLES, PRIOR_SAMPLES * PRIOR_AIM * cls.latency_objective_us

    def add(self, work):
        self.count, self.sum = self.count + 1, self.sum + work

    @property
    def mean(self):
        return self.sum / self.count
