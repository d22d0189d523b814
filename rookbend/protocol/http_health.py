"""This director's health over HTTP, for load balancers in front of it: `GET /health` or `/ready`."""

from __future__ import annotations

from http import HTTPStatus

from rookbend.protocol.http_server import HttpRequest, HttpResponse

PATHS = ("/health", "/ready")


def answer(request: HttpRequest, accepting: bool, state: str) -> HttpResponse:
    """The response to a health request: 200 while requests are accepted, else 503; the body is the state."""
    if request.method not in ("GET", "HEAD"):
        return HttpResponse(HTTPStatus.METHOD_NOT_ALLOWED, b"only GET and HEAD\n")
    if request.path not in PATHS:
        return HttpResponse(HTTPStatus.NOT_FOUND, b"not found\n")
    status = HTTPStatus.OK if accepting else HTTPStatus.SERVICE_UNAVAILABLE
    return HttpResponse(status, state.encode("ascii", "replace") + b"\n")
