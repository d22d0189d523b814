"""The driver of an HTTP connection to this director."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from rookbend.net.buffered_socket import BufferedSocket
from rookbend.protocol.http_server import HttpRequest, HttpResponse, HttpServerConnection

HttpHandler = Callable[[HttpRequest], HttpResponse | Awaitable[HttpResponse]]


async def serve_http(channel: BufferedSocket, handle: HttpHandler) -> None:
    """Answers the requests of a connection in order, until it ends."""
    http = HttpServerConnection()
    while not http.ended:
        request = http.feed(await channel.receive())
        while request is not None:
            response = handle(request)
            if not isinstance(response, HttpResponse):
                response = await response
            channel.write(http.respond(*response))
            request = None if http.ended else http.next_request()
        if http.error_response:
            channel.write(http.error_response)
