"""A seeded soak test: a cluster under load while directors restart, reload and are upgraded, members restart, the
coordinator falls silent, wall clocks are stepped and socket calls fail. Every third seed has a crowd (soak_crowds.py).
Caches drain, also while a director starts or is stopped (soak_drains.py).

The seed determines the events and their times. The test checks invariants, contained faults, exit codes, memory, the
time to readiness, and each lost request. The platform's page allows a director to lose requests that arrive more than
0.7 s after SIGTERM, and a request that crosses the close of an idle connection within 50 ms: its client sends it again.
"""

from __future__ import annotations

import json
import random
import signal
from collections.abc import Awaitable, Callable

import trio

from rookbend.testing.cluster.cluster_runner import open_cluster
from rookbend.testing.cluster.process import Node
from rookbend.testing.cluster.process_cluster import ProcessCluster
from rookbend.testing.cluster.record import now_us
from rookbend.testing.cluster.soak_crowds import MEMORY_LIMIT_MB, SoakCrowds, is_of_unrecorded_client
from rookbend.testing.cluster.soak_drains import SoakDrains
from rookbend.testing.cluster.soak_result import SoakResult
from rookbend.testing.cluster.traffic_classes import TRAFFIC_CLASSES
from rookbend.testing.cluster.workload import LostRequest

DIRECTORS = 3
RATE = 60.0  # requests per second
LATE_REQUEST_US = 700_000  # after SIGTERM; later requests may be lost
CLOSE_RACE_US = 50_000  # a request sent this shortly before the close of an idle connection may be lost
MAX_COUNTED_DEADLINE_US = 3_000_000  # by the platform's page, a longer deadline counts as this one
LONGEST_DEADLINE_US = min(MAX_COUNTED_DEADLINE_US, max(kind.deadline_us for kind in TRAFFIC_CLASSES))
KILL_AFTER_S = (LONGEST_DEADLINE_US + LATE_REQUEST_US) / 1e6  # after SIGTERM, the earliest that the page allows
READY_WITHIN_S = 10.0
LONGEST_PAUSE_S = 1.5
MOST_FAILING_CALLS = 0.3  # share of socket calls
CLOCK_STEPS_S = 3600.0, -3600.0, 3.0, -3.0


class Soak:
    """The run of one seed; new events begin for `seconds`."""

    def __init__(self, cluster: ProcessCluster, seed: int, seconds: float):
        self.cluster = cluster
        self.seconds = seconds
        self.random = random.Random(f"{seed} soak")
        self.crowds = SoakCrowds(cluster, self.random, seconds, seed)
        self.drains = SoakDrains(cluster, self.random, self._restart)
        self.result = SoakResult(seed, crowd=self.crowds.kind)
        self.stopped_us: dict[str, list[int]] = {name: [] for name in cluster.names}  # SIGTERM
        self._events: list[Callable[[str], Awaitable[None]]] = [
            self._restart,
            self._restart_with_second_signal,
            self._reload_within_drain,
            self._signals_at_once,
            self._reload,
            self._reload_of_broken_files,
            self._upgrade,
            self._reload_within_upgrade,
            self._member_restart,
            self._silent_coordinator,
            self._clock_step,
            self._failing_calls,
            self.drains.drain,
            self.drains.drain_during_restart,
            self.drains.drain_while_stopped,
        ]

    async def run(self) -> SoakResult:
        """Plays the events one after the other and evaluates the run."""
        await self.cluster.start_with_operator_endpoints()
        await self.cluster.wait_for_served(50)
        self.cluster.nursery.start_soon(self.crowds.run)
        self.cluster.nursery.start_soon(self.crowds.watch_memory)
        end_s = trio.current_time() + self.seconds
        while trio.current_time() < end_s:
            event = self.random.choice(self._events)
            director = self.random.choice(self.cluster.names)
            self.result.events.append(f"{event.__name__.strip('_')} {director}")
            self.cluster.record.note("fault", director, event.__name__.strip("_"))
            await event(director)
            await trio.sleep(self.random.uniform(0, LONGEST_PAUSE_S))
        await self.cluster.wait_for_served(50)
        self._evaluate()
        return self.result

    # Directors

    def _stop(self, node: Node) -> None:
        self.stopped_us[node.name].append(now_us())
        node.signal(signal.SIGTERM)

    async def _wait_for_exit(self, node: Node) -> None:
        """Waits for an exit, and kills the process at the earliest time that the platform's page allows."""
        with trio.move_on_after(KILL_AFTER_S):
            if code := await node.wait_for_exit():
                self.result.failures.append(f"{node.name} ended with {code}")
            return
        self.result.failures.append(f"{node.name} had not ended {KILL_AFTER_S:g} s after SIGTERM")
        node.kill()
        await node.wait_for_exit()

    async def _start_replacement(self, name: str) -> None:
        began_s = trio.current_time()
        await self.cluster.wait_until(
            lambda: not self.cluster.front.targets[name].admitted, f"{name} is no longer admitted by the front"
        )
        self.cluster.nodes[name].set_clock()
        await self.cluster.start(name)
        await self.cluster.wait_until_admitted(name)
        took_s = trio.current_time() - began_s
        self.result.slowest_start_s = max(self.result.slowest_start_s, took_s)
        if took_s > READY_WITHIN_S:
            self.result.failures.append(f"{name} was ready after {took_s:.1f} s")

    async def _restart(self, name: str, *later_signals: signal.Signals, within_s: float = 0.0) -> None:
        node = self.cluster.nodes[name]
        self._stop(node)
        for number in later_signals:
            await trio.sleep(within_s)
            node.signal(number)
        await self._wait_for_exit(node)
        await self._start_replacement(name)

    async def _restart_with_second_signal(self, name: str) -> None:
        await self._restart(name, signal.SIGTERM, signal.SIGINT, within_s=self.random.uniform(0, 1.0))

    async def _reload_within_drain(self, name: str) -> None:
        self._write_changed_config(name)
        await self._restart(name, signal.SIGHUP, within_s=self.random.uniform(0, 1.0))

    async def _signals_at_once(self, name: str) -> None:
        node = self.cluster.nodes[name]
        for number in self.random.sample((signal.SIGHUP, signal.SIGUSR1, signal.SIGHUP), 3):
            node.signal(number)
        await self._restart(name)

    def _write_changed_config(self, name: str) -> None:
        attempts = self.random.randint(3, 6)
        self.cluster.change_settings = lambda settings: {
            **settings,
            "limits": {**settings["limits"], "maxAttempts": attempts},
        }
        node = self.cluster.nodes[name]
        operator = json.loads(node.config_file.read_text())["operator"]
        node.config_file.write_text(json.dumps({**self.cluster.config(name), "operator": operator}))

    async def _reload(self, name: str) -> None:
        node = self.cluster.nodes[name]
        before = len(node.find_logs("reloaded"))
        self._write_changed_config(name)
        node.signal(signal.SIGHUP)
        await self.cluster.wait_until(lambda: len(node.find_logs("reloaded")) > before, f"{name} reloads")

    async def _reload_of_broken_files(self, name: str) -> None:
        node = self.cluster.nodes[name]
        before = len(node.find_logs("reload_failed"))
        original = node.config_file.read_bytes()
        node.config_file.write_bytes(original[: self.random.randrange(1, len(original))])
        node.signal(signal.SIGHUP)
        await self.cluster.wait_until(
            lambda: len(node.find_logs("reload_failed")) > before, f"{name} refuses to reload"
        )
        node.config_file.write_bytes(original)

    async def _upgrade(self, name: str, reload: bool = False) -> None:
        old = await self.cluster.upgrade(name)
        if reload:
            await trio.sleep(self.random.uniform(0, 0.5))
            old.signal(signal.SIGHUP)
        await self.cluster.wait_until_accepting(name)
        self._stop(old)
        await self._wait_for_exit(old)

    async def _reload_within_upgrade(self, name: str) -> None:
        await self._upgrade(name, reload=True)

    async def _clock_step(self, name: str) -> None:
        """Steps the wall clock of one director; its next process has the true time."""
        self.cluster.nodes[name].set_clock(self.random.choice(CLOCK_STEPS_S))

    async def _failing_calls(self, name: str) -> None:
        """Socket calls of one director fail or come short for a while."""
        node = self.cluster.nodes[name]
        node.set_failing_calls(self.random.uniform(0.05, MOST_FAILING_CALLS))
        await trio.sleep(self.random.uniform(1.0, 3.0))
        node.set_failing_calls()

    # Members, coordinator

    async def _member_restart(self, _name: str) -> None:
        member = self.random.choice([cache.name for cache in self.cluster.caches])
        self.cluster.power_off(member)
        await trio.sleep(self.random.uniform(0.1, 1.0))
        await self.cluster.power_on(member)

    async def _silent_coordinator(self, _name: str) -> None:
        self.cluster.coordinator.disconnect()
        await trio.sleep(self.random.uniform(0.5, 3.0))
        self.cluster.coordinator.reconnect()

    # Evaluation

    def _may_be_lost(self, request: LostRequest) -> bool:
        if request.lost_us - request.sent_us <= CLOSE_RACE_US or self.drains.ended_at_stop(request):
            return True
        # At the end of its grace period a director closes the connections without an open request.
        return any(
            LATE_REQUEST_US - CLOSE_RACE_US <= request.sent_us - stopped_us <= KILL_AFTER_S * 1e6
            for stopped_us in self.stopped_us[request.director]
        )

    def _evaluate(self) -> None:
        front, result = self.cluster.front, self.result
        result.requests = len(front.requests)
        result.served = sum(request.served_us > 0 for request in front.requests)
        result.lost = len(front.lost)
        result.peak_memory_mb = round(self.crowds.peak_mb, 1)
        if result.peak_memory_mb > MEMORY_LIMIT_MB:
            result.failures.append(f"a director took {result.peak_memory_mb} MB of {MEMORY_LIMIT_MB}")
        result.failures += [
            f"lost at {request.director}: sent {(request.sent_us - self.cluster.record.began_us) / 1e6:.3f} s, "
            f"lost {(request.lost_us - self.cluster.record.began_us) / 1e6:.3f} s"
            for request in front.lost
            if not self._may_be_lost(request)
        ]
        result.failures += [
            f"{violation.rule}: {violation.subject} {violation.text}"
            for violation in self.cluster.record.find_violations()
            if not is_of_unrecorded_client(violation)
        ]


async def soak(seed: int, seconds: float) -> SoakResult:
    """Runs one seed. Raises AssertionError if a check failed, a director contained a fault or a wait timed out."""
    async with open_cluster(DIRECTORS, 3, 1, seed, rate=RATE) as cluster:
        cluster.front.honors_closing = seed % 2 == 0  # the other seeds send on open connections to the end
        result = await Soak(cluster, seed, seconds).run()
        cluster.front.running.cancel()
        if result.failures:
            raise AssertionError("\n".join([*result.failures, *result.events]))
    return result
