"""Demonstrates a power loss and the recovery of a fleet on this machine: `rookbend demo`.

Directors are processes of this program; caches, a parent, the origin, the coordinator and the clients are test doubles
(`rookbend.testing.cluster.open_cluster`). Results come from the observed traffic, not from directors' reports.
"""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from importlib.util import find_spec
from pathlib import Path

import trio

from rookbend.testing.cluster import HungProcessError, ProcessCluster, open_cluster
from rookbend.testing.cluster.record import now_us

REFRESH_INTERVAL_S = 0.5
RECOVERY = "[recovery]\n fleet demo\n"
STATE = "[state]\n folder {state}\n fleet demo\n"


def default_operator_settings() -> str:
    """Returns settings with recovery, and with durable state if its library, apsw, is installed."""
    return RECOVERY + (STATE if find_spec("apsw") else "")


@dataclass(frozen=True, slots=True)
class Plan:
    """The size of the fleet and the timing of a demonstration."""

    directors: int = 3
    caches: int = 6
    rate: float = 90.0
    seed: int = 7
    before_outage_s: float = 8.0  # from the first admission to the power loss
    outage_s: float = 2.0
    after_return_s: float = 20.0  # at least, from the return of power to the report
    operator_settings: str | None = None  # None: `default_operator_settings`


class Demo:
    """Runs a demonstration; calls `on_progress(phase, rows)` every REFRESH_INTERVAL_S with the table of processes."""

    def __init__(self, plan: Plan, on_progress: Callable[[str, list[list[str]]], None]):
        self.plan, self.on_progress, self.phase = plan, on_progress, "starting"
        self.first_admission_us = self.power_lost_us = self.power_back_us = 0

    async def run(self, log_folder: Path | None = None) -> dict:
        """Runs the demonstration and returns its `report`; configurations and logs stay in `log_folder` if given."""
        plan = self.plan
        operator_settings = default_operator_settings() if plan.operator_settings is None else plan.operator_settings
        with tempfile.TemporaryDirectory(prefix="rookbend-demo-") as folder:
            async with (
                open_cluster(
                    plan.directors,
                    plan.caches,
                    1,
                    plan.seed,
                    operator_settings,
                    plan.rate,
                    folder=log_folder or Path(folder),
                ) as cluster,
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(self._report_progress, cluster)
                await cluster.start()
                await cluster.wait_until_admitted()
                self.first_admission_us, self.phase = now_us(), "serving"
                await trio.sleep(plan.before_outage_s)
                self.power_lost_us, self.phase = now_us(), "power lost"
                cluster.power_off()
                await trio.sleep(plan.outage_s)
                self.power_back_us, self.phase = now_us(), "power restored"
                await cluster.power_on()
                await trio.sleep(plan.after_return_s)
                with suppress(HungProcessError):  # the report then lacks the director
                    await cluster.wait_until_admitted()
                nursery.cancel_scope.cancel()
            self.on_progress("ended", self.rows(cluster))
        return self.report(cluster)

    async def _report_progress(self, cluster: ProcessCluster) -> None:
        while True:
            self.on_progress(self.phase, self.rows(cluster))
            await trio.sleep(REFRESH_INTERVAL_S)

    def rows(self, cluster: ProcessCluster) -> list[list[str]]:
        """Returns one row for each process: name, role, state and activity."""
        rows = []
        for name, node in cluster.nodes.items():
            state = (
                "down" if not node.running else "admitted" if cluster.front.targets[name].admitted else "not admitted"
            )
            stages = node.find_logs("recovery_stage") if node.running else []
            rows.append(
                [
                    name,
                    "director",
                    state,
                    f"incarnation {node.start_count}" + (f", {stages[-1]['stage']}" if stages else ""),
                ]
            )
        for member in cluster.members.values():
            cold = member.role != "origin" and member.is_cold(now_us())
            rows.append(
                [
                    member.name,
                    member.role,
                    "down" if member.down else "cold" if cold else "warm",
                    f"{member.request_count} requests, {member.admitted_count} requests and fills accepted, "
                    f"{member.overload_count} overloads",
                ]
            )
        return rows

    def report(self, cluster: ProcessCluster) -> dict:
        """Returns the report as an object to encode as JSON.

        `rules` counts violations by rule, `return` has [director, seconds from the return of power to its admission],
        `worth` the ratio of priority weight earned in each second since the first admission, `lost_at` and `back_at`
        the seconds of the power loss and of its end, and `falls` the overloads by member.
        """
        admitted = [
            [who, round((at - self.power_back_us) / 1e6, 2)]
            for at, what, who, _ in cluster.record.rows
            if what == "admitted" and at >= self.power_back_us
        ]
        # Requests of the last two seconds may still be open.
        seconds = cluster.front.by_second(self.first_admission_us, now_us() - 2_000_000)
        worth = [
            round(earned / requested, 3) if requested else None
            for earned, requested in (seconds.get(i, (0.0, 0.0)) for i in range(max(seconds, default=-1) + 1))
        ]
        breaches = cluster.record.find_violations()
        return {
            "directors": self.plan.directors,
            "seed": self.plan.seed,
            "requests": len(cluster.front.requests),
            "return": admitted,
            "worth": worth,
            "lost_at": round((self.power_lost_us - self.first_admission_us) / 1e6, 1),
            "back_at": round((self.power_back_us - self.first_admission_us) / 1e6, 1),
            "falls": {b.name: b.overload_count for b in cluster.members.values() if b.overload_count},
            "seen": cluster.record.checker.observed_events,
            "rules": cluster.record.checker.violations_by_rule(),
            "breaches": [f"{b.rule}: {b.subject} {b.text}" for b in breaches[:20]],
            "client_late_ms": round(cluster.front.late_s * 1000, 1),
        }
