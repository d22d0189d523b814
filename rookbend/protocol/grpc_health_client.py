"""The client of gRPC health checking: one call of Check or Watch (gRPC, Health Checking Protocol), with h2.

The status of a call is in its trailers, `grpc-status` (gRPC over HTTP/2, Responses).
"""

from __future__ import annotations

from collections.abc import Iterable

import h2.config
import h2.connection
import h2.events
import h2.exceptions
from google.protobuf.message import DecodeError

from rookbend.core.check_result import CheckOutcome, CheckResult
from rookbend.protocol.grpc_health_messages import (
    CHECK_METHOD,
    CONTENT_TYPE,
    SERVICE_PATH,
    WATCH_METHOD,
    GrpcMessageError,
    GrpcStatus,
    HealthCheckResponse,
    MessageReader,
    ServingStatus,
    encode_request,
    header_text,
)

PING_PAYLOAD = b"rookbend"
MAX_REASON_CHARS = 120


class GrpcHealthClient:
    """One call on one connection, without I/O.

    A Check sets `result` once. A Watch sets `result` with each status received; the caller takes the result and
    resets it to None. Once `ended` is set, an earlier status of a Watch is no longer valid.
    """

    def __init__(self, host: str, service: str, watch: bool = False):
        self.watch = watch
        self.result: CheckResult | None = None
        self.ended = False
        self.watch_unimplemented = False  # the server has no Watch; Check may still work
        self.pong_received = True
        self._host = host
        self._service = service
        self._connection = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
        self._reader = MessageReader()
        self._stream_id = 0

    def start(self) -> bytes:
        """Returns the bytes that open the connection and make the call."""
        self._connection.initiate_connection()
        self._stream_id = self._connection.get_next_available_stream_id()
        method = WATCH_METHOD if self.watch else CHECK_METHOD
        self._connection.send_headers(
            self._stream_id,
            [
                (":method", "POST"),
                (":scheme", "http"),
                (":authority", self._host),
                (":path", SERVICE_PATH + method),
                ("content-type", CONTENT_TYPE),
                ("te", "trailers"),
                ("user-agent", "rookbend-check"),
            ],
        )
        self._connection.send_data(self._stream_id, encode_request(self._service), end_stream=True)
        return self._connection.data_to_send()

    def ping(self) -> bytes:
        """Returns a PING, which distinguishes a Watch without changes from a dead connection."""
        self.pong_received = False
        self._connection.ping(PING_PAYLOAD)
        return self._connection.data_to_send()

    def feed(self, data: bytes) -> bytes:
        """Takes received bytes, empty at the end of the connection; returns the bytes to send."""
        if self.ended:
            return b""
        if not data:
            self._end(CheckOutcome.BROKEN, "connection closed before the response")
            return b""
        try:
            for event in self._connection.receive_data(data):
                self._handle(event)
        except (h2.exceptions.ProtocolError, GrpcMessageError, DecodeError) as error:
            self._end(CheckOutcome.BROKEN, f"invalid gRPC: {error}"[:MAX_REASON_CHARS])
        return self._connection.data_to_send()

    def _end(self, outcome: CheckOutcome, reason: str) -> None:
        if self.ended:
            return
        self.ended = True
        if self.watch or self.result is None:
            self.result = CheckResult(outcome, reason)

    def _handle(self, event: h2.events.Event) -> None:
        if isinstance(event, h2.events.PingAckReceived):
            self.pong_received = True
        elif isinstance(event, h2.events.ConnectionTerminated):
            self._end(CheckOutcome.BROKEN, "GOAWAY")
        elif getattr(event, "stream_id", 0) == self._stream_id:
            self._handle_stream(event)

    def _handle_stream(self, event: h2.events.Event) -> None:
        if isinstance(event, h2.events.ResponseReceived):
            self._handle_headers(_fields(event.headers))
        elif isinstance(event, h2.events.DataReceived):
            self._handle_data(event)
        elif isinstance(event, h2.events.TrailersReceived):
            self._handle_trailers(_fields(event.headers))
        elif isinstance(event, h2.events.StreamReset):
            self._end(CheckOutcome.BROKEN, "stream reset")
        elif isinstance(event, h2.events.StreamEnded):
            self._end(CheckOutcome.BROKEN, "call ended without a status")

    def _handle_headers(self, fields: dict[str, str]) -> None:
        if fields.get(":status") != "200":
            self._end(CheckOutcome.FAILED, f"HTTP status {fields.get(':status')}")
        elif "grpc-status" in fields:
            self._handle_trailers(fields)  # a Trailers-Only response

    def _handle_data(self, event: h2.events.DataReceived) -> None:
        self._connection.acknowledge_received_data(event.flow_controlled_length, self._stream_id)
        for message in self._reader.feed(event.data):
            self._handle_status(HealthCheckResponse.FromString(message).status)

    def _handle_status(self, status: int) -> None:
        if self.result is not None and not self.watch:
            raise GrpcMessageError("second message in the response to a Check")
        if status == ServingStatus.SERVING:
            self.result = CheckResult(CheckOutcome.PASSED, "")
        else:
            self.result = CheckResult(CheckOutcome.FAILED, _status_name(status))

    def _handle_trailers(self, fields: dict[str, str]) -> None:
        code = fields.get("grpc-status", "")
        self.watch_unimplemented = self.watch and code == f"{GrpcStatus.UNIMPLEMENTED:d}"
        if code == f"{GrpcStatus.OK:d}":
            self._end(CheckOutcome.BROKEN, "call ended without a status")
            return
        # A status received before an error does not count: the call as a whole has failed.
        self.result = None
        self._end(CheckOutcome.FAILED, f"grpc-status {code or 'missing'}")


def _fields(headers: Iterable[tuple[bytes | str, bytes | str]]) -> dict[str, str]:
    return {header_text(name): header_text(value) for name, value in headers}


def _status_name(status: int) -> str:
    """The status by name, or by number if the protocol does not define it: proto3 enums are open."""
    try:
        return ServingStatus(status).name
    except ValueError:
        return str(status)
