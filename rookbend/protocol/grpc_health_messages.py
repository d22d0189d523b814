"""The messages of gRPC health checking (gRPC, Health Checking Protocol, `grpc/health/v1/health.proto`).

The protobuf library builds the message classes from a descriptor, so that no generated code is needed. On the wire a
message is `compressed` (1 byte), `length` (4 bytes) and the encoded bytes (gRPC over HTTP/2, Length-Prefixed-Message).
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import Any

from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

from rookbend.protocol.errors import ProtocolError

SERVICE_PATH = "/grpc.health.v1.Health/"
PACKAGE = "grpc.health.v1"
CHECK_METHOD = "Check"
WATCH_METHOD = "Watch"
CONTENT_TYPE = "application/grpc"
MAX_MESSAGE_BYTES = 4096
PREFIX_FORMAT = ">BI"
PREFIX_BYTES = struct.calcsize(PREFIX_FORMAT)


class ServingStatus(IntEnum):
    """`HealthCheckResponse.ServingStatus`."""

    UNKNOWN = 0
    SERVING = 1
    NOT_SERVING = 2
    SERVICE_UNKNOWN = 3


class GrpcStatus(IntEnum):
    """The status codes of gRPC that this protocol uses."""

    OK = 0
    NOT_FOUND = 5
    UNIMPLEMENTED = 12
    INTERNAL = 13


class GrpcMessageError(ProtocolError):
    """A length-prefixed message that this protocol does not allow."""


def _describe_request(file: Any) -> None:
    request = file.message_type.add(name="HealthCheckRequest")
    request.field.add(
        name="service",
        number=1,
        type=descriptor_pb2.FieldDescriptorProto.TYPE_STRING,
        label=descriptor_pb2.FieldDescriptorProto.LABEL_OPTIONAL,
    )


def _describe_response(file: Any) -> None:
    response = file.message_type.add(name="HealthCheckResponse")
    serving_status = response.enum_type.add(name="ServingStatus")
    for status in ServingStatus:
        serving_status.value.add(name=status.name, number=status.value)
    response.field.add(
        name="status",
        number=1,
        type=descriptor_pb2.FieldDescriptorProto.TYPE_ENUM,
        label=descriptor_pb2.FieldDescriptorProto.LABEL_OPTIONAL,
        type_name=f".{PACKAGE}.HealthCheckResponse.ServingStatus",
    )


def _descriptor_pool() -> Any:
    """A separate pool: the default one may contain the same names from generated code."""
    file = descriptor_pb2.FileDescriptorProto(name="grpc/health/v1/health.proto", package=PACKAGE, syntax="proto3")
    _describe_request(file)
    _describe_response(file)
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return pool


def _message_class(pool: Any, name: str) -> Any:
    return message_factory.GetMessageClass(pool.FindMessageTypeByName(f"{PACKAGE}.{name}"))


_POOL = _descriptor_pool()
HealthCheckRequest: Any = _message_class(_POOL, "HealthCheckRequest")
HealthCheckResponse: Any = _message_class(_POOL, "HealthCheckResponse")


def encode_request(service: str) -> bytes:
    """A framed HealthCheckRequest; an empty service name means the server as a whole."""
    return _frame(HealthCheckRequest(service=service))


def encode_response(status: int) -> bytes:
    """A framed HealthCheckResponse."""
    return _frame(HealthCheckResponse(status=status))


def _frame(message: Any) -> bytes:
    data: bytes = message.SerializeToString()
    return struct.pack(PREFIX_FORMAT, 0, len(data)) + data


def header_text(value: bytes | str) -> str:
    """The text of a header name or value from h2."""
    return value.decode("utf-8", "replace") if isinstance(value, bytes) else value


class MessageReader:
    """Splits the bytes of one stream into length-prefixed messages."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the messages that are complete.

        Raises:
            GrpcMessageError: a message is compressed or longer than `MAX_MESSAGE_BYTES`.
        """
        self._buffer += data
        messages = []
        while len(self._buffer) >= PREFIX_BYTES:
            compressed, length = struct.unpack_from(PREFIX_FORMAT, self._buffer)
            if compressed:
                raise GrpcMessageError("a compressed message, which was not agreed on")
            if length > MAX_MESSAGE_BYTES:
                raise GrpcMessageError(f"a message of {length} bytes")
            end = PREFIX_BYTES + length
            if len(self._buffer) < end:
                break
            messages.append(self._buffer[PREFIX_BYTES:end])
            self._buffer = self._buffer[end:]
        return messages
