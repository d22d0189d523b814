"""A router under test: settings, a clock, and helpers to feed events and read actions."""

from rookbend import interface as api
from rookbend.routing import Router

SECOND = 1_000_000
MEDIA = api.TrafficClass(
    "media", latency_objective_us=500_000, deadline_us=6 * SECOND, latency_objective_stretch=2.0, priority_weight=2.0
)
PAGES = api.TrafficClass(
    "pages",
    latency_objective_us=250_000,
    deadline_us=2_500_000,
    latency_objective_stretch=2.0,
    freshness_lifetime_us=20 * SECOND,
)
KEYED_WRITES = api.TrafficClass(
    "orders",
    latency_objective_us=700_000,
    deadline_us=3 * SECOND,
    idempotency=api.Idempotency.IDEMPOTENCY_KEY,
    idempotency_key_window_us=2 * SECOND,
    is_write=True,
)
NON_IDEMPOTENT_WRITES = api.TrafficClass(
    "pay",
    latency_objective_us=700_000,
    deadline_us=3 * SECOND,
    idempotency=api.Idempotency.NOT_IDEMPOTENT,
    is_write=True,
)

CACHES = tuple(api.Member(100 + i, weight=8.0, cell=i // 2, zone=1) for i in range(3))
OTHER_ZONE_CACHE = api.Member(150, weight=8.0, zone=2)
PARENTS = tuple(api.Member(200 + i, weight=30.0, zone=0, kind=1) for i in range(3))
ORIGIN = api.Member(300, weight=1.0, zone=0, kind=2)
ALL_MEMBERS = (*CACHES, OTHER_ZONE_CACHE, *PARENTS, ORIGIN)


def settings(**changes):
    base = dict(
        classes=(MEDIA, PAGES, KEYED_WRITES, NON_IDEMPOTENT_WRITES),
        zone=1,
        router_count=3,
        routers_by_zone=(0, 1, 2),
        parent_kind=1,
        origin_kind=2,
        pace_kb_per_s=1000.0,
        supports_joined_fills=True,
        answer_detail="all",
        max_attempts=6,
        allows_cancellation=True,
        load_report_fields=("inflight",),
        purge_grace_us=500_000,
        purge_propagation_us=6 * SECOND,
        cold_capacity_ratio=0.2,
        warm_up_us=20 * SECOND,
        overload_multiple=2.0,
        overload_window_us=2 * SECOND,
        parent_cold_capacity_ratio=0.06,
        parent_warm_up_us=22 * SECOND,
        parent_overload_multiple=2.0,
        drain_grace_us=500_000,
        clock_tick_us=2000,
        membership_poll_interval_us=10 * SECOND,
    )
    base.update(changes)
    return api.Settings(**base)


class Rig:
    def __init__(self, members=ALL_MEMBERS, now=100 * SECOND, **changes):
        self.router = Router(settings(**changes), seed=7)
        self.now = now
        self.timers = []
        self.attempt_numbers = {}
        self.next_id = 1
        self.feed(api.MembershipUpdated(api.MembershipUpdateKind.CACHED, 1, tuple(members)))

    def feed(self, event, after=0):
        self.now += after
        actions = self.router.handle(self.now, event)
        for a in actions:
            if isinstance(a, api.SetTimer):
                self.timers.append((self.now + a.delay_us, a.token))
            if isinstance(a, (api.Fetch, api.FetchCached)):
                self.attempt_numbers[a.request] = self.attempt_numbers.get(a.request, -1) + 1
        return actions

    def arrive(self, object_id, class_index=0, size=100.0, part=0, group=0, after=0, deadline_in_us=None):
        self.now += after
        request, self.next_id = self.next_id, self.next_id + 1
        deadline_in_us = deadline_in_us or self.router.settings.classes[class_index].deadline_us
        return request, self.feed(
            api.RequestArrived(request, class_index, object_id, self.now + deadline_in_us, size, group, part)
        )

    def finish(
        self,
        attempt,
        status=api.AttemptStatus.OK,
        detail=api.AttemptDetail.NONE,
        after=0,
        final=None,
        number=None,
        load_report=(),
    ):
        """Ends the newest attempt of a request, or attempt `number`; `attempt` is the action that started it."""
        self.now += after
        number = self.attempt_numbers[attempt.request] if number is None else number
        final = status is api.AttemptStatus.OK if final is None else final
        return self.feed(
            api.AttemptFinished(attempt.request, number, attempt.server, status, after, final, detail, 0, load_report)
        )

    def run_timers(self, until):
        """Fires the timers that are due at `until`, in order; returns the resulting actions."""
        out = []
        while True:
            due = sorted(t for t in self.timers if t[0] <= until)
            if not due:
                self.now = until
                return out
            self.timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            out += self.feed(api.TimerFired(due[0][1]))


def sent_fetches(actions):
    return [a for a in actions if isinstance(a, (api.Fetch, api.FetchCached))]


def final_answers(actions):
    return [a for a in actions if isinstance(a, (api.Fail, api.Reject))]
