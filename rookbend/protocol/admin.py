"""What operators ask a running director over HTTP on the loopback: a table of members, orders, figures.

GET  /members           {"members": [...]}: one object a member (see docs/HEALTH.md)
POST /orders            {"member": "s-1", "order": "drain", "by": "name"}
GET  /background        {"jobs": n, ...}
GET  /fleet             the directors as this one sees them, where recovery is on
GET  /recovery          where this one stands and what it waits for
POST /recovery          {"order": "hold"}; also resume, skip
GET  /owners            who owns which work of the fleet, where ownership is on
POST /owners            {"order": "move", "scope": "checks/3", "place": 2}; also pin, unpin, without
GET  /metrics           text for Prometheus, where that is on
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec

from rookbend.health.model import Order
from rookbend.protocol.http_server import HttpRequest

JSON, TEXT = "application/json", "text/plain"
LOCAL = ("127.", "localhost", "[::1]")


class OrderWords(msgspec.Struct, forbid_unknown_fields=True):
    member: str
    order: str
    by: str = ""
    fleet: bool = False


class StageWords(msgspec.Struct, forbid_unknown_fields=True):
    order: str


class OwnerWords(msgspec.Struct, forbid_unknown_fields=True):
    order: str
    scope: str = ""
    place: int = -1


OWNER_ORDERS = "move", "pin", "unpin", "without"
STAGE_ORDERS = "hold", "resume", "skip"
Reply = tuple[int, bytes, str]


def _fault(status: int, text: str) -> Reply:
    return status, msgspec.json.encode({"fault": text}) + b"\n", JSON


class AdminDesk:
    """`tables` gives a table by path; `order(member, order, by, fleet)` gives (status, fault) once the order
    stands; `command(word)` is an order to the recovery; `own` has `command(word, scope, place)` and
    `describe(without)`, for ownership."""

    def __init__(
        self,
        tables: dict[str, Callable[[], object]],
        order: Callable[[str, Order, str, bool], Awaitable[tuple[int, str]]] | None,
        metrics: Callable[[], bytes] | None,
        command: Callable[[str], None] | None = None,
        own=None,
    ):
        self.own = own
        self.tables, self.order, self.metrics, self.command = tables, order, metrics, command

    async def answer(self, request: HttpRequest) -> Reply:
        # Guards against a page in a browser on this machine that sends its reader here by a name of its own.
        if not request.headers.get(b"host", b"").decode("ascii", "replace").startswith(LOCAL):
            return _fault(403, "only by an address of the loopback")
        if request.path == "/orders" and self.order is not None:
            return await self._order(request)
        if request.path == "/recovery" and request.method == "POST" and self.command is not None:
            return self._command(request)
        if request.path == "/owners" and request.method == "POST" and self.own is not None:
            return await self._own(request)
        if request.method != "GET":
            return _fault(405, "only GET")
        if request.path == "/metrics" and self.metrics is not None:
            return 200, self.metrics(), "text/plain; version=0.0.4; charset=utf-8"
        table = self.tables.get(request.path)
        if table is None:
            return _fault(404, "no such page")
        return 200, msgspec.json.encode(table()) + b"\n", JSON

    @staticmethod
    def _is_json(request: HttpRequest) -> bool:
        """A form on a page in a browser can't send that."""
        return request.headers.get(b"content-type", b"").startswith(b"application/json")

    def _words(self, request: HttpRequest, kind: type, orders: tuple[str, ...]):
        """The order in a request, or the reply that says why there is none."""
        if not self._is_json(request):
            return _fault(415, "an order is application/json")
        try:
            words = msgspec.json.decode(request.body, type=kind)
        except msgspec.MsgspecError as error:
            return _fault(400, str(error))
        if words.order not in orders:
            return _fault(400, f"no order {words.order!r}: {', '.join(orders)}")
        return words

    def _command(self, request: HttpRequest) -> Reply:
        words = self._words(request, StageWords, STAGE_ORDERS)
        if not isinstance(words, StageWords):
            return words
        self.command(words.order)
        return 200, msgspec.json.encode({"order": words.order}) + b"\n", JSON

    async def _own(self, request: HttpRequest) -> Reply:
        words = self._words(request, OwnerWords, OWNER_ORDERS)
        if not isinstance(words, OwnerWords):
            return words
        if words.order == "without":  # a dry run: changes nothing
            return 200, msgspec.json.encode(self.own.describe(words.place)) + b"\n", JSON
        status, fault = await self.own.command(words.order, words.scope, words.place)
        if fault:
            return _fault(status, fault)
        return 200, msgspec.json.encode({"order": words.order, "scope": words.scope}) + b"\n", JSON

    async def _order(self, request: HttpRequest) -> Reply:
        if request.method != "POST":
            return _fault(405, "only POST")
        if not self._is_json(request):
            return _fault(415, "an order is application/json")
        try:
            words = msgspec.json.decode(request.body, type=OrderWords)
            order = Order(words.order)
        except (msgspec.MsgspecError, ValueError) as error:
            return _fault(400, str(error))
        status, fault = await self.order(words.member, order, words.by, words.fleet)
        if fault:
            return _fault(status, fault)
        return 200, msgspec.json.encode({"member": words.member, "order": order.value}) + b"\n", JSON
