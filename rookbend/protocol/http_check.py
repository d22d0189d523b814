"""The client of an HTTP health check (RFC 9110, RFC 9112), with h11.

Besides the status, two response headers apply, as Envoy's health checking defines them: a server that sends
`x-envoy-immediate-health-check-fail` is removed from service at once; one that sends `x-envoy-degraded` is degraded.
"""

from __future__ import annotations

from typing import Any

import h11

from rookbend.core.check_result import CheckOutcome, CheckResult

IMMEDIATE_FAIL_HEADER = b"x-envoy-immediate-health-check-fail"
DEGRADED_HEADER = b"x-envoy-degraded"
MAX_HEAD_BYTES = 16 << 10
MAX_REASON_CHARS = 120


class HttpCheckClient:
    """One request on one connection, without I/O; `result` is set once it is known."""

    def __init__(
        self, method: str, path: str, host: str, statuses: tuple[tuple[int, int], ...], body: str, max_bytes: int
    ):
        """`statuses` are the ranges that pass, both ends included; `body`, unless empty, is a text that must occur in
        the first `max_bytes` of the response's body."""
        self.result: CheckResult | None = None
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._request = h11.Request(
            method=method,
            target=path,
            headers=[("Host", host), ("User-Agent", "rookbend-check"), ("Accept", "*/*"), ("Connection", "close")],
        )
        self._accepted_statuses = statuses
        self._expected_body = body.encode()
        self._max_bytes = max_bytes
        self._body = b""
        self._status = 0
        self._degraded = False

    def start(self) -> bytes:
        """Returns the request."""
        return (self._http.send(self._request) or b"") + (self._http.send(h11.EndOfMessage()) or b"")

    def feed(self, data: bytes) -> bytes:
        """Takes received bytes, empty at the end of the connection; there are never bytes to send."""
        if self.result is not None:
            return b""
        try:
            self._http.receive_data(data)
            while self.result is None:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    break
                self._handle(event)
        except h11.RemoteProtocolError as error:
            self.result = CheckResult(CheckOutcome.BROKEN, f"invalid HTTP response: {error}"[:MAX_REASON_CHARS])
        return b""

    def _handle(self, event: Any) -> None:
        if isinstance(event, h11.Response):
            self._handle_head(event)
        elif isinstance(event, h11.Data):
            self._handle_body(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self.result = CheckResult(CheckOutcome.FAILED, f"{self._status} without the expected text in the body")
        elif isinstance(event, h11.ConnectionClosed):
            self.result = CheckResult(CheckOutcome.BROKEN, "connection closed before the response")

    def _handle_head(self, response: h11.Response) -> None:
        self._status = response.status_code
        names = {name for name, _ in response.headers}
        self._degraded = DEGRADED_HEADER in names
        if IMMEDIATE_FAIL_HEADER in names:
            self.result = CheckResult(CheckOutcome.DISMISSED, "server requested immediate removal from service")
        elif not any(lowest <= self._status <= highest for lowest, highest in self._accepted_statuses):
            self.result = CheckResult(CheckOutcome.FAILED, f"status {self._status}")
        elif not self._expected_body:
            self._pass()

    def _handle_body(self, data: bytes) -> None:
        self._body += data
        if self._expected_body and self._expected_body in self._body:
            self._pass()
        elif len(self._body) > self._max_bytes:
            reason = f"expected text not found in the first {self._max_bytes} bytes of the body"
            self.result = CheckResult(CheckOutcome.FAILED, reason)

    def _pass(self) -> None:
        if self._degraded:
            self.result = CheckResult(CheckOutcome.DEGRADED, "server reports that it is degraded")
        else:
            self.result = CheckResult(CheckOutcome.PASSED, "")
