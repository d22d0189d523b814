"""The plan of background work: what may start now, by priority, due time and budgets. Pure.

A job has a key, a kind, a priority and a time from which it is due. `take` gives the jobs to start now; each
holds its room until `done`. Among the jobs that are due the one with the least `due + priority * PATIENCE`
goes first: a higher priority (a lower number) goes ahead, but what has waited for long enough goes ahead of
it, so nothing starves.

Budgets: starts a second (a token bucket that holds a tenth of a second's worth) for all kinds together; room,
that is jobs running and descriptors held, for all kinds together but those that are given room of their own,
such as jobs that last. Within a room the first in line is waited for, so a job that needs much is not passed
over for good. `hold` keeps back all jobs beyond a priority, for a director that has better things to do.

State: one row a job, dropped by `drop`; the owner of a job drops it with whatever it belongs to.
"""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from dataclasses import dataclass
from hashlib import blake2b

from rookbend.core.token_bucket import TokenBucket

URGENT, NORMAL, IDLE = range(3)
PATIENCE_US = 2_000_000  # a job overdue by this much goes ahead of one of the next higher priority
BUCKET_SHARE = 10  # the bucket holds a second's starts over this, and one at least

Key = Hashable


@dataclass(frozen=True, slots=True)
class Room:
    """What may be held at once: jobs running, and descriptors."""

    running: int
    descriptors: int


class Held:
    """What of a room is held, and the jobs in line for it."""

    __slots__ = ("descriptors", "line", "room", "running")

    def __init__(self, room: Room):
        self.room = room
        self.running = self.descriptors = 0
        self.line: list[tuple[int, int, Key]] = []  # (rank, number, key): due

    def fits(self, descriptors: int) -> bool:
        """Whether a job that needs so many descriptors has room."""
        return self.running < self.room.running and self.descriptors + descriptors <= self.room.descriptors

    def change(self, jobs: int, descriptors: int) -> None:
        """Takes room, or gives it back where the figures are negative."""
        self.running += jobs
        self.descriptors += descriptors


class Job:
    """A piece of background work that comes again at its interval."""

    __slots__ = ("again", "descriptors", "due", "key", "kind", "number", "priority", "running")

    def __init__(self, key: Key, kind: str, descriptors: int):
        self.key, self.kind, self.descriptors = key, kind, descriptors
        self.due = self.priority = self.number = 0
        self.running = False
        self.again = False  # put anew while it ran

    @property
    def rank(self) -> int:
        """The order in which jobs that are due start."""
        return self.due + self.priority * PATIENCE_US


class Plan:
    """What runs in the background, within budgets; fed the time, it says what starts."""

    def __init__(self, rate: int, room: Room, own: dict[str, Room] | None = None, seed: int = 0):
        self.bucket = TokenBucket(rate, max(1, rate // BUCKET_SHARE))
        self.shared = Held(room)
        self.own = {kind: Held(r) for kind, r in (own or {}).items()}
        self.jobs: dict[Key, Job] = {}
        self.started = 0
        self._running: dict[int, Job] = {}  # by number; dropped ones keep their room
        self._later: list[tuple[int, int, Key]] = []  # (due, number, key): not due yet
        self._kept_back: dict[Key, None] = {}  # due, and beyond the priority that `hold` lets start
        self._most = IDLE
        self._number = 0
        self._seed = seed.to_bytes(16, "big")

    def spread(self, key: Key, span_us: int) -> int:
        """A part of the span, the same for a key at each call and in each process: first runs and jitter."""
        digest = blake2b(repr(key).encode(), digest_size=8, key=self._seed).digest()
        return int.from_bytes(digest, "big") * span_us >> 64

    def put(self, key: Key, due_us: int, priority: int = NORMAL, kind: str = "", descriptors: int = 1) -> None:
        """Adds a job, or moves it. One that runs is due again once it is done."""
        job = self.jobs.get(key)
        if job is None:
            job = self.jobs[key] = Job(key, kind, descriptors)
        job.due, job.priority = due_us, priority
        if job.running:
            job.again = True
            return
        self._number += 1
        job.number = self._number
        self._kept_back.pop(key, None)
        heapq.heappush(self._later, (due_us, job.number, key))
        # Rows of jobs that were moved stay behind until they come up; they must not grow without end.
        if len(self._later) > 2 * len(self.jobs) + 64:
            self._tidy()

    def _tidy(self) -> None:
        self._later = [(j.due, j.number, k) for k, j in self.jobs.items() if not j.running]
        heapq.heapify(self._later)
        self._kept_back.clear()
        for held in (self.shared, *self.own.values()):
            held.line.clear()

    def drop(self, key: Key) -> None:
        """Forgets a job. One that runs keeps its room until it is `done`."""
        self.jobs.pop(key, None)
        self._kept_back.pop(key, None)

    def hold(self, most: int = IDLE) -> None:
        """From now on nothing of a lower priority than this starts; what runs goes on."""
        self._most = most
        kept, self._kept_back = self._kept_back, {}
        for key in kept:
            job = self.jobs[key]
            heapq.heappush(self._later, (job.due, job.number, key))

    def _room_of(self, kind: str) -> Held:
        return self.own.get(kind, self.shared)

    def take(self, now: int) -> list[tuple[Key, int]]:
        """The jobs to start now, each with the number by which it is `done`."""
        while self._later and self._later[0][0] <= now:
            _, number, key = heapq.heappop(self._later)
            job = self.jobs.get(key)
            if job is None or job.number != number or job.running:
                continue
            if job.priority > self._most:
                self._kept_back[key] = None
            else:
                heapq.heappush(self._room_of(job.kind).line, (job.rank, number, key))
        self.bucket.fill(now)
        out = []
        while self.bucket.has_one:
            first = [held for held in (self.shared, *self.own.values()) if self._has_next(held)]
            if not first:
                break
            held = min(first, key=lambda h: h.line[0])
            _, number, key = heapq.heappop(held.line)
            job = self.jobs[key]
            self.bucket.spend()
            held.change(1, job.descriptors)
            job.running = True
            self._running[number] = job
            self.started += 1
            out.append((key, number))
        return out

    def _has_next(self, held: Held) -> bool:
        """Whether the first in line can start; rows of jobs moved or dropped are cleared on the way."""
        while held.line:
            _, number, key = held.line[0]
            job = self.jobs.get(key)
            if job is not None and job.number == number and not job.running:
                if job.priority <= self._most:
                    return held.fits(job.descriptors)
                self._kept_back[key] = None
            heapq.heappop(held.line)
        return False

    def done(self, number: int) -> None:
        """A job that `take` gave has ended: its room is free. It runs again only if it is `put` again."""
        job = self._running.pop(number)
        self._room_of(job.kind).change(-1, -job.descriptors)
        job.running = False
        if self.jobs.get(job.key) is not job:
            return
        if job.again:
            job.again = False
            self.put(job.key, job.due, job.priority, job.kind, job.descriptors)
        else:
            del self.jobs[job.key]

    @property
    def running(self) -> int:
        """How many jobs run now."""
        return len(self._running)

    @property
    def waiting(self) -> bool:
        """Whether any job that is due has not started."""
        return bool(self.shared.line) or any(held.line for held in self.own.values())

    def due(self, now: int) -> int:
        """When `take` may next have something to give, or 0 if only a `put`, a `done` or a `hold` can change
        that."""
        times = [self._later[0][0]] if self._later else []
        if not self.bucket.has_one and any(map(self._has_next, (self.shared, *self.own.values()))):
            times.append(max(now + 1, self.bucket.next_us()))
        return min(times) if times else 0
