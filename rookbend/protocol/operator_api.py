"""The operators' HTTP endpoint. A 2xx status means success, a 4xx or 5xx status failure.

GET /status                            success once this process accepts clients
GET /status/metrics                    the metrics
PUT /maintenance/enter?member=ID       exclude that member
PUT /maintenance/exit?member=ID        include it again
"""

from __future__ import annotations

from collections.abc import Callable
from urllib.parse import parse_qs

from rookbend.protocol.http_server import HttpRequest, HttpResponse

MAX_QUOTED_PATH_CHARS = 200


def _response(status: int, text: str) -> HttpResponse:
    return HttpResponse(status, text.encode() + b"\n")


class OperatorApi:
    """`phase()` is the lifecycle's phase by name; `set_excluded(member, exclude)` returns an error or ""."""

    def __init__(
        self, phase: Callable[[], str], metrics: Callable[[], bytes], set_excluded: Callable[[str, bool], str]
    ):
        self._phase = phase
        self._metrics = metrics
        self._set_excluded = set_excluded
        self._calls: dict[str, tuple[str, Callable[[HttpRequest], HttpResponse]]] = {
            "/status": ("GET", self._status),
            "/status/metrics": ("GET", lambda request: HttpResponse(200, self._metrics())),
            "/maintenance/enter": ("PUT", lambda request: self._maintenance(request, True)),
            "/maintenance/exit": ("PUT", lambda request: self._maintenance(request, False)),
        }

    def answer(self, request: HttpRequest) -> HttpResponse:
        """The response to one call."""
        call = self._calls.get(request.path)
        if call is None:
            return _response(404, f"no such call: {request.path[:MAX_QUOTED_PATH_CHARS]}")
        method, handler = call
        if request.method != method:
            return _response(405, f"{request.path} is called with {method}")
        return handler(request)

    def _status(self, request: HttpRequest) -> HttpResponse:
        phase = self._phase()
        return _response(200 if phase == "ready" else 503, phase)

    def _maintenance(self, request: HttpRequest, exclude: bool) -> HttpResponse:
        members = parse_qs(request.query, keep_blank_values=True).get("member", [])
        if len(members) != 1 or not members[0]:
            return _response(400, "exactly one member=ID is needed")
        error = self._set_excluded(members[0], exclude)
        return _response(404, error) if error else _response(200, f"{members[0]} {'out' if exclude else 'in use'}")
