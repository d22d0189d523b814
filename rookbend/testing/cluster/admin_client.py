"""Requests to a director's two listeners for operators: the `[admin]` listener and the platform's operator endpoint."""

from __future__ import annotations

from collections.abc import Callable

import h11
import msgspec
import trio

from rookbend.protocol.coordinator_stream import split_address
from rookbend.testing.cluster.process import HANG_TIMEOUT_S, HungProcessError


async def http_request(address: str, path: str, method: str = "GET", body: dict | None = None) -> tuple[int, bytes]:
    """Sends one request on its own connection. Returns status and body; status 0 if no answer came."""
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
    """The part of `ProcessCluster` that sends requests to directors' listeners."""

    async def admin_request(self, name: str, path: str, method: str = "GET", body: dict | None = None) -> dict:
        """Sends one request to the director's `[admin]` listener. Returns the decoded answer with its `status`."""
        status, found = await http_request(self.addresses[name]["admin"], path, method, body)
        try:
            decoded = msgspec.json.decode(found)
        except msgspec.DecodeError:
            decoded = {"text": found.decode()}
        if method != "GET":
            self.record.note("asked", name, f"{method} {path} {status} {decoded.get('fault', '')}".rstrip())
        return {**decoded, "status": status}

    async def operator_request(self, name: str, method: str, path: str) -> tuple[int, str]:
        """Sends one request to the operator endpoint of a director's newest process. Returns status and text."""
        status, found = await http_request(self.addresses[name]["operator"], path, method)
        return status, found.decode()

    async def read_operator_metrics(self, name: str) -> dict[str, int]:
        """Returns the metrics of the operator endpoint by name."""
        _, text = await self.operator_request(name, "GET", "/status/metrics")
        return {line.partition(":")[0]: int(line.partition(":")[2].partition("|")[0]) for line in text.splitlines()}

    async def wait_for_answer(self, name: str, path: str, holds: Callable[[dict], bool]) -> dict:
        """Repeats a request until the answer satisfies `holds`. Raises `HungProcessError` on a time-out."""
        found = None
        with trio.move_on_after(HANG_TIMEOUT_S):
            while True:
                try:
                    found = await self.admin_request(name, path)
                    if holds(found):
                        return found
                except (OSError, trio.BrokenResourceError):
                    pass  # the director is starting or has ended
                await trio.sleep(0.02)
        raise HungProcessError(
            f"{name} never gave the expected answer to {path}; last answer:\n{found}\n{self.report()}"
        )
