"""gRPC health checking, both sides: `grpc.health.v1.Health` with Check and Watch (gRPC, Health Checking
Protocol; gRPC over HTTP/2), on h2. The messages are built by protobuf from the description below.

A message on the wire is `compressed:1 length:4 bytes`. The end of a call is in its trailers: `grpc-status`.
"""

from __future__ import annotations

import struct

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
from google.protobuf import descriptor_pb2, descriptor_pool, message_factory
from google.protobuf.message import DecodeError

from rookbend.core.check_result import CheckOutcome

SERVING, NOT_SERVING, SERVICE_UNKNOWN = 1, 2, 3
STATUS_NAMES = {0: "UNKNOWN", 1: "SERVING", 2: "NOT_SERVING", 3: "SERVICE_UNKNOWN"}
OK, NOT_FOUND, INTERNAL, UNIMPLEMENTED = 0, 5, 13, 12
LONGEST_MESSAGE = 4096
MOST_STREAMS = 64
PREFIX = "/grpc.health.v1.Health/"


def _messages():
    """HealthCheckRequest and HealthCheckResponse, from a description of health.proto in a pool of its own."""
    file = descriptor_pb2.FileDescriptorProto(
        name="grpc/health/v1/health.proto", package="grpc.health.v1", syntax="proto3"
    )
    ask = file.message_type.add(name="HealthCheckRequest")
    ask.field.add(name="service", number=1, type=9, label=1)
    answer = file.message_type.add(name="HealthCheckResponse")
    kinds = answer.enum_type.add(name="ServingStatus")
    for number, name in STATUS_NAMES.items():
        kinds.value.add(name=name, number=number)
    answer.field.add(
        name="status", number=1, type=14, label=1, type_name=".grpc.health.v1.HealthCheckResponse.ServingStatus"
    )
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return [
        message_factory.GetMessageClass(pool.FindMessageTypeByName(f"grpc.health.v1.{name}"))
        for name in ("HealthCheckRequest", "HealthCheckResponse")
    ]


Request, Response = _messages()


class GrpcError(Exception):
    """What came is no message of this protocol."""


class Messages:
    """The length-prefixed messages of one stream: bytes in, whole messages out."""

    def __init__(self):
        self._data = b""

    def feed(self, data: bytes) -> list[bytes]:
        self._data += data
        out = []
        while len(self._data) >= 5:
            compressed, length = struct.unpack_from(">BI", self._data)
            if compressed:
                raise GrpcError("a compressed message, which was not agreed on")
            if length > LONGEST_MESSAGE:
                raise GrpcError(f"a message of {length} bytes")
            if len(self._data) < 5 + length:
                break
            out.append(self._data[5 : 5 + length])
            self._data = self._data[5 + length :]
        return out


def _framed(message) -> bytes:
    data = message.SerializeToString()
    return struct.pack(">BI", 0, len(data)) + data


class GrpcAsk:
    """One Check, or a Watch for as long as it lasts.

    A Check sets `result` once. A Watch sets it anew with each status told (the driver takes it and sets it to
    None), and `ended` when the stream has: what was told last holds no longer then.
    """

    def __init__(self, host: str, service: str, watch: bool = False):
        self._h2 = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
        self._host, self._service, self.watch = host, service, watch
        self._messages, self._stream = Messages(), 0
        self.result: tuple[CheckOutcome, str] | None = None
        self.ended = False
        self.unimplemented = False  # the server has no Watch: its Check may do
        self.heard_pong = True

    def start(self) -> bytes:
        self._h2.initiate_connection()
        self._stream = self._h2.get_next_available_stream_id()
        self._h2.send_headers(
            self._stream,
            [
                (":method", "POST"),
                (":scheme", "http"),
                (":authority", self._host),
                (":path", PREFIX + ("Watch" if self.watch else "Check")),
                ("content-type", "application/grpc"),
                ("te", "trailers"),
                ("user-agent", "rookbend-check"),
            ],
        )
        self._h2.send_data(self._stream, _framed(Request(service=self._service)), end_stream=True)
        return self._h2.data_to_send()

    def ping(self) -> bytes:
        """Asks whether the other side is still there: a Watch says nothing while nothing changes."""
        self.heard_pong = False
        self._h2.ping(b"rookbend")
        return self._h2.data_to_send()

    def feed(self, data: bytes) -> bytes:
        """Takes what came, empty for the end of the connection. Gives what is to be sent."""
        if self.ended:
            return b""
        if not data:
            self._end(CheckOutcome.BROKEN, "closed before the answer")
            return b""
        try:
            for event in self._h2.receive_data(data):
                self._take(event)
        except (h2.exceptions.ProtocolError, GrpcError, DecodeError) as error:
            self._end(CheckOutcome.BROKEN, f"no gRPC: {error}"[:120])
        return self._h2.data_to_send()

    def _end(self, outcome: CheckOutcome, reason: str) -> None:
        if not self.ended:
            self.ended = True
            if self.watch or self.result is None:
                self.result = outcome, reason

    def _take(self, event) -> None:
        kind = type(event)
        if kind is h2.events.PingAckReceived:
            self.heard_pong = True
        elif kind is h2.events.ConnectionTerminated:
            self._end(CheckOutcome.BROKEN, "GOAWAY")
        elif getattr(event, "stream_id", 0) != self._stream:
            return
        elif kind is h2.events.ResponseReceived:
            headers = {_text(k): _text(v) for k, v in event.headers}
            if headers.get(":status") != "200":
                self._end(CheckOutcome.FAILED, f"HTTP status {headers.get(':status')}")
            elif "grpc-status" in headers:
                self._trailers(headers)
        elif kind is h2.events.DataReceived:
            self._h2.acknowledge_received_data(event.flow_controlled_length, self._stream)
            for message in self._messages.feed(event.data):
                self._status(Response.FromString(message).status)
        elif kind is h2.events.TrailersReceived:
            self._trailers({_text(k): _text(v) for k, v in event.headers})
        elif kind is h2.events.StreamReset:
            self._end(CheckOutcome.BROKEN, "the stream was reset")
        elif kind is h2.events.StreamEnded:
            self._end(CheckOutcome.BROKEN, "ended without a status")

    def _status(self, status: int) -> None:
        if self.result is not None and not self.watch:
            raise GrpcError("a second message in answer to a Check")
        name = STATUS_NAMES.get(status, str(status))
        self.result = (CheckOutcome.PASSED, "") if status == SERVING else (CheckOutcome.FAILED, name)

    def _trailers(self, fields: dict[str, str]) -> None:
        code = fields.get("grpc-status", "")
        self.unimplemented = self.watch and code == str(UNIMPLEMENTED)
        if code != "0":
            # A status that was told before an error does not count: the call as a whole has failed.
            self.result = None
            self._end(CheckOutcome.FAILED, f"grpc-status {code or 'missing'}")
        else:
            self._end(CheckOutcome.BROKEN, "ended without a status")


def _text(value) -> str:
    return value.decode("utf-8", "replace") if isinstance(value, bytes) else value


class GrpcServe:
    """The other side, for one connection. `status` gives SERVING or NOT_SERVING; call `changed` when it may
    have changed, for those who watch. `ended` once the connection can't go on."""

    def __init__(self, status, services: frozenset[str] = frozenset({""})):
        self._h2 = h2.connection.H2Connection(h2.config.H2Configuration(client_side=False))
        self._h2.local_settings.update({h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: MOST_STREAMS})
        self._status, self._services = status, services
        self._calls: dict[int, tuple[str, Messages, list[bytes]]] = {}
        self._watchers: dict[int, tuple[bool, int | None]] = {}  # stream: service known, status told
        self.ended = False

    def start(self) -> bytes:
        self._h2.initiate_connection()
        return self._h2.data_to_send()

    def feed(self, data: bytes) -> bytes:
        if not data:
            self.ended = True
            return b""
        try:
            for event in self._h2.receive_data(data):
                self._take(event)
        except h2.exceptions.ProtocolError:
            self.ended = True
        return self._h2.data_to_send()

    def _take(self, event) -> None:
        kind, stream = type(event), getattr(event, "stream_id", 0)
        if kind is h2.events.RequestReceived:
            path = next((_text(v) for k, v in event.headers if _text(k) == ":path"), "")
            self._calls[stream] = path, Messages(), []
        elif kind is h2.events.DataReceived:
            self._h2.acknowledge_received_data(event.flow_controlled_length, stream)
            if stream in self._calls:
                try:
                    self._calls[stream][2].extend(self._calls[stream][1].feed(event.data))
                except GrpcError as error:
                    del self._calls[stream]
                    self._finish(stream, INTERNAL, str(error))
        elif kind is h2.events.StreamEnded:
            if stream in self._calls:
                path, _, messages = self._calls.pop(stream)
                self._call(stream, path, messages)
        elif kind is h2.events.StreamReset:
            self._calls.pop(stream, None)
            self._watchers.pop(stream, None)
        elif kind is h2.events.ConnectionTerminated:
            self.ended = True

    def _call(self, stream: int, path: str, messages: list[bytes]) -> None:
        name = path.removeprefix(PREFIX) if path.startswith(PREFIX) else ""
        if name not in ("Check", "Watch"):
            return self._finish(stream, UNIMPLEMENTED, "only Check and Watch of grpc.health.v1.Health")
        try:
            if len(messages) != 1:
                raise DecodeError("one message, not " + str(len(messages)))
            service = Request.FromString(messages[0]).service
        except DecodeError as error:
            return self._finish(stream, INTERNAL, str(error)[:100])
        known = service in self._services
        if name == "Check" and not known:
            return self._finish(stream, NOT_FOUND, "unknown service")
        self._head(stream)
        if name == "Watch":
            self._watchers[stream] = known, None
            return self._tell(stream)
        self._h2.send_data(stream, _framed(Response(status=self._status())))
        self._h2.send_headers(stream, [("grpc-status", "0")], end_stream=True)

    def _head(self, stream: int) -> None:
        self._h2.send_headers(stream, [(":status", "200"), ("content-type", "application/grpc")])

    def _finish(self, stream: int, code: int, text: str) -> None:
        """A call that ends at once: its head is its trailers."""
        self._h2.send_headers(
            stream,
            [
                (":status", "200"),
                ("content-type", "application/grpc"),
                ("grpc-status", str(code)),
                ("grpc-message", text),
            ],
            end_stream=True,
        )

    def _tell(self, stream: int) -> None:
        known, told = self._watchers[stream]
        status = self._status() if known else SERVICE_UNKNOWN
        # A watcher that takes nothing is told later, when its window opens or with the next change.
        if status != told and self._h2.local_flow_control_window(stream) >= 16:
            self._watchers[stream] = known, status
            self._h2.send_data(stream, _framed(Response(status=status)))

    @property
    def watched(self) -> bool:
        return bool(self._watchers)

    def changed(self) -> bytes:
        """What is to be sent now that the status may have changed."""
        for stream in list(self._watchers):
            try:
                self._tell(stream)
            except h2.exceptions.ProtocolError:
                del self._watchers[stream]
        return self._h2.data_to_send()
