"""What caches are filled from: parents with copies of their own, and the origin.

The origin works with few workers; it turns calls away above a rate, and asked for far more than it can do it
stops: what it had is never answered, and it takes nothing new. A parent asks again for what is turned away.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable

from rookbend.interface import AttemptDetail, AttemptStatus
from rookbend.testing.simulation.clock import Simulation
from rookbend.testing.simulation.links import Kept, Pipe


class Call:
    """Something asked of a parent or of the origin; `over` once nobody waits for it."""

    __slots__ = ("answer", "key", "only_held", "over", "tries", "work_s", "write")

    def __init__(
        self, key, work_s: float, answer: Callable[[AttemptStatus, AttemptDetail], None], write=False, only_held=False
    ):
        self.key, self.work_s, self.answer, self.write, self.only_held = key, work_s, answer, write, only_held
        self.over, self.tries = False, 0


class Origin:
    def __init__(self, sim: Simulation, world):
        self.sim, self.world = sim, world
        self.asked: deque[int] = deque()  # arrivals of the last window
        self.taken: deque[int] = deque()  # and of these taken, in the last second
        self.queue: deque[Call] = deque()
        self.busy = self.falls = 0
        self.down_until = 0
        self.counts: Counter = Counter()

    def ask(self, call: Call, _place=None) -> None:
        w, now = self.world, self.sim.now
        self.counts["asked"] += 1
        if now < self.down_until:
            if w.silent:
                return  # who asked finds out by its own time-out
            note = AttemptDetail.SOURCE_UNREACHABLE if call.write else AttemptDetail.ORIGIN_FAILED
            return self.sim.after(w.far_s, call.answer, AttemptStatus.FULL, note)
        self.asked.append(now)
        while self.asked[0] <= now - w.origin_window_s * 1e6:
            self.asked.popleft()
        if len(self.asked) > w.origin_multiple * w.origin_per_s * w.origin_window_s:
            self.falls += 1
            self.down_until = now + int(w.origin_down_s * 1e6)
            self.asked.clear()
            self.queue.clear()
            return
        while self.taken and self.taken[0] <= now - 1_000_000:
            self.taken.popleft()
        if w.origin_rate and len(self.taken) >= w.origin_rate * w.origin_per_s:
            self.counts["refused"] += 1
            return self.sim.after(w.far_s, call.answer, AttemptStatus.FULL, AttemptDetail.ORIGIN_FAILED)
        self.taken.append(now)
        self.queue.append(call)
        self._work()

    def _work(self) -> None:
        while self.queue and self.busy < self.world.workers:
            call = self.queue.popleft()
            if call.over and self.world.drops:
                continue
            self.busy += 1
            self.sim.after(self.world.origin_call_s, self._done, call, self.falls)

    def _done(self, call: Call, falls: int) -> None:
        self.busy -= 1
        if falls == self.falls:  # else it stopped in the middle of it
            self.counts["done"] += 1
            self.counts["wasted"] += call.over
            self.sim.after(self.world.far_s, call.answer, AttemptStatus.OK, AttemptDetail.ORIGIN_ASKED)
        self._work()


class Parent:
    """Fills caches from its copies, and itself from the origin. `place` is the link into the asker's
    location."""

    def __init__(self, sim: Simulation, world, origin: Origin, keep_us: int):
        self.sim, self.world, self.origin = sim, world, origin
        self.pipe, self.kept = Pipe(sim, world.parent_links), Kept(sim, keep_us)
        self.coming: dict[object, list] = {}

    def ask(self, call: Call, place: Pipe) -> None:
        if self.kept.use(call.key):
            self._send(call, place, AttemptDetail.FILLED)
        elif call.only_held:
            self.sim.after(self.world.far_s, call.answer, AttemptStatus.MISS, AttemptDetail.SOURCE_LACKS)
        elif self.world.joins and call.key in self.coming:
            self.coming[call.key].append((call, place))
        else:
            if self.world.joins:
                self.coming[call.key] = []
            self._fetch(call, place)

    def _fetch(self, call: Call, place: Pipe) -> None:
        own = Call(call.key, call.work_s, lambda status, note: self._fetched(call, place, status, note))
        call.tries += 1
        self.origin.ask(own)

    def _fetched(self, call: Call, place: Pipe, status: AttemptStatus, note: AttemptDetail) -> None:
        if status is not AttemptStatus.OK and call.tries <= self.world.parent_retries and not call.over:
            return self._fetch(call, place)
        others = self.coming.pop(call.key, ())
        if status is AttemptStatus.OK:
            self.kept.put(call.key)
        for waiting, where in ((call, place), *others):
            if status is AttemptStatus.OK:
                self._send(waiting, where, AttemptDetail.ORIGIN_ASKED)
            else:
                waiting.answer(status, note)

    def _send(self, call: Call, place: Pipe, note: AttemptDetail) -> None:
        if call.over:
            return
        # One after the other, the second as fast as its link goes: both links carry each byte once, and a
        # transfer that one of them holds up takes nothing of the other meanwhile.
        self.pipe.send(
            call,
            call.work_s,
            self.world.fill_pace,
            lambda: place.send(call, call.work_s, place.link.capacity, lambda: call.answer(AttemptStatus.OK, note)),
        )

    def leave(self, call: Call, place: Pipe) -> None:
        for pipe in (self.pipe, place):
            pipe.abort(call)
