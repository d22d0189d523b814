"""An engine under test: a backend that keeps what it is given, and a module that can be scripted."""

from rookbend import interface as api
from rookbend.core.clock import Clock
from rookbend.core.counters import Counters
from rookbend.core.engine import Engine
from rookbend.core.model import Endpoint, MembershipChange, Request
from rookbend.interface import AttemptStatus
from tests import router_harness

CACHE, PARENT = router_harness.CACHES[0], router_harness.PARENTS[0]
SECOND = 1_000_000


class Script:
    """A module that does what the test says, whatever the event."""

    def __init__(self, *answers):
        self.answers, self.events = list(answers), []

    def handle(self, now, event):
        if isinstance(event, api.MembershipUpdated):
            return []
        self.events.append(event)
        return self.answers.pop(0) if self.answers else []


class Bench:
    def __init__(self, router, members=(CACHE, PARENT, router_harness.ORIGIN)):
        self.seconds, self.sent, self.undone, self.answers, self.lines = 100.0, [], [], [], []
        clock = Clock(lambda: self.seconds, lambda: self.seconds)
        self.engine = Engine(
            router_harness.settings(allows_direct_to_source=True), router, clock, Counters(), self.lines.append
        )
        self.engine.backend = self
        self.membership(*members)

    def membership(self, *members):
        self.engine.membership_changed(
            MembershipChange(False, 1, [Endpoint(m, f"m{m.server}", ("127.0.0.1", m.server)) for m in members])
        )

    def send(self, attempt, endpoint):
        self.sent.append(attempt)

    def abort(self, attempt):
        self.undone.append(attempt)
        return AttemptStatus.TIMEOUT

    def is_fully_sent(self, attempt):
        return attempt in self.sent

    def disconnect(self, server):
        pass

    def ask(self, cls=0, seconds=2.0, obj=5, rid=None):
        now = self.engine.clock.now()
        return self.engine.submit(
            Request(rid or f"{self.engine.requests.last_id:016x}", cls, "c", "k", obj, now + int(seconds * SECOND)),
            self.answers.append,
        )

    def run_until(self, seconds):
        while self.engine.timers.next_due_us and self.engine.timers.next_due_us <= seconds * SECOND:
            self.seconds = max(self.seconds, self.engine.timers.next_due_us / SECOND)
            self.engine.run_due()
        self.seconds = seconds

    def verdicts(self):
        return [a.outcome for a in self.answers]


def fetch(request=1, server=CACHE.server, source=PARENT.server):
    return api.Fetch(request, server, 0, source)
