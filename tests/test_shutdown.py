"""Shutdown with requests in transit: every request that was read is answered once, and no connection is reset because
it is closed with unread bytes."""

import pytest
import trio
import trio.testing

from rookbend.drain import GRACE_US
from rookbend.testing.open_loop_client import encode_frame
from tests.director_scenario import run_with_director
from tests.raw_client import ANSWERED, CLOSING, REFUSED, SERVED, RawClient, request

GRACE_S = GRACE_US / 1e6


async def wait_until_stopped(harness):
    """Waits until the director has stopped, for no longer than its shutdown may take."""
    with trio.fail_after(4):
        await harness.done.wait()


def test_a_connection_in_the_backlog_is_answered_before_the_listener_closes():
    async def check(harness):
        harness.service.client_listener.max_clients = 0  # no client is accepted: the connection waits in the backlog
        client = await RawClient(harness).connect()
        await client.send(request(1))
        harness.service.stop()
        await trio.sleep(GRACE_S + 0.1)
        assert await client.read_to_end() == [(CLOSING, 0, None), (ANSWERED, 1, REFUSED)]
        client.sock.close()
        await wait_until_stopped(harness)

    run_with_director(check)


def test_unread_requests_are_read_and_answered_before_the_connection_closes():
    resume = trio.Event()

    async def check(harness):
        client = await RawClient(harness).connect()
        await client.send(encode_frame(1, 9, {}))

        async def paused_receive():
            await resume.wait()
            return await receive()

        (connection,) = harness.service.client_listener.open
        receive, connection.socket.receive = connection.socket.receive, paused_receive
        await client.send(request(1))  # read by the receive in progress
        await client.send(request(2, chunk=1))  # stays unread until `resume` is set
        harness.service.stop()
        await trio.sleep(0.1)
        await harness.play("cache1 expect do rid=0000000000000001\ncache1 send ok note=mem body=hello")
        await trio.sleep(GRACE_S)
        resume.set()
        frames = await client.read_to_end()
        assert (ANSWERED, 1, SERVED) in frames and (ANSWERED, 2, REFUSED) in frames
        client.sock.close()
        await wait_until_stopped(harness)
        await harness.play("cache1 expect nothing")

    run_with_director(check)


def test_a_partial_frame_is_served_if_completed_in_time_and_ignored_if_not():
    async def check(harness):
        completed, partial = await RawClient(harness).connect(), await RawClient(harness).connect()
        await completed.send(request(1)[:20])
        await partial.send(request(2, chunk=2)[:20])
        harness.service.stop()
        await trio.sleep(GRACE_S - 0.1)
        await completed.send(request(1)[20:])
        await harness.play("cache1 expect do rid=0000000000000001\ncache1 send ok note=mem body=hello")
        assert await completed.read_to_end() == [(CLOSING, 0, None), (ANSWERED, 1, SERVED)]
        assert await partial.read_to_end() == [(CLOSING, 0, None)]
        completed.sock.close()
        partial.sock.close()
        await wait_until_stopped(harness)
        await harness.play("cache1 expect nothing")

    run_with_director(check)


@pytest.mark.parametrize("after_s, code", [(GRACE_S - 0.01, SERVED), (GRACE_S + 0.05, REFUSED)])
def test_every_frame_sent_around_the_end_of_the_grace_period_is_answered(after_s, code):
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
        await wait_until_stopped(harness)

    run_with_director(check)


def test_partly_written_answers_are_written_completely():
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
        await trio.sleep(GRACE_S + 0.1)
        assert connection.socket.backlog_bytes
        frames = await client.read_to_end()
        assert frames.count((CLOSING, 0, None)) == 1
        assert sorted(frames)[1:] == [(ANSWERED, stream, SERVED) for stream in range(1, count + 1)]
        client.sock.close()
        await wait_until_stopped(harness)

    run_with_director(check)


def test_a_request_that_crosses_the_close_of_an_idle_connection_is_neither_served_nor_reset():
    """The client sends such a request again: if it were served here, its answer would be lost."""

    async def check(harness):
        client = await RawClient(harness).connect()
        await client.send(request(1))
        await harness.play("cache1 expect do rid=0000000000000001\ncache1 send ok note=mem body=hello")
        harness.service.stop()
        (connection,) = harness.service.client_listener.open
        finish = connection.socket.finish

        def finish_and_send():
            finish()
            client.sock._sock.send(request(2, chunk=2))  # arrives right after the director has closed its side

        connection.socket.finish = finish_and_send
        assert await client.read_to_end() == [(ANSWERED, 1, SERVED), (CLOSING, 0, None)]
        client.sock.close()
        await wait_until_stopped(harness)
        await harness.play("cache1 expect nothing")

    run_with_director(check)


def test_an_idle_client_that_never_closes_does_not_delay_the_shutdown():
    async def check(harness):
        client = await RawClient(harness).connect()
        await client.send(encode_frame(1, 9, {}))
        harness.service.stop()
        harness.service.stop()  # a second call has no effect
        await wait_until_stopped(harness)
        client.sock.close()

    run_with_director(check)


def test_a_write_in_flight_is_answered_once():
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


def test_a_retry_after_the_shutdown_has_begun_is_made_and_its_request_answered_once():
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


def test_a_reload_just_before_a_shutdown_loses_no_answer():
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
