"""A client of a running director's admin listener: each response is one JSON object."""

from __future__ import annotations

import argparse
import http.client
import json
from typing import Any

from rookbend.cli.errors import UsageError

JsonObject = dict[str, Any]

RESPONSE_TIMEOUT_S = 5


def add_admin_option(parser: argparse.ArgumentParser) -> None:
    """Adds `--admin`, the address of the admin listener."""
    parser.add_argument(
        "--admin",
        default="127.0.0.1:9100",
        metavar="HOST:PORT",
        help="the director's [admin] listener (default %(default)s)",
    )


def request(admin: str, method: str, path: str, body: JsonObject | None = None) -> JsonObject:
    """Returns the response of the director at `admin`. Raises `UsageError` if it is unreachable or reports an error."""
    host, _, port = admin.rpartition(":")
    payload = json.dumps(body) if body else None
    headers = {"Content-Type": "application/json"} if body else {}
    try:
        connection = http.client.HTTPConnection(host, int(port), timeout=RESPONSE_TIMEOUT_S)
        connection.request(method, path, payload, headers)
        response = connection.getresponse()
        content: JsonObject = json.loads(response.read())
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise UsageError(f"no director at {admin}: {error}") from None
    if response.status != http.HTTPStatus.OK:
        raise UsageError(content.get("fault", f"status {response.status}"))
    return content


def get(admin: str, path: str) -> JsonObject:
    """Returns the JSON object at `path`. Raises `UsageError`."""
    return request(admin, "GET", path)


def post(admin: str, path: str, order: JsonObject) -> JsonObject:
    """Sends an order and returns the response. Raises `UsageError`."""
    return request(admin, "POST", path, order)
