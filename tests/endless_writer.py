"""A client that writes for ever, or nothing at all, and the time until the director ends its connection."""

from contextlib import suppress

import trio

GIVE_UP_S = 100


async def seconds_until_closed(stream, pieces=(), pause_s=1):
    """Writes the pieces with pauses, one after another, until the peer closes; returns the time that took.

    Fails after GIVE_UP_S if the peer does not close.
    """
    began = trio.current_time()

    async def write():
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            for piece in pieces:
                await stream.send_all(piece)
                await trio.sleep(pause_s)

    with trio.fail_after(GIVE_UP_S):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(write)
            with suppress(trio.BrokenResourceError):
                while await stream.receive_some():
                    pass
            nursery.cancel_scope.cancel()
    return trio.current_time() - began
