"""A client's connection is not ended while a request is open on it; a client that only holds its place is ended."""

import copy
import os

import pytest
import trio
import trio.testing

from rookbend.core.inactivity import ConnectionActivity, InactivityLimits
from rookbend.fronts.platform import INACTIVITY_LIMITS
from rookbend.protocol.client_frames import MAX_BUFFERED_BYTES
from rookbend.testing.open_loop_client import encode_frame
from tests.director_scenario import OBJ, SETTINGS, play, run_with_director
from tests.raw_client import SERVED, RawClient, request

FORM = encode_frame(7, 2, {"method": "form", "obj": OBJ, "budget": "1500", "rid": f"{2:016x}"}, b"x" * 4000)
LONGEST_FRAME_HEADER = MAX_BUFFERED_BYTES.to_bytes(4, "big") + b"\x07\0\0\0\x02"
OPEN_REQUEST = "client send request 1 video budget=20000\ncache1 expect do rid=0000000000000001"
SERVE_IT = "cache1 send ok note=mem body=hello\nclient expect served 1 hello"
SERVE_FORM = "records expect do rid=0000000000000002\nrecords send ok body=done\nclient expect served 2 done"
LIMITS = InactivityLimits(first_message_us=2, idle_us=6, stall_us=3, message_us=30)


async def write_slowly(stream, data, pieces, pause_s):
    size = len(data) // pieces + 1
    for offset in range(0, len(data), size):
        await trio.sleep(pause_s)
        await stream.send_all(data[offset : offset + size])


def test_open_requests_are_answered_while_their_client_writes_the_next_one_slowly():
    # Guards against the loss of all open requests 2 s after the first byte of an unfinished frame (review/2).
    async def check(harness):
        await harness.play(OPEN_REQUEST)
        await write_slowly(harness.actors["client"].streams[-1], FORM, 50, 0.05)
        await harness.play(f"{SERVE_IT}\n{SERVE_FORM}")
        assert not harness.service.counters.requests_dropped

    run_with_director(check)


def test_a_client_that_stops_within_a_frame_gets_its_open_answer_and_is_closed_after_it():
    # Guards against the loss of open requests of a client that is silent within a frame but still reads.
    async def check(harness):
        await harness.play(f"{OPEN_REQUEST}\nclient send raw 0000\ndirector wait 9\n{SERVE_IT}")
        answered = trio.current_time()
        await harness.play("client expect failed 0\nclient expect closed")
        assert 2 <= trio.current_time() - answered < 3

    run_with_director(check)


def test_a_client_that_half_closes_within_a_frame_gets_its_open_answer():
    # Guards against the loss of a request in flight when its client ends in the middle of the next one.
    async def check(harness):
        await harness.play(f"{OPEN_REQUEST}\nclient send raw 0000")
        await harness.actors["client"].streams[-1].send_eof()
        await harness.play(f"director wait 4\n{SERVE_IT}\nclient expect closed")

    run_with_director(check)


def test_a_request_written_slowly_on_a_connection_without_open_requests_is_served():
    # Guards against a time limit that counts from the first byte of a frame whose bytes keep arriving.
    async def check(harness):
        client = harness.actors["client"]
        await client.open()
        await write_slowly(client.streams[-1], FORM, 10, 1)
        await harness.play(SERVE_FORM)

    run_with_director(check)


def test_a_request_that_arrived_behind_a_delayed_loop_is_served_instead_of_timed_out():
    # Guards against the end of a connection over unread bytes that complete the frame.
    async def check(harness):
        client = harness.actors["client"]
        await client.open()
        await client.streams[-1].send_all(FORM[:100])
        await trio.testing.wait_all_tasks_blocked()
        (connection,) = harness.service.client_listener.open
        connection.session.activity.last_activity_us -= INACTIVITY_LIMITS.stall_us
        os.write(client.streams[-1].socket.fileno(), FORM[100:])  # no task runs before the next step
        harness.service.client_listener._end_expired(harness.service.clock.now())
        await harness.play(SERVE_FORM)

    run_with_director(check)


def test_a_shutdown_waits_for_a_client_that_is_writing_a_request():
    # Guards against a request whose last byte is written to a connection that the shutdown has ended.
    async def check(harness):
        client = harness.actors["client"]
        await client.open()
        await client.streams[-1].send_all(FORM[:100])
        harness.service.stop()
        await write_slowly(client.streams[-1], FORM[100:], 12, 0.1)
        await harness.play("client expect closing\nclient expect refused 2\nclient expect closed\ndirector expect exit")

    run_with_director(check)


@pytest.mark.parametrize("deadline_s, kept", [(5, False), (20, True)])
def test_a_client_that_reads_nothing_is_dropped_once_no_request_is_awaited_any_more(deadline_s, kept):
    # Guards against the loss of answers whose client pauses in reading for less than the deadline of their class.
    settings = copy.deepcopy(SETTINGS)
    settings["lanes"][0]["hardLimitUs"] = deadline_s * 1_000_000

    async def check(harness):
        client = await RawClient(harness).connect(receive_buffer=4096)
        streams = range(1, 32)
        for stream in streams:
            await client.send(request(stream, chunk=stream, budget=deadline_s * 1000))
        for stream in streams:
            await harness.play(f"cache1 expect do\ncache1 send ok rid={stream:016x} note=mem body={'x' * 200_000}")
        await harness.play("director wait 8")
        (connection,) = harness.service.client_listener.open or [None]
        assert (connection is not None) is kept
        if kept:
            assert connection.socket.backlog_bytes
            connection.socket.finish()
            assert [stream for _, stream, code in await client.read_to_end() if code == SERVED] == list(streams)

    run_with_director(check, settings=settings)


@pytest.mark.parametrize("way", ["answered", "half-closed", "writes-for-ever"])
def test_a_client_that_sends_invalid_bytes_gets_its_open_answers_before_the_close(way):
    # Guards against the loss of requests taken whole before the invalid bytes.
    async def check(harness):
        stream = None

        async def write_for_ever():
            with pytest.raises(trio.BrokenResourceError):
                while True:
                    await stream.send_all(b"\xff" * 100_000)
                    await trio.sleep(0.01)

        await harness.play(f"{OPEN_REQUEST}\nclient send raw 00000001\nclient expect failed 0")
        stream = harness.actors["client"].streams[-1]
        if way == "half-closed":
            await stream.send_eof()
        elif way == "writes-for-ever":
            harness.nursery.start_soon(write_for_ever)
        await harness.play(f"director wait 3\nclient expect nothing\n{SERVE_IT}")
        if way != "writes-for-ever":
            await harness.play("client expect closed")
        await trio.sleep(1)
        assert not harness.service.client_listener.open and not harness.service.counters.requests_dropped

    run_with_director(check)


def test_a_stream_number_used_twice_ends_its_requests_and_no_others():
    play("""
        client send request 1 video
        cache1 expect do rid=0000000000000001
        client send request 2 form
        records expect do rid=0000000000000002
        client send request 1 video rid=00000000000000ff
        client expect failed 0
        cache1 expect undo rid=0000000000000001
        records send ok body=done
        client expect served 2 done
        client expect closed
    """)


@pytest.mark.parametrize("open_request", [False, True])
def test_a_client_that_writes_for_ever_costs_bounded_time_memory_and_descriptors(open_request):
    async def check(harness):
        listener, actor = harness.service.client_listener, harness.actors["client"]
        await (harness.play(OPEN_REQUEST.replace("20000", "5000")) if open_request else actor.open())
        began = trio.current_time()
        with pytest.raises(trio.BrokenResourceError):
            await actor.streams[-1].send_all(LONGEST_FRAME_HEADER)
            while trio.current_time() - began < 60:
                await actor.streams[-1].send_all(bytes(500))
                await trio.sleep(0.5)
                assert all(len(client.session.parser._buffer) <= MAX_BUFFERED_BYTES for client in listener.open)
        assert 30 <= trio.current_time() - began < 32 and not listener.open

    run_with_director(check)


def test_clients_that_write_for_ever_do_not_keep_new_clients_out():
    # Guards against bytes of an unfinished first frame that protect their client's place as those of a newcomer.
    async def check(harness):
        listener, client = harness.service.client_listener, harness.actors["client"]
        listener.max_clients = 4
        writers = [await trio.open_tcp_stream(*harness.service.address) for _ in range(4)]

        async def write_for_ever(stream):
            with pytest.raises(trio.BrokenResourceError):
                await stream.send_all(LONGEST_FRAME_HEADER)
                while True:
                    await trio.sleep(0.2)
                    await stream.send_all(b"\0")

        for stream in writers:
            harness.nursery.start_soon(write_for_ever, stream)
        await trio.sleep(1)
        began = trio.current_time()
        await client.open()
        await harness.play("client send ready? 9\nclient expect ready")
        assert len(listener.open) <= 4 and trio.current_time() - began < 1

    run_with_director(check)


def test_a_connection_is_ended_by_inactivity_only_while_nothing_is_open():
    activity = ConnectionActivity(LIMITS, 100)
    assert activity.deadline_us(has_open_requests=False) == 102
    activity.received(110, has_completed=True, is_partial=False)
    assert activity.deadline_us(has_open_requests=False) == 116
    activity.received(120, has_completed=True, is_partial=True)
    for now in range(121, 160):
        activity.received(now, has_completed=False, is_partial=True)
        assert activity.deadline_us(has_open_requests=True) is None
        assert activity.deadline_us(has_open_requests=False) == min(now + 3, 120 + 30)
    activity.answered(170)
    activity.received(171, has_completed=True, is_partial=False)
    assert activity.deadline_us(has_open_requests=False) == 177
