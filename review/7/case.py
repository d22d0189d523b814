"""A planned restart (SIGTERM) while lookups of the DNS front wait for the resolver."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as s  # noqa: E402

RESOLVER_S = 0.2  # the resolver's usual time
LOOKUPS_FROM_S, LOOKUPS_TO_S, EVERY_S = -0.3, 0.6, 0.05  # relative to SIGTERM; 0.6 s: requests on open connections
QUIET_S = 12.5  # for four deadlines after its start a director fails lookups of writes


async def case(record: s.Record, folder: Path) -> list[str]:
    async def answer(member: s.Member, rid: str, fields: dict, body: bytes):
        await asyncio.sleep(0.03)
        return "ok", s.ok_fields(), b""

    members = [
        s.Member("c0", "standard", "edge-1", record, answer),
        s.Member("p0", "parent", "north-hub", record, answer),
        s.Member("records", "origin", "north-hub", record, answer, 20.0),
    ]
    for member in members:
        await member.listen()
    coordinator, resolver = s.Coordinator(record, members), s.Resolver(record, RESOLVER_S)
    await coordinator.listen()
    await resolver.listen()
    dns_port = s.free_port()
    conf = f"[dns]\n    listen 127.0.0.1:{dns_port}\n    resolver 127.0.0.1:{resolver.port}\n"
    director = s.Director(record, folder / "n0", coordinator, s.settings(), conf)
    try:
        await director.start()
        await asyncio.sleep(QUIET_S)
        client = s.DnsClient(record)
        await client.connect(dns_port)
        at = time.monotonic() - LOOKUPS_FROM_S  # the time of SIGTERM
        signalled = False
        steps = round((LOOKUPS_TO_S - LOOKUPS_FROM_S) / EVERY_S)
        rids: dict[int, str] = {}
        for i in range(steps + 1):
            due = at + LOOKUPS_FROM_S + i * EVERY_S
            if due >= at and not signalled:
                await asyncio.sleep(max(0.0, at - time.monotonic()))
                signalled = True
                if s.trouble():
                    director.signal(signal.SIGTERM)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            rid = f"{random.getrandbits(64):016x}"
            rids[client.look_up(f"r{rid}.p0.{rid}.g1.submit-app.route.example.org")] = rid
        await asyncio.sleep(4.0)  # SIGKILL comes no sooner than 3.7 s after SIGTERM
        ran = {r for _, r, _ in members[2].arrived}
        lost = [n for n in rids if n not in client.replies]
        twice = [n for n, replies in client.replies.items() if len(replies) > 1]
        record("director-code", director.process.returncode)
        broken = []
        if lost:
            broken.append(
                f"{len(lost)} of {len(rids)} lookups of writes got no reply, though "
                f"{sum(rids[n] in ran for n in lost)} of their writes ran: numbers {lost}"
            )
        if twice:
            broken.append(f"lookups with more than one reply: {twice}")
        return broken
    finally:
        await director.stop()


s.main(case, Path(__file__).resolve().parent)
