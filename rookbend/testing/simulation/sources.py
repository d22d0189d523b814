"""The sources of fills: parents with copies of their own, and the origin.

The origin has a limited number of workers. It refuses calls above a rate, and goes down when it is asked for far more
than its capacity: then running and queued calls are never answered, and new ones are not accepted. A parent retries
refused calls.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable

from rookbend.interface import AttemptDetail, AttemptStatus
from rookbend.testing.simulation.clock import Simulation
from rookbend.testing.simulation.links import RetainedCopies, SimulatedLink


class Call:
    """A call to a parent or to the origin; `is_closed` once it has been answered or cancelled."""

    __slots__ = ("attempts", "is_closed", "is_write", "key", "on_answer", "only_if_cached", "work_s")

    def __init__(
        self,
        key,
        work_s: float,
        on_answer: Callable[[AttemptStatus, AttemptDetail], None],
        is_write=False,
        only_if_cached=False,
    ):
        self.key, self.work_s, self.on_answer, self.is_write, self.only_if_cached = (
            key,
            work_s,
            on_answer,
            is_write,
            only_if_cached,
        )
        self.is_closed, self.attempts = False, 0


class Origin:
    def __init__(self, sim: Simulation, deployment):
        self.sim, self.deployment = sim, deployment
        self.arrivals_us: deque[int] = deque()  # arrivals in the overload window
        self.accepted_us: deque[int] = deque()  # arrivals of accepted calls in the last second
        self.queue: deque[Call] = deque()
        self.busy_workers = self.overloads = 0
        self.down_until_us = 0
        self.counts: Counter = Counter()

    def request(self, call: Call, _place=None) -> None:
        deployment, now = self.deployment, self.sim.now
        self.counts["asked"] += 1
        if now < self.down_until_us:
            if deployment.is_silent_when_down:
                return  # the caller times out
            detail = AttemptDetail.SOURCE_UNREACHABLE if call.is_write else AttemptDetail.ORIGIN_FAILED
            return self.sim.after(deployment.source_delay_s, call.on_answer, AttemptStatus.FULL, detail)
        self.arrivals_us.append(now)
        while self.arrivals_us[0] <= now - deployment.origin_window_s * 1e6:
            self.arrivals_us.popleft()
        if (
            len(self.arrivals_us)
            > deployment.origin_overload_multiple * deployment.origin_per_s * deployment.origin_window_s
        ):
            self.overloads += 1
            self.down_until_us = now + int(deployment.origin_down_s * 1e6)
            self.arrivals_us.clear()
            self.queue.clear()
            return
        while self.accepted_us and self.accepted_us[0] <= now - 1_000_000:
            self.accepted_us.popleft()
        if (
            deployment.origin_admission_ratio
            and len(self.accepted_us) >= deployment.origin_admission_ratio * deployment.origin_per_s
        ):
            self.counts["refused"] += 1
            return self.sim.after(
                deployment.source_delay_s, call.on_answer, AttemptStatus.FULL, AttemptDetail.ORIGIN_FAILED
            )
        self.accepted_us.append(now)
        self.queue.append(call)
        self._start_calls()

    def _start_calls(self) -> None:
        while self.queue and self.busy_workers < self.deployment.origin_workers:
            call = self.queue.popleft()
            if call.is_closed and self.deployment.drops_abandoned_calls:
                continue
            self.busy_workers += 1
            self.sim.after(self.deployment.origin_call_s, self._call_finished, call, self.overloads)

    def _call_finished(self, call: Call, overloads: int) -> None:
        self.busy_workers -= 1
        if overloads == self.overloads:  # otherwise the origin went down during the call
            self.counts["done"] += 1
            self.counts["wasted"] += call.is_closed
            self.sim.after(self.deployment.source_delay_s, call.on_answer, AttemptStatus.OK, AttemptDetail.ORIGIN_ASKED)
        self._start_calls()


class Parent:
    """Fills caches from its copies, and its copies from the origin.

    `location_link` is the link into the location of the requesting cache.
    """

    def __init__(self, sim: Simulation, deployment, origin: Origin, retention_us: int):
        self.sim, self.deployment, self.origin = sim, deployment, origin
        self.link, self.copies = SimulatedLink(sim, deployment.parent_links), RetainedCopies(sim, retention_us)
        self.fills_in_progress: dict[object, list] = {}

    def request(self, call: Call, location_link: SimulatedLink) -> None:
        if self.copies.look_up(call.key):
            self._send(call, location_link, AttemptDetail.FILLED)
        elif call.only_if_cached:
            self.sim.after(
                self.deployment.source_delay_s, call.on_answer, AttemptStatus.MISS, AttemptDetail.SOURCE_LACKS
            )
        elif self.deployment.collapses_fills and call.key in self.fills_in_progress:
            self.fills_in_progress[call.key].append((call, location_link))
        else:
            if self.deployment.collapses_fills:
                self.fills_in_progress[call.key] = []
            self._request_origin(call, location_link)

    def _request_origin(self, call: Call, location_link: SimulatedLink) -> None:
        upstream_call = Call(
            call.key, call.work_s, lambda status, detail: self._origin_answered(call, location_link, status, detail)
        )
        call.attempts += 1
        self.origin.request(upstream_call)

    def _origin_answered(
        self, call: Call, location_link: SimulatedLink, status: AttemptStatus, detail: AttemptDetail
    ) -> None:
        if status is not AttemptStatus.OK and call.attempts <= self.deployment.parent_retries and not call.is_closed:
            return self._request_origin(call, location_link)
        others = self.fills_in_progress.pop(call.key, ())
        if status is AttemptStatus.OK:
            self.copies.put(call.key)
        for waiting_call, waiting_link in ((call, location_link), *others):
            if status is AttemptStatus.OK:
                self._send(waiting_call, waiting_link, AttemptDetail.ORIGIN_ASKED)
            else:
                waiting_call.on_answer(status, detail)

    def _send(self, call: Call, location_link: SimulatedLink, detail: AttemptDetail) -> None:
        if call.is_closed:
            return
        # The transfer crosses the parent's link, then the location's link at its full capacity. Each link carries
        # every byte once, and a transfer delayed by one link takes no capacity of the other meanwhile.
        self.link.send(
            call,
            call.work_s,
            self.deployment.fill_rate,
            lambda: location_link.send(
                call, call.work_s, location_link.shared_link.capacity, lambda: call.on_answer(AttemptStatus.OK, detail)
            ),
        )

    def cancel(self, call: Call, location_link: SimulatedLink) -> None:
        for link in (self.link, location_link):
            link.cancel(call)
