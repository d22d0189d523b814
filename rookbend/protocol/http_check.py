"""An HTTP health check as the one who asks makes it (RFC 9110, RFC 9112), by h11.

Two answer headers count beside the status, as Envoy's health checking defines them: a server that sends
`x-envoy-immediate-health-check-fail` is to be taken out at once; `x-envoy-degraded` passes with less trust.
"""

from __future__ import annotations

import h11

from rookbend.core.check_result import CheckOutcome

FAIL_AT_ONCE = b"x-envoy-immediate-health-check-fail"
DEGRADED = b"x-envoy-degraded"
MOST_HEAD = 16 << 10


class HttpAsk:
    """One request. `result` is (Outcome, reason) once it is known."""

    def __init__(
        self, method: str, path: str, host: str, statuses: tuple[tuple[int, int], ...], body: str, most_bytes: int
    ):
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST_HEAD)
        self._request = h11.Request(
            method=method,
            target=path,
            headers=[("Host", host), ("User-Agent", "rookbend-check"), ("Accept", "*/*"), ("Connection", "close")],
        )
        self._statuses, self._wanted, self._most = statuses, body.encode(), most_bytes
        self._body = b""
        self._status = 0
        self._degraded = False
        self.result: tuple[CheckOutcome, str] | None = None

    def start(self) -> bytes:
        return self._http.send(self._request) + self._http.send(h11.EndOfMessage())

    def feed(self, data: bytes) -> bytes:
        """Takes what came, empty for the end of the connection. Gives what is to be sent: nothing."""
        if self.result is not None:
            return b""
        try:
            self._http.receive_data(data)
            while self.result is None:
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    break
                self._take(event)
        except h11.RemoteProtocolError as error:
            self.result = CheckOutcome.BROKEN, f"no HTTP: {error}"[:120]
        return b""

    def _take(self, event) -> None:
        if isinstance(event, h11.Response):
            self._head(event)
        elif isinstance(event, h11.Data):
            self._body += bytes(event.data)
            if self._wanted and self._wanted in self._body:
                self._passed()
            elif len(self._body) > self._most:
                self.result = CheckOutcome.FAILED, f"not found in the first {self._most} bytes of the body"
        elif isinstance(event, h11.EndOfMessage):
            self.result = CheckOutcome.FAILED, f"{self._status} with another body"
        elif isinstance(event, h11.ConnectionClosed):
            self.result = CheckOutcome.BROKEN, "closed before the answer"

    def _head(self, answer: h11.Response) -> None:
        self._status, names = answer.status_code, {name for name, _ in answer.headers}
        self._degraded = DEGRADED in names
        if FAIL_AT_ONCE in names:
            self.result = CheckOutcome.DISMISSED, "asked to be taken out at once"
        elif not any(low <= self._status <= high for low, high in self._statuses):
            self.result = CheckOutcome.FAILED, f"status {self._status}"
        elif not self._wanted:
            self._passed()

    def _passed(self) -> None:
        self.result = (CheckOutcome.DEGRADED, "says it is degraded") if self._degraded else (CheckOutcome.PASSED, "")
