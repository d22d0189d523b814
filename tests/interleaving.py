"""Holds one side of a race at an exact point."""

import trio

import rookbend.net.member_pool


def hold_connects(monkeypatch):
    """Delays connects to members until the returned event is set."""
    allow_connects, real = trio.Event(), rookbend.net.member_pool.open_socket

    async def delayed_open(address):
        await allow_connects.wait()
        return await real(address)

    monkeypatch.setattr(rookbend.net.member_pool, "open_socket", delayed_open)
    return allow_connects


def fill_send_buffer(sock):
    """Fills the send buffer of a connection whose peer does not read, with lines that the peer ignores."""
    try:
        while True:
            sock.send(b"pad " + bytes(50_000) + b"\r\n")
    except BlockingIOError:
        pass
