"""What a balancer in front asks over HTTP: `GET /health` or `/ready`."""

from __future__ import annotations

from rookbend.protocol.http_server import HttpRequest

PATHS = "/health", "/ready"


def answer(request: HttpRequest, taking: bool, state: str) -> tuple[int, bytes]:
    """(status, body) of a health request: 200 while requests are taken, else 503; the body is the state."""
    if request.method not in ("GET", "HEAD"):
        return 405, b"only GET and HEAD\n"
    if request.path not in PATHS:
        return 404, b"not found\n"
    return 200 if taking else 503, state.encode("ascii", "replace") + b"\n"
