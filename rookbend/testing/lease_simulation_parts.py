"""Components of the lease simulation: directors, a schedule of calls, and a network that loses datagrams."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from rookbend.leases import events
from rookbend.leases.machine import LeaseMachine

SECOND_US = 1_000_000
EPOCH_US = 1_764_576_000 * SECOND_US


@dataclass
class SimulatedDirector:
    """One director; `machine` is None while it is down.

    `applied_orders` and `order_outcomes` belong to its current incarnation.
    """

    number: int
    clock_rate: float = 1.0
    clock_step_us: int = 0  # offset by which its clock was set at its last start
    storage: dict[tuple[str, str], bytes] = field(default_factory=dict)
    storage_fails: bool = False
    machine: LeaseMachine | None = None
    starts: int = 0
    frozen: bool = False
    delayed_events: list[events.Event] = field(default_factory=list)  # while frozen
    applied_orders: list[tuple[str, str]] = field(default_factory=list)  # (target, order)
    order_outcomes: dict[int, str] = field(default_factory=dict)  # by id; an error, or empty for success
    log_counts: Counter[str] = field(default_factory=Counter)


class Schedule:
    """Calls at simulated times; calls for the same time run in the order in which they were scheduled."""

    def __init__(self) -> None:
        self.now_us = EPOCH_US
        self._calls: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._scheduled = 0

    def after(self, delay_us: int, call: Callable[..., None], *args: Any) -> None:
        """Schedules a call `delay_us` from now."""
        self._scheduled += 1
        heapq.heappush(self._calls, (self.now_us + delay_us, self._scheduled, call, args))

    def run(self, duration_us: int) -> None:
        """Advances simulated time by `duration_us` and runs the calls that are due."""
        end_us = self.now_us + duration_us
        while self._calls and self._calls[0][0] <= end_us:
            self.now_us, _, call, args = heapq.heappop(self._calls)
            call(*args)
        self.now_us = end_us


class SimulatedNetwork:
    """A network that loses, duplicates and delays datagrams.

    `loss` and `duplication` are ratios of datagrams, `delay_us` is the minimum delay, and `cut_links` has the links
    that lose everything, as pairs (from, to).
    """

    def __init__(self, generator: random.Random, loss: float, duplication: float, delay_us: int):
        self._random = generator
        self.loss = loss
        self._duplication = duplication
        self._delay_us = delay_us
        self.cut_links: set[tuple[int, int]] = set()
        self.datagrams_by_second: Counter[int] = Counter()
        self.bytes_sent = 0

    def send(self, time_us: int, sender: int, receiver: int, size: int) -> Iterator[int]:
        """Sends a datagram; yields the delay in microseconds of each copy that arrives."""
        self.datagrams_by_second[(time_us - EPOCH_US) // SECOND_US] += 1
        self.bytes_sent += size
        for _ in range(2 if self._random.random() < self._duplication else 1):
            if (sender, receiver) not in self.cut_links and self._random.random() >= self.loss:
                yield int(self._delay_us * (1 + self._random.expovariate(1.0)))
