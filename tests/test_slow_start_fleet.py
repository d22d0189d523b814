"""A cold cache and a cold parent under the sum of what all directors send, with the real decision module.

The bound is that of the fleet: N calls of mean work in the stated window, N being what the settings allow of the
capacity that is sure, and 2 x root of N + 2 for chance. Directors see unequal traffic, hear of the start at
different times, and half of them are restarted in the middle, not knowing what their past process has sent.
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
TOLD_WITHIN_US = 800_000
RESTART_AT = START + 2 * SECOND
WORK_S, SIZE_KB = 0.1, 100.0
TAKES_US = 120_000
REQUESTS_PER_S = 12.0
COLD_CACHE, COLD_PARENT = 100, 200
CACHE_WEIGHT, PARENT_WEIGHT = 8.0, 60.0
LEAST, WARM_UP_US = 0.2, 20 * SECOND
PARENT_LEAST, PARENT_WARM_UP_US = 0.06, 22 * SECOND
MULTIPLE, WINDOW_US = 2.0, 2 * SECOND
SIZES = {3: 1, 30: 3, 200: 20}  # directors, and the locations they stand at


class Fleet:
    """Routers in one simulated time; every attempt is answered after the same time."""

    def __init__(self, directors, seed):
        self.random, self.locations = random.Random(seed), SIZES[directors]
        self.directors, self.events, self.order = directors, [], 0
        self.sent = {COLD_CACHE: [], COLD_PARENT: []}
        self.last_request = 0
        self.routers = [self.start(index) for index in range(directors)]

    def zone(self, index):
        return 1 + index % self.locations

    def start(self, index):
        seats = (0, *(sum(self.zone(i) == z + 1 for i in range(self.directors)) for z in range(self.locations)))
        return Router(
            settings(
                classes=(MEDIA,),
                zone=self.zone(index),
                router_index=index,
                router_count=self.directors,
                routers_by_zone=seats,
                cold_capacity_ratio=LEAST,
                warm_up_us=WARM_UP_US,
                overload_multiple=MULTIPLE,
                overload_window_us=WINDOW_US,
                parent_cold_capacity_ratio=PARENT_LEAST,
                parent_warm_up_us=PARENT_WARM_UP_US,
                parent_overload_multiple=MULTIPLE,
            ),
            seed=index,
        )

    def members(self, zone, cold):
        born = START if cold else 0
        caches = [
            api.Member(
                COLD_CACHE + 1000 * (zone - 1) + i,
                weight=CACHE_WEIGHT,
                zone=zone,
                started_us=born if zone == 1 and i == 0 else 0,
            )
            for i in range(3)
        ]
        parents = [
            api.Member(COLD_PARENT + i, weight=PARENT_WEIGHT, zone=0, kind=1, started_us=born if i == 0 else 0)
            for i in range(3)
        ]
        return (*caches, *parents, api.Member(300, zone=0, kind=2))

    def at(self, when, act, *args):
        self.order += 1
        heapq.heappush(self.events, (when, self.order, act, args))

    def feed(self, now, index, event):
        router = self.routers[index]
        for action in router.handle(now, event):
            if isinstance(action, api.Fetch):
                self.sent.get(action.server, []).append(now)
                if action.source != action.server:
                    self.sent.get(action.source, []).append(now)
                number = next(n for r, n in reversed(router.attempts.in_flight) if r == action.request)
                self.at(now + TAKES_US, self.answer, index, router, action, number)
            elif isinstance(action, api.SetTimer):
                self.at(now + action.delay_us, self.timer, index, router, action.token)

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
                    TAKES_US,
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
        self.at(now + int(self.random.expovariate(per_s) * 1e6), self.arrive, index, per_s)

    def hear(self, now, index, cold):
        self.feed(
            now,
            index,
            api.MembershipUpdated(api.MembershipUpdateKind.FULL, 1 + cold, self.members(self.zone(index), cold)),
        )

    def restart(self, now, index):
        self.routers[index] = self.start(index)
        self.hear(now, index, True)

    def run(self):
        for index in range(self.directors):
            self.hear(START - SECOND, index, False)
            self.at(START + self.random.randrange(TOLD_WITHIN_US), self.hear, index, True)
            share = self.random.choice((0.3, 1.0, 1.0, 3.0))  # some see several times the mean
            self.at(START + self.random.randrange(SECOND), self.arrive, index, REQUESTS_PER_S * share)
            if index % 2:
                self.at(RESTART_AT + self.random.randrange(SECOND), self.restart, index)
        while self.events and self.events[0][0] < START + LENGTH_US:
            now, _, act, args = heapq.heappop(self.events)
            act(now, *args)


def allowed(weight, least, warm_up_us, window_began):
    share = min(1.0, least + (1 - least) * max(0, window_began - START) / warm_up_us)
    calls = MULTIPLE * share * weight * WINDOW_US / 1e6 / WORK_S
    return calls + 2 * math.sqrt(calls) + 2


def fullest(times, weight, least, warm_up_us):
    """The largest share of what is allowed in any window, and the calls of all of them."""
    times = [t for t in times if t >= START]
    shares = [
        sum(began <= t < began + WINDOW_US for t in times) / allowed(weight, least, warm_up_us, began)
        for began in times
    ]
    return max(shares, default=0.0), len(times)


@pytest.fixture(scope="module", params=[(n, seed) for n in SIZES for seed in (1, 2)], ids=lambda p: f"{p[0]}-{p[1]}")
def fleet(request):
    made = Fleet(*request.param)
    made.run()
    return made


def test_a_cold_cache_gets_no_more_from_all_directors_than_it_bears(fleet):
    share, calls = fullest(fleet.sent[COLD_CACHE], CACHE_WEIGHT, LEAST, WARM_UP_US)
    assert calls > 0 and share <= 1.0


def test_a_cold_parent_gets_no_more_fills_from_all_directors_than_it_bears(fleet):
    share, calls = fullest(fleet.sent[COLD_PARENT], PARENT_WEIGHT, PARENT_LEAST, PARENT_WARM_UP_US)
    assert calls > 0 and share <= 1.0


class Careless(Fleet):
    """Directors that take a cold member for a warm one."""

    def start(self, index):
        router = super().start(index)
        router.slow_start.admits = lambda member, now, work: True
        return router


def test_directors_without_a_budget_are_found():
    """The check must be able to fail."""
    made = Careless(30, 1)
    made.run()
    assert fullest(made.sent[COLD_CACHE], CACHE_WEIGHT, LEAST, WARM_UP_US)[0] > 1.0
    assert fullest(made.sent[COLD_PARENT], PARENT_WEIGHT, PARENT_LEAST, PARENT_WARM_UP_US)[0] > 1.0
