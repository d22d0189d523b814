"""A harness for the engine: a backend that records its calls, and a router that returns scripted actions."""

from rookbend import interface as api
from rookbend.core.clock import Clock
from rookbend.core.counters import Counters
from rookbend.core.engine import Engine
from rookbend.core.model import Endpoint, MembershipChange, Request
from rookbend.interface import AttemptStatus
from tests import router_harness

CACHE, PARENT = router_harness.CACHES[0], router_harness.PARENTS[0]
SECOND = 1_000_000


class ScriptedRouter:
    """A router that returns the given lists of actions in turn, whatever the events are."""

    def __init__(self, *action_lists):
        self.action_lists, self.events = list(action_lists), []

    def needs_timer(self, token):
        return True

    def handle(self, now, event):
        if isinstance(event, api.MembershipUpdated):
            return []
        self.events.append(event)
        return self.action_lists.pop(0) if self.action_lists else []


class EngineHarness:
    def __init__(self, router, members=(CACHE, PARENT, router_harness.ORIGIN)):
        self.now_s, self.sent, self.aborted, self.answers = 100.0, [], [], []
        clock = Clock(lambda: self.now_s, lambda: self.now_s)
        self.engine = Engine(
            router_harness.settings(allows_direct_to_source=True),
            router,
            clock,
            Counters(),
            lambda event, level="info", **fields: None,
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
        self.aborted.append(attempt)
        return AttemptStatus.TIMEOUT

    def is_fully_sent(self, attempt):
        return attempt in self.sent

    def disconnect(self, server):
        pass

    def withhold_unsent(self):
        pass

    def submit_request(self, traffic_class=0, timeout_s=2.0, object_id=5, request_id=None):
        now = self.engine.clock.now()
        return self.engine.submit(
            Request(
                request_id or f"{self.engine.requests.last_id:016x}",
                traffic_class,
                "c",
                "k",
                object_id,
                now + int(timeout_s * SECOND),
            ),
            self.answers.append,
        )

    def run_until(self, until_s):
        while self.engine.timers.next_due_us and self.engine.timers.next_due_us <= until_s * SECOND:
            self.now_s = max(self.now_s, self.engine.timers.next_due_us / SECOND)
            self.engine.run_due()
        self.now_s = until_s

    def outcomes(self):
        return [a.outcome for a in self.answers]


def fetch(request=1, server=CACHE.server, source=PARENT.server):
    return api.Fetch(request, server, 0, source)
