"""The scheduler of background jobs: decides by priority, due time and budgets which jobs start now. Does no I/O.

Among the due jobs the one with the lowest `due + priority * PRIORITY_AGING_US` starts first. A job of higher priority
(a lower number) normally precedes others, but not jobs that are overdue by long enough, so no job starves.

One token bucket, which holds the starts of a tenth of a second, limits the rate of starts of all kinds together.
Running jobs and their descriptors count against a shared budget; a kind, such as one of long-running jobs, may have a
dedicated budget instead. Within a budget, no job overtakes the first one in the queue, so a job that needs many
descriptors is not passed over indefinitely.

The scheduler holds one entry per job until the job has ended or `cancel` is called. The owner of a job must cancel it
together with the object to which the job belongs.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator, Mapping
from hashlib import blake2b

from rookbend.core.token_bucket import TokenBucket
from rookbend.scheduling.budget import Budget, BudgetUse
from rookbend.scheduling.job import IDLE, NORMAL, Job, Key, QueuedJob, StartedJob

BURST_DIVISOR = 10  # the bucket holds rate / BURST_DIVISOR starts, but at least one
MIN_STALE_ENTRIES = 64
JITTER_BITS = 64
SEED_BYTES = 16


class Scheduler:
    """Decides which jobs start at a given time. Times are in microseconds."""

    def __init__(self, rate: int, budget: Budget, budgets_by_kind: Mapping[str, Budget] | None = None, seed: int = 0):
        """`rate` is in starts per second. Kinds in `budgets_by_kind` do not use the shared `budget`."""
        self.jobs: dict[Key, Job] = {}
        self.started = 0
        self.shared = BudgetUse(budget)
        self.dedicated = {kind: BudgetUse(own_budget) for kind, own_budget in (budgets_by_kind or {}).items()}
        self._bucket = TokenBucket(rate, max(1, rate // BURST_DIVISOR))
        self._running: dict[int, Job] = {}  # by sequence; cancelled jobs use their budget until they have ended
        self._not_due: list[QueuedJob] = []  # a heap by due time
        self._held_back: dict[Key, None] = {}  # due jobs with a priority too low to start at present
        self._lowest_priority = IDLE
        self._sequence = 0
        self._seed = seed.to_bytes(SEED_BYTES, "big")

    @property
    def running(self) -> int:
        """The number of running jobs."""
        return len(self._running)

    @property
    def has_waiting(self) -> bool:
        """Whether a due job has not started yet."""
        return any(use.queue for use in self._budget_uses())

    def jitter(self, key: Key, span_us: int) -> int:
        """A pseudo-random part of the span, which depends only on key and seed, so it is the same in each process."""
        digest = blake2b(repr(key).encode(), digest_size=JITTER_BITS // 8, key=self._seed).digest()
        return int.from_bytes(digest, "big") * span_us >> JITTER_BITS

    def schedule(self, key: Key, due_us: int, priority: int = NORMAL, kind: str = "", descriptors: int = 1) -> None:
        """Adds a job, or reschedules it; a running job becomes due again once it has ended."""
        job = self.jobs.get(key)
        if job is None:
            job = Job(key, kind, descriptors)
            self.jobs[key] = job
        job.due_us = due_us
        job.priority = priority
        if job.running:
            job.rescheduled = True
            return
        self._sequence += 1
        job.sequence = self._sequence
        self._held_back.pop(key, None)
        heapq.heappush(self._not_due, QueuedJob(due_us, job.sequence, key))
        # Stale entries of rescheduled jobs stay in the heap until they are due; their number must be bounded.
        if len(self._not_due) > 2 * len(self.jobs) + MIN_STALE_ENTRIES:
            self._rebuild_queues()

    def cancel(self, key: Key) -> None:
        """Removes a job; a running one uses its budget until `ended` is called."""
        self.jobs.pop(key, None)
        self._held_back.pop(key, None)

    def limit_priority(self, lowest: int = IDLE) -> None:
        """From now on no job with a priority below `lowest` starts; running jobs continue."""
        self._lowest_priority = lowest
        held_back = self._held_back
        self._held_back = {}
        for key in held_back:
            job = self.jobs[key]
            heapq.heappush(self._not_due, QueuedJob(job.due_us, job.sequence, key))

    def start_due(self, now_us: int) -> list[StartedJob]:
        """The jobs to start now. The caller must call `ended` for each of them."""
        self._queue_due(now_us)
        self._bucket.fill(now_us)
        started = []
        while self._bucket.has_token:
            ready = [use for use in self._budget_uses() if self._has_startable(use)]
            if not ready:
                break
            started.append(self._start_first(min(ready, key=_first_in_queue)))
        return started

    def ended(self, sequence: int) -> None:
        """Releases the budget of a job that has ended. The job runs again only if it was scheduled again."""
        job = self._running.pop(sequence)
        self._budget_use_of(job.kind).release(job.descriptors)
        job.running = False
        if self.jobs.get(job.key) is not job:
            return
        if job.rescheduled:
            job.rescheduled = False
            self.schedule(job.key, job.due_us, job.priority, job.kind, job.descriptors)
        else:
            del self.jobs[job.key]

    def next_start_us(self, now_us: int) -> int:
        """When `start_due` may next return a job; 0 if another method must be called first."""
        times_us = []
        if self._not_due:
            times_us.append(self._not_due[0].order_us)
        if not self._bucket.has_token and any(self._has_startable(use) for use in self._budget_uses()):
            times_us.append(max(now_us + 1, self._bucket.next_token_us()))
        return min(times_us, default=0)

    def _budget_uses(self) -> Iterator[BudgetUse]:
        yield self.shared
        yield from self.dedicated.values()

    def _budget_use_of(self, kind: str) -> BudgetUse:
        return self.dedicated.get(kind, self.shared)

    def _rebuild_queues(self) -> None:
        self._not_due = [QueuedJob(job.due_us, job.sequence, key) for key, job in self.jobs.items() if not job.running]
        heapq.heapify(self._not_due)
        self._held_back.clear()
        for use in self._budget_uses():
            use.queue.clear()

    def _current(self, entry: QueuedJob) -> Job | None:
        """The job of an entry; None if it was rescheduled, cancelled or started since."""
        job = self.jobs.get(entry.key)
        if job is None or job.sequence != entry.sequence or job.running:
            return None
        return job

    def _queue_due(self, now_us: int) -> None:
        while self._not_due and self._not_due[0].order_us <= now_us:
            entry = heapq.heappop(self._not_due)
            job = self._current(entry)
            if job is None:
                continue
            if job.priority > self._lowest_priority:
                self._held_back[entry.key] = None
            else:
                queue = self._budget_use_of(job.kind).queue
                heapq.heappush(queue, QueuedJob(job.rank, entry.sequence, entry.key))

    def _has_startable(self, use: BudgetUse) -> bool:
        """Whether the first job in the queue can start; drops stale entries in front of it."""
        while use.queue:
            entry = use.queue[0]
            job = self._current(entry)
            if job is not None:
                if job.priority <= self._lowest_priority:
                    return use.fits(job.descriptors)
                self._held_back[entry.key] = None
            heapq.heappop(use.queue)
        return False

    def _start_first(self, use: BudgetUse) -> StartedJob:
        entry = heapq.heappop(use.queue)
        job = self.jobs[entry.key]
        self._bucket.spend()
        use.acquire(job.descriptors)
        job.running = True
        self._running[entry.sequence] = job
        self.started += 1
        return StartedJob(entry.key, entry.sequence)


def _first_in_queue(use: BudgetUse) -> QueuedJob:
    return use.queue[0]
