"""The server of gRPC health checking: Check and Watch for one connection (gRPC, Health Checking Protocol), with h2."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import h2.config
import h2.connection
import h2.events
import h2.exceptions
import h2.settings
from google.protobuf.message import DecodeError

from rookbend.protocol.grpc_health_messages import (
    CHECK_METHOD,
    CONTENT_TYPE,
    SERVICE_PATH,
    WATCH_METHOD,
    GrpcMessageError,
    GrpcStatus,
    HealthCheckRequest,
    MessageReader,
    ServingStatus,
    encode_response,
    header_text,
)

MAX_STREAMS = 64
MAX_ERROR_CHARS = 100
MIN_WINDOW_BYTES = 16  # maximum size of a response
WHOLE_SERVER = frozenset({""})


@dataclass(slots=True)
class _Call:
    """A call whose request is still being received."""

    path: str
    reader: MessageReader = field(default_factory=MessageReader)
    messages: list[bytes] = field(default_factory=list)


@dataclass(slots=True)
class _Watcher:
    service_known: bool
    sent_status: int | None = None


class GrpcHealthServer:
    """One connection, without I/O.

    `status` returns SERVING or NOT_SERVING; `changed` must be called when that may have changed. `ended` is set once
    the connection can't be used further.
    """

    def __init__(self, status: Callable[[], ServingStatus], services: frozenset[str] = WHOLE_SERVER):
        self.ended = False
        self._status = status
        self._services = services
        self._connection = h2.connection.H2Connection(h2.config.H2Configuration(client_side=False))
        self._connection.local_settings.update({h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: MAX_STREAMS})
        self._calls: dict[int, _Call] = {}
        self._watchers: dict[int, _Watcher] = {}

    @property
    def watched(self) -> bool:
        """Whether a Watch is open."""
        return bool(self._watchers)

    def start(self) -> bytes:
        """Returns the bytes that open the connection."""
        self._connection.initiate_connection()
        return self._connection.data_to_send()

    def feed(self, data: bytes) -> bytes:
        """Takes received bytes, empty at the end of the connection; returns the bytes to send."""
        if not data:
            self.ended = True
            return b""
        try:
            for event in self._connection.receive_data(data):
                self._handle(event)
        except h2.exceptions.ProtocolError:
            self.ended = True
        return self._connection.data_to_send()

    def changed(self) -> bytes:
        """Returns the bytes to send now that the status may have changed."""
        for stream_id in list(self._watchers):
            try:
                self._notify(stream_id)
            except h2.exceptions.ProtocolError:
                del self._watchers[stream_id]
        return self._connection.data_to_send()

    def _handle(self, event: h2.events.Event) -> None:
        if isinstance(event, h2.events.RequestReceived):
            self._handle_request(event)
        elif isinstance(event, h2.events.DataReceived):
            self._handle_data(event)
        elif isinstance(event, h2.events.StreamEnded):
            call = self._calls.pop(event.stream_id, None)
            if call is not None:
                self._dispatch(event.stream_id, call)
        elif isinstance(event, h2.events.StreamReset):
            self._calls.pop(event.stream_id, None)
            self._watchers.pop(event.stream_id, None)
        elif isinstance(event, h2.events.ConnectionTerminated):
            self.ended = True

    def _handle_request(self, event: h2.events.RequestReceived) -> None:
        paths = (header_text(value) for name, value in event.headers if header_text(name) == ":path")
        self._calls[event.stream_id] = _Call(next(paths, ""))

    def _handle_data(self, event: h2.events.DataReceived) -> None:
        stream_id = event.stream_id
        self._connection.acknowledge_received_data(event.flow_controlled_length, stream_id)
        call = self._calls.get(stream_id)
        if call is None:
            return
        try:
            call.messages.extend(call.reader.feed(event.data))
        except GrpcMessageError as error:
            del self._calls[stream_id]
            self._send_error(stream_id, GrpcStatus.INTERNAL, str(error))

    def _dispatch(self, stream_id: int, call: _Call) -> None:
        method = call.path.removeprefix(SERVICE_PATH) if call.path.startswith(SERVICE_PATH) else ""
        if method not in (CHECK_METHOD, WATCH_METHOD):
            self._send_error(stream_id, GrpcStatus.UNIMPLEMENTED, "only Check and Watch of grpc.health.v1.Health")
            return
        try:
            known = _service_of(call.messages) in self._services
        except DecodeError as error:
            self._send_error(stream_id, GrpcStatus.INTERNAL, str(error)[:MAX_ERROR_CHARS])
            return
        if method == WATCH_METHOD:
            self._open_watch(stream_id, known)
        elif known:
            self._answer_check(stream_id)
        else:
            self._send_error(stream_id, GrpcStatus.NOT_FOUND, "unknown service")

    def _open_watch(self, stream_id: int, service_known: bool) -> None:
        self._send_headers(stream_id)
        self._watchers[stream_id] = _Watcher(service_known)
        self._notify(stream_id)

    def _answer_check(self, stream_id: int) -> None:
        self._send_headers(stream_id)
        self._connection.send_data(stream_id, encode_response(self._status()))
        self._connection.send_headers(stream_id, [("grpc-status", f"{GrpcStatus.OK:d}")], end_stream=True)

    def _send_headers(self, stream_id: int) -> None:
        self._connection.send_headers(stream_id, [(":status", "200"), ("content-type", CONTENT_TYPE)])

    def _send_error(self, stream_id: int, code: GrpcStatus, text: str) -> None:
        """Ends a call with a Trailers-Only response."""
        self._connection.send_headers(
            stream_id,
            [
                (":status", "200"),
                ("content-type", CONTENT_TYPE),
                ("grpc-status", f"{code:d}"),
                ("grpc-message", text),
            ],
            end_stream=True,
        )

    def _notify(self, stream_id: int) -> None:
        watcher = self._watchers[stream_id]
        status = self._status() if watcher.service_known else ServingStatus.SERVICE_UNKNOWN
        if status == watcher.sent_status:
            return
        # A watcher without a sufficient flow-control window is notified by a later call of `changed`.
        if self._connection.local_flow_control_window(stream_id) >= MIN_WINDOW_BYTES:
            watcher.sent_status = status
            self._connection.send_data(stream_id, encode_response(status))


def _service_of(messages: list[bytes]) -> str:
    """The service that a request names.

    Raises:
        DecodeError: there is not exactly one message, or it is not a HealthCheckRequest.
    """
    if len(messages) != 1:
        raise DecodeError(f"one message, not {len(messages)}")
    service: str = HealthCheckRequest.FromString(messages[0]).service
    return service
