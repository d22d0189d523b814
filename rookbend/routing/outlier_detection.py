"""Ejection by failures, readmission by a trickle, and how slow each server is."""

SLOWEST = 4.0  # a slow server stretches time-outs and shrinks its share by this at most
FAILS_TO_EJECT = 3  # failures in a row
ERROR_RATE = 0.45  # or this failure rate over about ERROR_SPAN attempts
ERROR_SPAN = 8
HOLD_OFF = 3.0  # first ejection, in connect time-outs; doubles
HOLD_OFF_MOST = 0.5  # longest ejection, share of the warm-up time


class Server:
    """What this router has seen of one cache, parent or origin."""

    def __init__(self):
        self.out = self.filling = 0  # attempts out at it; attempts that may fill from it
        self.full_until = self.last_ok = 0  # passed over until, last served
        self.report = None  # (time, requests it held, ours then)
        self.reset()

    def reset(self):
        self.fails = self.silent = 0  # failures in a row; overdue attempts since it last answered
        self.error, self.slow = 0.0, 1.0  # failure rate; how much slower than its pace it sends hits
        self.until = self.hold = 0  # ejected until, for how long
        self.trial = False  # after that: one attempt at a time until the first success

    def slowness(self):
        return min(max(1.0, self.slow), SLOWEST)


class Health:
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
        h.error, h.trial, h.hold = h.error * (1 - 1 / ERROR_SPAN), False, 0

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
