"""Sends at the end of a turn of the event loop, and after a pause only once all readable sockets were read."""

import pytest
import trio
import trio.testing

from rookbend.net.write_scheduler import WriteScheduler


class Writer:
    def __init__(self, sent, name):
        self.sent, self.name = sent, name

    def send(self):
        self.sent.append(self.name)


def run(check):
    async def main():
        scheduler = WriteScheduler()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(scheduler.run)
            await check(scheduler)
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("count", [3, 30])
def test_after_a_pause_a_task_whose_socket_is_readable_runs_before_the_send(count):
    # Guards against a retry that is sent for a client whose close waits in its socket.
    async def check(scheduler):
        done = []
        near, far = trio.socket.socketpair()
        far.close()

        async def read():
            await trio.lowlevel.wait_readable(near)
            done.append("read")

        for number in range(count):
            scheduler.add(Writer(done, number))
        scheduler.wait_for_reads()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
        await trio.testing.wait_all_tasks_blocked()
        near.close()
        assert done == ["read", *range(count)]

    run(check)


def test_a_pause_in_the_middle_of_a_flush_holds_back_the_rest_in_its_order():
    async def check(scheduler):
        sent, looks = [], []

        def look():
            looks.append(len(sent))
            if len(looks) == 2:
                scheduler.wait_for_reads()
                scheduler.add(Writer(sent, "new"))

        scheduler.before_send = look
        for name in ("first", "second", "third"):
            scheduler.add(Writer(sent, name))
        scheduler.flush()
        assert sent == ["first"]
        await trio.testing.wait_all_tasks_blocked()
        assert sent == ["first", "second", "third", "new"]

    run(check)
