"""A director with a crowd waiting for one fill: the fill's cache dies and the other cache of the branch is full."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as s  # noqa: E402

CROWD = 240  # requests for one object, within CROWD_S: under a third of the 950 a second of the pages
CROWD_S = 0.85
CONNECTIONS = 8


async def case(record: s.Record, folder: Path) -> list[str]:
    crowded: set[str] = set()
    hot = "00000000000000aa"

    async def cache(member: s.Member, rid: str, fields: dict, body: bytes):
        if member.name in crowded:
            return "refused", {"note": "crowded", "load": "util:1.0;inflight:40;x1:1.0"}, b""
        await asyncio.sleep(1.0 if fields["k"] == hot else 0.06)  # a fill of a large object
        return "ok", s.ok_fields(), s.content(fields["k"], 20_000)

    async def upper(member: s.Member, rid: str, fields: dict, body: bytes):
        await asyncio.sleep(0.06)
        return "ok", s.ok_fields(), s.content(fields.get("k", "0"), 20_000)

    caches = [s.Member(f"c{i}", "standard", "edge-1", record, cache) for i in range(2)]
    # The branch of this director has two caches of eight: one that dies is an eighth of the caches.
    others = [s.Member(f"d{i}", "standard", "edge-2", record, cache) for i in range(6)]
    members = [
        *caches,
        *others,
        s.Member("p0", "parent", "north-hub", record, upper, 20.0),
        s.Member("records", "origin", "north-hub", record, upper, 20.0),
    ]
    for member in members:
        await member.listen()
    coordinator = s.Coordinator(record, members)
    await coordinator.listen()
    director = s.Director(
        record,
        folder / "n0",
        coordinator,
        s.settings(
            zones=["north-hub", "edge-1", "edge-2"], familyInfo={"seatsByZone": [0, 1, 0], "homeHub": [0, 0, 0]}
        ),
    )
    await director.start()
    clients = [s.Client(record) for _ in range(CONNECTIONS)]
    try:
        for client in clients:
            await client.connect(director.port)
        for i in range(20):  # some ordinary requests first
            clients[i % CONNECTIONS].request("page-image", f"{i + 1:016x}", 2500)
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        began = time.monotonic()
        for i in range(CROWD):
            clients[i % CONNECTIONS].request("tour-video", hot, 5000)
            await asyncio.sleep(max(0.0, began + CROWD_S * (i + 1) / CROWD - time.monotonic()))
        await asyncio.sleep(max(0.0, began + CROWD_S + 0.05 - time.monotonic()))
        if s.trouble():
            leader = next(m for m in caches if any(f["k"] == hot for _, _, f in m.arrived))
            crowded.update(m.name for m in caches if m is not leader)  # the load of the branch falls on the other one
            leader.die()
        await asyncio.sleep(5.5)
        record("director-code", director.process.returncode)
        broken = []
        if director.process.returncode is not None:
            broken.append(f"the director crashed: exit code {director.process.returncode}")
        lost = [r for c in clients for r in c.all if r.outcome == "unanswered"]
        if lost:
            broken.append(f"{len(lost)} of {sum(len(c.all) for c in clients)} requests got no answer")
        return broken
    finally:
        await director.stop()


s.main(case, Path(__file__).resolve().parent)
