"""A planned restart (SIGTERM) while a client reads its answers at 1 MB a second and goes on sending."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as s  # noqa: E402

BYTES_PER_S = 1_000_000  # some clients read at most 1 MB a second
SIZE = 200_000
REQUESTS = 14  # 2.8 MB: read within 2.5 s after SIGTERM, long before SIGKILL may come
NEXT_AT_S = (1.2, 1.5, 1.8, 2.1)  # after SIGTERM: the client goes on sending, until it reads that it shall not


async def case(record: s.Record, folder: Path) -> list[str]:
    async def answer(member: s.Member, rid: str, fields: dict, body: bytes):
        await asyncio.sleep(0.02)
        return "ok", s.ok_fields("mem"), s.content(fields["k"], SIZE)

    members = [
        s.Member("c0", "standard", "edge-1", record, answer),
        s.Member("p0", "parent", "north-hub", record, answer),
        s.Member("records", "origin", "north-hub", record, answer, 20.0),
    ]
    for member in members:
        await member.listen()
    coordinator = s.Coordinator(record, members)
    await coordinator.listen()
    director = s.Director(record, folder / "n0", coordinator, s.settings())
    try:
        await director.start()
        client = s.Client(record, bytes_per_s=BYTES_PER_S)
        await client.connect(director.port)
        first = [client.request("tour-video", f"{i + 1:016x}", 5000) for i in range(REQUESTS)]
        await asyncio.sleep(0.3)
        at = time.monotonic()
        if s.trouble():
            director.signal(signal.SIGTERM)
        for next_at in NEXT_AT_S:
            await asyncio.sleep(max(0.0, at + next_at - time.monotonic()))
            if not client.goaway and not client.ended:
                client.request("tour-video", f"{99:016x}", 5000)
        await asyncio.sleep(6)
        record("director-code", director.process.returncode)
        cut = [r for r in first if r.outcome == "unanswered"]
        if cut:
            when = f"{client.end_time - at:.2f} s after SIGTERM" if client.ended else "still open"
            return [
                f"{len(cut)} of {REQUESTS} requests taken before SIGTERM got no whole answer; the connection was "
                f"{client.ended}, {when}"
            ]
        return []
    finally:
        await director.stop()


s.main(case, Path(__file__).resolve().parent)
