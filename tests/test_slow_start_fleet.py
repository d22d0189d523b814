"""A cold cache and a cold parent under the total load of all directors, with the real routing module.

The bound applies to the fleet: N fetches of mean work per overload window, where N is what the settings allow of the
guaranteed capacity, plus 2 * sqrt(N) + 2 for random variation. Directors see unequal traffic and learn of the start
at different times; half of them restart during the run, without knowing what their previous process sent.
"""

import heapq
import math
import random

import pytest

from rookbend import interface as api
from rookbend.routing import Router
from tests.router_harness import MEDIA, SECOND, settings

START = 100 * SECOND
LENGTH_US = 5 * SECOND
MAX_MEMBERSHIP_DELAY_US = 800_000
RESTART_AT = START + 2 * SECOND
WORK_S, SIZE_KB = 0.1, 100.0
RESPONSE_TIME_US = 120_000
REQUESTS_PER_S = 12.0
COLD_CACHE, COLD_PARENT = 100, 200
CACHE_WEIGHT, PARENT_WEIGHT = 8.0, 60.0
CACHE_COLD_RATIO, CACHE_WARM_UP_US = 0.2, 20 * SECOND
PARENT_COLD_RATIO, PARENT_WARM_UP_US = 0.06, 22 * SECOND
OVERLOAD_MULTIPLE, WINDOW_US = 2.0, 2 * SECOND
LOCATIONS_BY_DIRECTORS = {3: 1, 30: 3, 200: 20}  # number of locations by number of directors


class Fleet:
    """Routers on one simulated clock; every attempt is answered after RESPONSE_TIME_US."""

    def __init__(self, directors, seed):
        self.random, self.locations = random.Random(seed), LOCATIONS_BY_DIRECTORS[directors]
        self.directors, self.events, self.order = directors, [], 0
        self.sent = {COLD_CACHE: [], COLD_PARENT: []}
        self.last_request = 0
        self.routers = [self.start(index) for index in range(directors)]

    def zone(self, index):
        return 1 + index % self.locations

    def start(self, index):
        routers_by_zone = (
            0,
            *(sum(self.zone(i) == z + 1 for i in range(self.directors)) for z in range(self.locations)),
        )
        return Router(
            settings(
                classes=(MEDIA,),
                zone=self.zone(index),
                router_index=index,
                router_count=self.directors,
                routers_by_zone=routers_by_zone,
                cold_capacity_ratio=CACHE_COLD_RATIO,
                warm_up_us=CACHE_WARM_UP_US,
                overload_multiple=OVERLOAD_MULTIPLE,
                overload_window_us=WINDOW_US,
                parent_cold_capacity_ratio=PARENT_COLD_RATIO,
                parent_warm_up_us=PARENT_WARM_UP_US,
                parent_overload_multiple=OVERLOAD_MULTIPLE,
            ),
            seed=index,
        )

    def members(self, zone, cold):
        started_us = START if cold else 0
        caches = [
            api.Member(
                COLD_CACHE + 1000 * (zone - 1) + i,
                weight=CACHE_WEIGHT,
                zone=zone,
                started_us=started_us if zone == 1 and i == 0 else 0,
            )
            for i in range(3)
        ]
        parents = [
            api.Member(COLD_PARENT + i, weight=PARENT_WEIGHT, zone=0, kind=1, started_us=started_us if i == 0 else 0)
            for i in range(3)
        ]
        return (*caches, *parents, api.Member(300, zone=0, kind=2))

    def schedule(self, when, callback, *args):
        self.order += 1
        heapq.heappush(self.events, (when, self.order, callback, args))

    def feed(self, now, index, event):
        router = self.routers[index]
        for action in router.handle(now, event):
            if isinstance(action, api.Fetch):
                self.sent.get(action.server, []).append(now)
                if action.source != action.server:
                    self.sent.get(action.source, []).append(now)
                number = next(n for r, n in reversed(router.attempts.in_flight) if r == action.request)
                self.schedule(now + RESPONSE_TIME_US, self.answer, index, router, action, number)
            elif isinstance(action, api.SetTimer):
                self.schedule(now + action.delay_us, self.timer, index, router, action.token)

    def timer(self, now, index, router, token):
        if self.routers[index] is router:
            self.feed(now, index, api.TimerFired(token))

    def answer(self, now, index, router, action, number):
        if self.routers[index] is router:
            self.feed(
                now,
                index,
                api.AttemptFinished(
                    action.request,
                    number,
                    action.server,
                    api.AttemptStatus.OK,
                    RESPONSE_TIME_US,
                    True,
                    api.AttemptDetail.FILLED,
                    0,
                    (),
                ),
            )

    def arrive(self, now, index, per_s):
        self.last_request += 1
        self.feed(
            now,
            index,
            api.RequestArrived(self.last_request, 0, self.random.getrandbits(40), now + MEDIA.deadline_us, SIZE_KB),
        )
        self.schedule(now + int(self.random.expovariate(per_s) * 1e6), self.arrive, index, per_s)

    def update_membership(self, now, index, cold):
        self.feed(
            now,
            index,
            api.MembershipUpdated(api.MembershipUpdateKind.FULL, 1 + cold, self.members(self.zone(index), cold)),
        )

    def restart(self, now, index):
        self.routers[index] = self.start(index)
        self.update_membership(now, index, True)

    def run(self):
        for index in range(self.directors):
            self.update_membership(START - SECOND, index, False)
            self.schedule(START + self.random.randrange(MAX_MEMBERSHIP_DELAY_US), self.update_membership, index, True)
            share = self.random.choice((0.3, 1.0, 1.0, 3.0))  # some directors see several times the mean
            self.schedule(START + self.random.randrange(SECOND), self.arrive, index, REQUESTS_PER_S * share)
            if index % 2:
                self.schedule(RESTART_AT + self.random.randrange(SECOND), self.restart, index)
        while self.events and self.events[0][0] < START + LENGTH_US:
            now, _, callback, args = heapq.heappop(self.events)
            callback(now, *args)


def max_calls(weight, cold_ratio, warm_up_us, window_start):
    share = min(1.0, cold_ratio + (1 - cold_ratio) * max(0, window_start - START) / warm_up_us)
    calls = OVERLOAD_MULTIPLE * share * weight * WINDOW_US / 1e6 / WORK_S
    return calls + 2 * math.sqrt(calls) + 2


def max_budget_use(times, weight, cold_ratio, warm_up_us):
    """The highest ratio of fetches to `max_calls` in any window, and the number of all fetches."""
    times = [t for t in times if t >= START]
    shares = [
        sum(window_start <= t < window_start + WINDOW_US for t in times)
        / max_calls(weight, cold_ratio, warm_up_us, window_start)
        for window_start in times
    ]
    return max(shares, default=0.0), len(times)


@pytest.fixture(
    scope="module",
    params=[(n, seed) for n in LOCATIONS_BY_DIRECTORS for seed in (1, 2)],
    ids=lambda p: f"{p[0]}-{p[1]}",
)
def fleet(request):
    simulated = Fleet(*request.param)
    simulated.run()
    return simulated


def test_cold_cache_is_not_overloaded_by_all_directors_together(fleet):
    share, calls = max_budget_use(fleet.sent[COLD_CACHE], CACHE_WEIGHT, CACHE_COLD_RATIO, CACHE_WARM_UP_US)
    assert calls > 0 and share <= 1.0


def test_cold_parent_is_not_overloaded_by_all_directors_together(fleet):
    share, calls = max_budget_use(fleet.sent[COLD_PARENT], PARENT_WEIGHT, PARENT_COLD_RATIO, PARENT_WARM_UP_US)
    assert calls > 0 and share <= 1.0


class FleetWithoutSlowStart(Fleet):
    """Directors that treat cold members as warm."""

    def start(self, index):
        router = super().start(index)
        router.slow_start.admits = lambda member, now, work: True
        return router


def test_check_detects_directors_without_a_slow_start_budget():
    """The check must be able to fail."""
    simulated = FleetWithoutSlowStart(30, 1)
    simulated.run()
    assert max_budget_use(simulated.sent[COLD_CACHE], CACHE_WEIGHT, CACHE_COLD_RATIO, CACHE_WARM_UP_US)[0] > 1.0
    assert max_budget_use(simulated.sent[COLD_PARENT], PARENT_WEIGHT, PARENT_COLD_RATIO, PARENT_WARM_UP_US)[0] > 1.0
