"""A request, its attempts, and the mark of a lead."""

from collections import deque

WORK_MARGIN = 1.25  # over the observed mean sending time


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
        self.write = cls.is_write or event.is_write
        self.charged = WORK_MARGIN * stats.mean
        self.tried, self.bad_sources, self.erred = set(), set(), []
        self.number = self.timeouts = self.resets = 0
        self.timer = self.flight = self.mark = self.ran_at = self.ran_on = None
        self.leading = self.missed = self.sized = self.hopeless = False


class Flight:  # one attempt that is out; `fills`: it may start a fill at its source
    def __init__(self, request, server, source, now, fills):
        self.request, self.server, self.source, self.sent, self.fills = request, server, source, now, fills
        self.number, self.look, self.blamed = request.number, False, None
