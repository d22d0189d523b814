"""What the front checks before it admits a director. Each function raises BrokenResourceError if it is not admitted."""

from __future__ import annotations

import trio

from rookbend.testing.open_loop_client import encode_frame

READINESS_REQUEST = 1  # type of its frame
CONNECTION_CHECK_S = 0.02  # the relay ends a connection that its target does not accept sooner


async def check_ready(stream: trio.SocketStream) -> None:
    """Asks the director whether it is ready."""
    await stream.send_all(encode_frame(READINESS_REQUEST, 1, {}))
    data = await stream.receive_some(4096)
    if len(data) < 10 or data[9] != 0:
        raise trio.BrokenResourceError("not ready")


async def check_open(stream: trio.SocketStream) -> None:
    """Checks that the connection does not end at once, as it does where the director does not listen yet."""
    with trio.move_on_after(CONNECTION_CHECK_S):
        await stream.receive_some(1)
        raise trio.BrokenResourceError("not listening")
