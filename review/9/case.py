"""Bad clients connect by hundreds and say nothing; usual clients connect behind them."""

from __future__ import annotations

import asyncio
import os
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins_2 as s  # noqa: E402

SILENT = int(os.environ.get("SILENT", "900"))  # clients that connect and say nothing
USUAL = 12  # clients that connect right after them and ask at once
BUDGET_MS = 1250  # half of the class's give-up time of 2.5 s
SOCKETS = 256  # the director's descriptor limit
LATE_S = 0.5 + 0.05  # after its time an answer only earns nothing for half a second; 50 ms for the sockets


def backlog_limit() -> int:
    return int(Path("/proc/sys/net/core/somaxconn").read_text())


async def case(record: s.Record, folder: Path) -> list[str]:
    async def cache(member: s.Member, rid: str, fields: dict, body: bytes):
        await asyncio.sleep(0.03)
        return "ok", s.ok_fields("mem"), s.content(fields["k"], 2000)

    async def upper(member: s.Member, rid: str, fields: dict, body: bytes):
        await asyncio.sleep(0.03)
        return "ok", s.ok_fields(), s.content(fields["k"], 2000)

    if backlog_limit() < 1024:
        raise s.CannotRunError("the system accepts fewer waiting connections than the director asks for")
    members = [
        *(s.Member(f"c{i}", "standard", "edge-1", record, cache) for i in range(8)),
        s.Member("p0", "parent", "north-hub", record, upper, 20.0),
        s.Member("records", "origin", "north-hub", record, upper, 20.0),
    ]
    for member in members:
        await member.listen()
    coordinator = s.Coordinator(record, members)
    await coordinator.listen()
    director = s.Director(
        record, folder / "n0", coordinator, s.settings(), limits={"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS}
    )
    silent = []
    try:
        await director.start()
        if s.trouble():
            for _ in range(SILENT):
                sock = socket.socket()
                sock.setblocking(False)
                sock.connect_ex(("127.0.0.1", director.port))
                silent.append(sock)
            record("silent-clients", len(silent))
        clients = []
        for i in range(USUAL):
            client = s.Client(record)
            await client.connect(director.port)
            clients.append((client, client.request("page-image", f"{i + 1:016x}", BUDGET_MS)))
        await asyncio.sleep(6)
        late, over = [], 0
        sent = {request.rid: request.sent for _, request in clients}
        for member in members:
            for at, rid, fields in member.arrived:
                left_ms = round((sent[rid] + BUDGET_MS / 1000 - at) * 1000)
                record("deadline", rid, "passed-on-ms", fields["w"], "client-has-left-ms", left_ms)
                over += int(fields["w"]) > max(left_ms, 0) + 150
        for client, request in clients:
            if request.outcome == "unanswered":
                record("took", request.rid, "no answer, connection", client.ended or "open")
                if not client.ended:  # a new connection may be shut unread while idle clients fill the descriptors
                    late.append("never")
            else:
                took = request.answer.result()[2] - request.sent
                record("took", request.rid, request.outcome, round(took, 3))
                if took > BUDGET_MS / 1000 + LATE_S:
                    late.append(f"{request.outcome} after {took:.2f} s")
        if not late:
            return []
        return [
            f"{len(late)} of {USUAL} answers came more than half a second after the client's {BUDGET_MS} ms, or "
            f"never: {late}; {over} attempts were passed on with over 0.15 s more than the client had left"
        ]
    finally:
        for sock in silent:
            sock.close()
        await director.stop()


s.main(case, Path(__file__).resolve().parent)
