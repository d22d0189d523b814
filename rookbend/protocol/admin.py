"""What operators ask a running director over HTTP on the loopback: a table of members, orders, figures.

    GET  /members           {"members": [...]}: one object a member (see docs/HEALTH.md)
    POST /orders            {"member": "s-1", "order": "drain", "by": "name"}
    GET  /background        {"jobs": n, ...}
    GET  /metrics           text for Prometheus, where that is on
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from rookbend.health.model import Order
from rookbend.protocol.http_serve import HttpRequest

JSON, TEXT = "application/json", "text/plain"
LOCAL = ("127.", "localhost", "[::1]")


class OrderWords(msgspec.Struct, forbid_unknown_fields=True):
    member: str
    order: str
    by: str = ""


Reply = tuple[int, bytes, str]


def _fault(status: int, text: str) -> Reply:
    return status, msgspec.json.encode({"fault": text}) + b"\n", JSON


class AdminDesk:
    """`tables` gives a table by path; `order(member, order, by)` says whether there is such a member."""

    def __init__(self, tables: dict[str, Callable[[], object]],
                 order: Callable[[str, Order, str], bool] | None,
                 metrics: Callable[[], bytes] | None):
        self.tables, self.order, self.metrics = tables, order, metrics

    def answer(self, request: HttpRequest) -> Reply:
        # Guards against a page in a browser on this machine that sends its reader here by a name of its own.
        if not request.headers.get(b"host", b"").decode("ascii", "replace").startswith(LOCAL):
            return _fault(403, "only by an address of the loopback")
        if request.path == "/orders" and self.order is not None:
            return self._order(request)
        if request.method != "GET":
            return _fault(405, "only GET")
        if request.path == "/metrics" and self.metrics is not None:
            return 200, self.metrics(), "text/plain; version=0.0.4; charset=utf-8"
        table = self.tables.get(request.path)
        if table is None:
            return _fault(404, "no such page")
        return 200, msgspec.json.encode(table()) + b"\n", JSON

    def _order(self, request: HttpRequest) -> Reply:
        if request.method != "POST":
            return _fault(405, "only POST")
        if not request.headers.get(b"content-type", b"").startswith(b"application/json"):
            return _fault(415, "an order is application/json")     # a form on a page can't send that
        try:
            words = msgspec.json.decode(request.body, type=OrderWords)
            order = Order(words.order)
        except (msgspec.MsgspecError, ValueError) as error:
            return _fault(400, str(error))
        if not self.order(words.member, order, words.by):
            return _fault(404, f"no member {words.member}")
        return 200, msgspec.json.encode({"member": words.member, "order": order.value}) + b"\n", JSON
