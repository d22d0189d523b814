"""A stand-in ledger. It accepts lines of the fleet's report, `append TOKEN NUMBER LINE`, and refuses a token older
than the highest it has seen. All attempts are kept in order, so that tests can count those of earlier owners."""

from __future__ import annotations

from dataclasses import dataclass

import trio

from rookbend.leases.fencing import FencingGuard
from rookbend.testing.cluster.record import Record, now_us

SCOPE = 0


@dataclass(frozen=True, slots=True)
class AppendAttempt:
    at_us: int
    token: int
    number: int
    result: str  # "ok", "have" (a line of this number exists) or "old" (an old token)


class Ledger:
    def __init__(self, record: Record):
        self.record, self.receiver = record, FencingGuard()
        self.appends: list[AppendAttempt] = []
        self.lines: dict[int, str] = {}
        self.address: tuple[str, int] | None = None

    async def listen(self, nursery: trio.Nursery, host: str) -> None:
        listeners = await trio.open_tcp_listeners(0, host=host)
        self.address = listeners[0].socket.getsockname()[:2]
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        data = b""
        try:
            async for more in stream:
                data += more
                while (end := data.find(b"\n")) >= 0:
                    _, token, number, line = data[:end].decode().split(" ", 3)
                    data = data[end + 1 :]
                    await stream.send_all(self._append(int(token), int(number), line))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # the director has ended

    def _append(self, token: int, number: int, line: str) -> bytes:
        if not self.receiver.accept(SCOPE, token):
            result, answer = "old", f"old {self.receiver.highest[SCOPE]}\n"
        elif number in self.lines:
            result = answer = "have"
        else:
            self.lines[number] = line
            result = answer = "ok"
        self.appends.append(AppendAttempt(now_us(), token, number, result))
        self.record.note("ledger", result, f"token {token} number {number}")
        return f"{answer.rstrip()}\n".encode()
