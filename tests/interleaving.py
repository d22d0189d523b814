"""Holding one side of a crossing at an exact point."""

import trio

import rookbend.net.member_pool


def hold_connects(monkeypatch):
    """Connections to members come up only once the event that this gives is set."""
    let_up, real = trio.Event(), rookbend.net.member_pool.open_socket

    async def late(address):
        await let_up.wait()
        return await real(address)

    monkeypatch.setattr(rookbend.net.member_pool, "open_socket", late)
    return let_up


def fill(sock):
    """Fills a connection whose other side reads nothing, with lines that it passes over."""
    try:
        while True:
            sock.send(b"pad " + bytes(50_000) + b"\r\n")
    except BlockingIOError:
        pass
