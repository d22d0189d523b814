"""Holding one side of a crossing at an exact point."""

import trio

import rookbend.net.member_pool


def hold_connects(monkeypatch):
    """Connections to members come up only once the event that this gives is set."""
    allow_connects, real = trio.Event(), rookbend.net.member_pool.open_socket

    async def delayed_open(address):
        await allow_connects.wait()
        return await real(address)

    monkeypatch.setattr(rookbend.net.member_pool, "open_socket", delayed_open)
    return allow_connects


def fill_send_buffer(sock):
    """Fills a connection whose other side reads nothing, with lines that it passes over."""
    try:
        while True:
            sock.send(b"pad " + bytes(50_000) + b"\r\n")
    except BlockingIOError:
        pass
