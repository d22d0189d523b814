"""Questions to a director's listeners: the operators' own (`[admin]`) and the platform's door for
operators."""

from __future__ import annotations

from collections.abc import Callable

import h11
import msgspec
import trio

from rookbend.protocol.coordinator_stream import split_address
from rookbend.testing.cluster.process import HANG_TIMEOUT_S, HungProcessError


async def http_request(address: str, path: str, method: str = "GET", body: dict | None = None) -> tuple[int, bytes]:
    """One call on a connection of its own: status and body; (0, ...) where it ended without an answer."""
    conn = h11.Connection(h11.CLIENT)
    data = msgspec.json.encode(body) if body is not None else b""
    headers = [("Host", "127.0.0.1"), ("Connection", "close"), ("Content-Length", str(len(data)))]
    if body is not None:
        headers.append(("Content-Type", "application/json"))
    out = conn.send(h11.Request(method=method, target=path, headers=headers))
    if data:
        out += conn.send(h11.Data(data=data))
    out += conn.send(h11.EndOfMessage())
    found, status = b"", 0
    async with await trio.open_tcp_stream(*split_address(address)) as stream:
        await stream.send_all(out)
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                found += bytes(event.data)
            else:
                return status, found


class AdminRequests:
    """The part of `Scene` that asks."""

    async def admin_request(self, name: str, path: str, method: str = "GET", body: dict | None = None) -> dict:
        """One question to the director's operators' listener; the decoded answer, with its `status`."""
        status, found = await http_request(self.addresses[name]["admin"], path, method, body)
        try:
            decoded = msgspec.json.decode(found)
        except msgspec.DecodeError:
            decoded = {"text": found.decode()}
        if method != "GET":
            self.record.note("asked", name, f"{method} {path} {status} {decoded.get('fault', '')}".rstrip())
        return {**decoded, "status": status}

    async def operator_request(self, name: str, method: str, path: str) -> tuple[int, str]:
        """One call at the newest door of a director: status and text."""
        status, found = await http_request(self.addresses[name]["operator"], path, method)
        return status, found.decode()

    async def read_operator_metrics(self, name: str) -> dict[str, int]:
        """The figures at that door, by name."""
        _, text = await self.operator_request(name, "GET", "/status/metrics")
        return {line.partition(":")[0]: int(line.partition(":")[2].partition("|")[0]) for line in text.splitlines()}

    async def wait_for_answer(self, name: str, path: str, holds: Callable[[dict], bool]) -> dict:
        """Asks a director's listener again and again until the answer is as wanted. Raises `HungProcessError`."""
        found = None
        with trio.move_on_after(HANG_TIMEOUT_S):
            while True:
                try:
                    found = await self.admin_request(name, path)
                    if holds(found):
                        return found
                except (OSError, trio.BrokenResourceError):
                    pass  # it has only begun, or just ended
                await trio.sleep(0.02)
        raise HungProcessError(f"{name} never answered {path} as wanted; last:\n{found}\n{self.report()}")
