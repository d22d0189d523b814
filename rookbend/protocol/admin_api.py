"""The admin API, over HTTP on the loopback interface: status tables, operators' commands and metrics.

GET  /members           {"members": [...]}: one object per member (see docs/HEALTH.md)
POST /orders            {"member": "s-1", "order": "drain", "by": "name"}; for the limits see `order_limits`
GET  /background        {"jobs": n, ...}
GET  /fleet             the directors as seen by this one, if recovery is enabled
GET  /recovery          the recovery's stage and what it waits for
POST /recovery          {"order": "hold"}; also resume, skip
GET  /owners            the holders of the fleet's leases, if ownership is enabled
POST /owners            {"order": "move", "scope": "checks/3", "place": 2}; also pin, unpin, without
GET  /metrics           Prometheus text format, if metrics are enabled

A request that can't be carried out is answered with a 4xx or 5xx and {"fault": "..."}.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from typing import NamedTuple, Protocol, TypeVar

import msgspec

from rookbend.health.model import Order
from rookbend.protocol.http_server import HttpRequest, HttpResponse
from rookbend.protocol.order_limits import MAX_OPERATOR_BYTES, MAX_TARGET_BYTES, check_text

JSON = "application/json"
PROMETHEUS_TEXT = "text/plain; version=0.0.4; charset=utf-8"
LOOPBACK_HOSTS = ("127.", "localhost", "[::1]")
RECOVERY_COMMANDS = ("hold", "resume", "skip")
MOVE_DRY_RUN = "without"
OWNERSHIP_COMMANDS = ("move", "pin", "unpin", MOVE_DRY_RUN)


class MemberOrder(msgspec.Struct, forbid_unknown_fields=True):
    """The body of POST /orders; `fleet` applies the order at all directors."""

    member: str
    order: str
    operator: str = msgspec.field(default="", name="by")
    fleet: bool = False


class RecoveryCommand(msgspec.Struct, forbid_unknown_fields=True):
    """The body of POST /recovery."""

    order: str


class OwnershipCommand(msgspec.Struct, forbid_unknown_fields=True):
    """The body of POST /owners; `director` is a director's number, -1 for none."""

    order: str
    scope: str = ""
    director: int = msgspec.field(default=-1, name="place")


class CommandResult(NamedTuple):
    """An HTTP status and, if the command was not carried out, the reason."""

    status: int
    error: str


class RequestRejectedError(Exception):
    """A request that is answered with an error status; the message is for the operator."""

    def __init__(self, status: HTTPStatus, message: str):
        super().__init__(message)
        self.status = status


class Ownership(Protocol):
    """The operations on the fleet's leases that the API uses."""

    async def command(self, command: str, scope_name: str, director: int, /) -> tuple[int, str]:
        """Moves, pins or unpins a scope; returns an HTTP status, and an error or an empty text."""

    def describe(self, without: int = -1, /) -> object:
        """Returns scopes and holders; with `without`, as they would be if that director were gone."""


MemberOrderHandler = Callable[[str, Order, str, bool], Awaitable[CommandResult]]
Body = TypeVar("Body", MemberOrder, RecoveryCommand, OwnershipCommand)


class AdminApi:
    """Answers requests; a part that is None is disabled, and its calls are rejected."""

    def __init__(
        self,
        tables: Mapping[str, Callable[[], object]],
        order_member: MemberOrderHandler | None,
        metrics: Callable[[], bytes] | None,
        command_recovery: Callable[[str], None] | None = None,
        ownership: Ownership | None = None,
    ):
        """`tables` are by path; `order_member` is called with the member, the order, the operator and whether the
        order is for the whole fleet, and returns once the order is in effect."""
        self._tables = tables
        self._order_member = order_member
        self._metrics = metrics
        self._command_recovery = command_recovery
        self._ownership = ownership

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """The response to one request."""
        try:
            return await self._dispatch(request)
        except RequestRejectedError as error:
            return _error_response(error.status, str(error))

    async def _dispatch(self, request: HttpRequest) -> HttpResponse:
        _require_loopback_host(request)
        if request.path == "/orders" and self._order_member is not None:
            return await self._handle_member_order(request, self._order_member)
        if request.method == "POST":
            if request.path == "/recovery" and self._command_recovery is not None:
                return self._handle_recovery_command(request, self._command_recovery)
            if request.path == "/owners" and self._ownership is not None:
                return await self._handle_ownership_command(request, self._ownership)
        if request.method != "GET":
            raise RequestRejectedError(HTTPStatus.METHOD_NOT_ALLOWED, "only GET")
        return self._page(request.path)

    def _page(self, path: str) -> HttpResponse:
        if path == "/metrics" and self._metrics is not None:
            return HttpResponse(HTTPStatus.OK, self._metrics(), PROMETHEUS_TEXT)
        table = self._tables.get(path)
        if table is None:
            raise RequestRejectedError(HTTPStatus.NOT_FOUND, "no such page")
        return _json_response(table())

    async def _handle_member_order(self, request: HttpRequest, order_member: MemberOrderHandler) -> HttpResponse:
        if request.method != "POST":
            raise RequestRejectedError(HTTPStatus.METHOD_NOT_ALLOWED, "only POST")
        body = _decode_body(request, MemberOrder)
        try:
            check_text("member", body.member, MAX_TARGET_BYTES)
            check_text("by", body.operator, MAX_OPERATOR_BYTES)
            order = Order(body.order)
        except ValueError as error:
            raise RequestRejectedError(HTTPStatus.BAD_REQUEST, str(error)) from error
        result = await order_member(body.member, order, body.operator, body.fleet)
        if result.error:
            return _error_response(result.status, result.error)
        return _json_response({"member": body.member, "order": order.value})

    @staticmethod
    def _handle_recovery_command(request: HttpRequest, command_recovery: Callable[[str], None]) -> HttpResponse:
        body = _decode_body(request, RecoveryCommand)
        _require_known_order(body.order, RECOVERY_COMMANDS)
        command_recovery(body.order)
        return _json_response({"order": body.order})

    @staticmethod
    async def _handle_ownership_command(request: HttpRequest, ownership: Ownership) -> HttpResponse:
        body = _decode_body(request, OwnershipCommand)
        _require_known_order(body.order, OWNERSHIP_COMMANDS)
        if body.order == MOVE_DRY_RUN:
            return _json_response(ownership.describe(body.director))
        result = CommandResult(*await ownership.command(body.order, body.scope, body.director))
        if result.error:
            return _error_response(result.status, result.error)
        return _json_response({"order": body.order, "scope": body.scope})


def _require_loopback_host(request: HttpRequest) -> None:
    """Guards against DNS rebinding: a web page in a local browser that reaches this API by its own host name."""
    host = request.headers.get(b"host", b"").decode("ascii", "replace")
    if not host.startswith(LOOPBACK_HOSTS):
        raise RequestRejectedError(HTTPStatus.FORBIDDEN, "only by an address of the loopback")


def _decode_body(request: HttpRequest, body_type: type[Body]) -> Body:
    # Guards against cross-site requests: an HTML form can't send this content type.
    if not request.headers.get(b"content-type", b"").startswith(JSON.encode()):
        raise RequestRejectedError(HTTPStatus.UNSUPPORTED_MEDIA_TYPE, f"an order is {JSON}")
    try:
        return msgspec.json.decode(request.body, type=body_type)
    except msgspec.MsgspecError as error:
        raise RequestRejectedError(HTTPStatus.BAD_REQUEST, str(error)) from error


def _require_known_order(order: str, known: tuple[str, ...]) -> None:
    if order not in known:
        raise RequestRejectedError(HTTPStatus.BAD_REQUEST, f"no order {order!r}: {', '.join(known)}")


def _json_response(value: object, status: int = HTTPStatus.OK) -> HttpResponse:
    return HttpResponse(status, msgspec.json.encode(value) + b"\n", JSON)


def _error_response(status: int, text: str) -> HttpResponse:
    return _json_response({"fault": text}, status)
