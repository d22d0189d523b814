"""A fleet on this machine that loses its power and returns: `rookbend demo`.

Directors are processes of this program; caches, a parent, the origin, the coordinator and the clients are
stand-ins (`lab.stage`). What is shown is what crossed the wires, never a director's word.
"""

from __future__ import annotations

import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from importlib.util import find_spec
from pathlib import Path

import trio

from rookbend.testing.cluster import ProcessCluster, open_cluster
from rookbend.testing.cluster.record import now_us

BEAT_S = 0.5
RECOVERY = "[recovery]\n fleet demo\n"
STATE = "[state]\n folder {state}\n fleet demo\n"


def default_operators() -> str:
    """Recovery on, and a disk where the library for it is there."""
    return RECOVERY + (STATE if find_spec("apsw") else "")


@dataclass(frozen=True, slots=True)
class Plan:
    """Sizes and seconds of a demonstration."""

    directors: int = 3
    caches: int = 6
    rate: float = 90.0
    seed: int = 7
    calm_s: float = 8.0  # from the first admission to the loss
    dark_s: float = 2.0
    after_s: float = 20.0  # from the return to the report
    operators: str | None = None  # None: `default_operators`


class Demo:
    """`watch(rows)` is called each half second with the table of what there is."""

    def __init__(self, plan: Plan, watch: Callable[[str, list[list[str]]], None]):
        self.plan, self.watch, self.act = plan, watch, "starting"
        self.began_us = self.lost_us = self.back_us = 0

    async def run(self, keep: Path | None = None) -> dict:
        """The report: see `report`. `keep` is a folder for configurations and logs."""
        plan = self.plan
        operators = default_operators() if plan.operators is None else plan.operators
        with tempfile.TemporaryDirectory(prefix="rookbend-demo-") as folder:
            async with (
                open_cluster(
                    plan.directors, plan.caches, 1, plan.seed, operators, plan.rate, folder=keep or Path(folder)
                ) as cluster,
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(self._show, cluster)
                await cluster.start()
                await cluster.wait_until_admitted()
                self.began_us, self.act = now_us(), "serving"
                await trio.sleep(plan.calm_s)
                self.lost_us, self.act = now_us(), "without power"
                cluster.power_off()
                await trio.sleep(plan.dark_s)
                self.back_us, self.act = now_us(), "power is back"
                await cluster.power_on()
                await trio.sleep(plan.after_s)
                nursery.cancel_scope.cancel()
            self.watch("ended", self.rows(cluster))
        return self.report(cluster)

    async def _show(self, cluster: ProcessCluster) -> None:
        while True:
            self.watch(self.act, self.rows(cluster))
            await trio.sleep(BEAT_S)

    def rows(self, cluster: ProcessCluster) -> list[list[str]]:
        """One row a process: name, what it is, state, and what it has done."""
        out = []
        for name, node in cluster.nodes.items():
            state = (
                "dead"
                if not node.running
                else "admitted"
                if cluster.front.targets[name].admitted
                else "up, not admitted"
            )
            stages = node.find_logs("recovery_stage") if node.running else []
            out.append(
                [name, "director", state, f"life {node.start_count}" + (f", {stages[-1]['stage']}" if stages else "")]
            )
        for member in cluster.stand_ins.values():
            cold = member.role != "origin" and member.is_cold(now_us())
            out.append(
                [
                    member.name,
                    member.role,
                    "dead" if member.down else "cold" if cold else "warm",
                    f"{member.request_count} asked, {member.admitted_count} worked, {member.overload_count} falls",
                ]
            )
        return out

    def report(self, cluster: ProcessCluster) -> dict:
        """{"rules": {rule: breaches}, "return": [[director, seconds after the power]], "worth": [share by
        second since the first admission], "lost_at": second, "back_at": second, "falls": {member: n}, ...}"""
        admitted = [
            [who, round((at - self.back_us) / 1e6, 2)]
            for at, what, who, _ in cluster.record.rows
            if what == "admitted" and at >= self.back_us
        ]
        # What was asked in the last two seconds may be open still.
        seconds = cluster.front.by_second(self.began_us, now_us() - 2_000_000)
        worth = [
            round(got / asked, 3) if asked else None
            for got, asked in (seconds.get(i, (0.0, 0.0)) for i in range(max(seconds, default=-1) + 1))
        ]
        breaches = cluster.record.find_violations()
        return {
            "directors": self.plan.directors,
            "seed": self.plan.seed,
            "requests": len(cluster.front.requests),
            "return": admitted,
            "worth": worth,
            "lost_at": round((self.lost_us - self.began_us) / 1e6, 1),
            "back_at": round((self.back_us - self.began_us) / 1e6, 1),
            "falls": {b.name: b.overload_count for b in cluster.stand_ins.values() if b.overload_count},
            "seen": cluster.record.checker.observed_events,
            "rules": cluster.record.checker.violations_by_rule(),
            "breaches": [f"{b.rule}: {b.subject} {b.text}" for b in breaches[:20]],
            "client_late_ms": round(cluster.front.late_s * 1000, 1),
        }
