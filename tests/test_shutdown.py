"""SIGTERM against what is on its way: every request that was read is answered once, and no close resets a
connection over bytes that nobody has read."""

import pytest
import trio
import trio.testing

from rookbend.drain import GRACE_US
from rookbend.testing.open_loop_client import encode_frame
from tests.director_scenario import run_with_director
from tests.raw_client import ANSWERED, CLOSING, REFUSED, SERVED, RawClient, request

LATECOMERS_S = GRACE_US / 1e6


async def stopped(harness):
    """Waits for the director's own end; it may not need more than its time."""
    with trio.fail_after(4):
        await harness.done.wait()


def test_a_connection_in_the_backlog_is_answered_before_the_listener_closes():
    async def check(harness):
        harness.service.client_listener.max_clients = 0  # nobody is accepted: it waits in the listener's backlog
        client = await RawClient(harness).connect()
        await client.send(request(1))
        harness.service.stop()
        await trio.sleep(LATECOMERS_S + 0.1)
        assert await client.read_to_end() == [(CLOSING, 0, None), (ANSWERED, 1, REFUSED)]
        client.sock.close()
        await stopped(harness)

    run_with_director(check)


def test_bytes_that_were_not_read_yet_are_read_and_answered_before_the_end():
    unread = trio.Event()

    async def check(harness):
        client = await RawClient(harness).connect()
        await client.send(encode_frame(1, 9, {}))

        async def paused():
            await unread.wait()
            return await real()

        (connection,) = harness.service.client_listener.open
        real, connection.socket.receive = connection.socket.receive, paused
        await client.send(request(1))  # read by the receive under way
        await client.send(request(2, chunk=1))  # lies unread from here on
        harness.service.stop()
        await trio.sleep(0.1)
        await harness.play("cache1 expect do rid=0000000000000001\ncache1 send ok note=mem body=hello")
        await trio.sleep(LATECOMERS_S)
        unread.set()
        frames = await client.read_to_end()
        assert (ANSWERED, 1, SERVED) in frames and (ANSWERED, 2, REFUSED) in frames
        client.sock.close()
        await stopped(harness)
        await harness.play("cache1 expect nothing")

    run_with_director(check)


def test_a_frame_of_which_half_has_come_is_served_if_it_is_whole_in_time_and_harmless_if_not():
    async def check(harness):
        whole, half = await RawClient(harness).connect(), await RawClient(harness).connect()
        await whole.send(request(1)[:20])
        await half.send(request(2, chunk=2)[:20])
        harness.service.stop()
        await trio.sleep(LATECOMERS_S - 0.1)
        await whole.send(request(1)[20:])
        await harness.play("cache1 expect do rid=0000000000000001\ncache1 send ok note=mem body=hello")
        assert await whole.read_to_end() == [(CLOSING, 0, None), (ANSWERED, 1, SERVED)]
        assert await half.read_to_end() == [(CLOSING, 0, None)]
        whole.sock.close()
        half.sock.close()
        await stopped(harness)
        await harness.play("cache1 expect nothing")

    run_with_director(check)


@pytest.mark.parametrize("after_s, code", [(LATECOMERS_S - 0.01, SERVED), (LATECOMERS_S + 0.05, REFUSED)])
def test_a_pipeline_of_frames_around_the_last_permitted_moment_is_answered_whole(after_s, code):
    async def check(harness):
        client = await RawClient(harness).connect()
        await client.send(request(1, chunk=1))
        await harness.play("cache1 expect do rid=0000000000000001")
        harness.service.stop()
        await trio.sleep(after_s)
        await client.send(request(2, chunk=2) + request(3, chunk=3))
        if code == SERVED:
            for _ in range(2):
                await harness.actors["cache1"].expect(["do"])
            for stream in (2, 3):
                await harness.play(f"cache1 send ok rid={stream:016x} note=mem body=hello")
        await harness.play("cache1 send ok rid=0000000000000001 note=mem body=hello")
        frames = await client.read_to_end()
        assert frames[0] == (CLOSING, 0, None)
        assert sorted(frames[1:]) == [(ANSWERED, 1, SERVED), (ANSWERED, 2, code), (ANSWERED, 3, code)]
        client.sock.close()
        await stopped(harness)

    run_with_director(check)


def test_an_answer_half_written_goes_out_whole():
    async def check(harness):
        client = await RawClient(harness).connect(receive_buffer=4096)
        count = 24
        for stream in range(1, count + 1):
            await client.send(request(stream, chunk=stream))
        for _ in range(count):
            await harness.actors["cache1"].expect(["do"])
        for stream in range(1, count + 1):
            await harness.play(f"cache1 send ok rid={stream:016x} note=mem body={'x' * 200_000}")
        await trio.testing.wait_all_tasks_blocked()
        (connection,) = harness.service.client_listener.open
        assert connection.socket.backlog_bytes
        harness.service.stop()
        await trio.sleep(LATECOMERS_S + 0.1)
        assert connection.socket.backlog_bytes
        frames = await client.read_to_end()
        assert frames.count((CLOSING, 0, None)) == 1
        assert sorted(frames)[1:] == [(ANSWERED, stream, SERVED) for stream in range(1, count + 1)]
        client.sock.close()
        await stopped(harness)

    run_with_director(check)


def test_a_client_that_rests_and_asks_in_the_moment_of_the_end_is_not_served_and_not_reset():
    """What crosses the director's end is sent again by its client: served here, its answer would be lost."""

    async def check(harness):
        client = await RawClient(harness).connect()
        await client.send(request(1))
        await harness.play("cache1 expect do rid=0000000000000001\ncache1 send ok note=mem body=hello")
        harness.service.stop()
        (connection,) = harness.service.client_listener.open
        real = connection.socket.finish

        def crossed():
            real()
            client.sock._sock.send(request(2, chunk=2))  # arrives right behind the director's end

        connection.socket.finish = crossed
        assert await client.read_to_end() == [(ANSWERED, 1, SERVED), (CLOSING, 0, None)]
        client.sock.close()
        await stopped(harness)
        await harness.play("cache1 expect nothing")

    run_with_director(check)


def test_a_resting_client_that_never_closes_does_not_keep_the_director():
    async def check(harness):
        client = await RawClient(harness).connect()
        await client.send(encode_frame(1, 9, {}))
        harness.service.stop()
        harness.service.stop()  # a second signal changes nothing
        await stopped(harness)
        client.sock.close()

    run_with_director(check)


def test_a_write_whose_body_is_half_out_is_answered_once():
    async def check(harness):
        await harness.play("""
            client send request 1 form body=form
            records expect do body=form
            director close
            client expect closing
            records send ok body=done
            client expect served 1 done
            director wait 1
            client expect closed
            director expect
            records expect nothing
        """)

    run_with_director(check)


def test_a_retry_that_is_about_to_begin_goes_on_and_its_request_is_answered_once():
    async def check(harness):
        await harness.play("""
            client send request 1 form budget=3000
            records expect do
            director close
            client expect closing
            records send refused note=denied
            upper expect do rid=0000000000000001
            director wait 0.8
            upper send ok body=done
            client expect served 1 done
            client expect closed
            director expect
            records expect nothing
        """)

    run_with_director(check)


def test_a_reload_just_before_the_end_loses_nothing():
    async def check(harness):
        await harness.play("""
            client send request 1 video
            cache1 expect do rid=0000000000000001
            director send reload coordinator2
            director close
            client expect closing
            cache1 send ok note=mem body=hello
            client expect served 1 hello
            director wait 1
            client expect closed
            director expect
        """)

    run_with_director(check)
