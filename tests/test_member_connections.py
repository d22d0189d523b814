"""Connections to members on loopback: malformed and late answers, reused request ids, sharing."""

from contextlib import suppress

import trio

from rookbend.core.model import AttemptResult
from rookbend.interface import AttemptStatus
from rookbend.net import member_pool
from tests.director_scenario import OBJ, play, run_with_director


def test_a_malformed_answer_closes_only_its_connection():
    """When attempts shared a connection, a malformed answer to one of them failed a dozen others."""
    service = play("""
        client send request 1 video
        cache1 expect do rid=0000000000000001
        client send request 2 video chunk=1
        cache1 expect do rid=0000000000000002
        cache1 send garbage rid=0000000000000001
        cache1 expect do rid=0000000000000001
        cache1 send ok rid=0000000000000001 note=mem body=hello
        client expect served 1 hello
        cache1 send ok rid=0000000000000002 note=mem body=there
        client expect served 2 there
    """)
    assert (service.counters.garbage, service.counters.reset, service.counters.attempts) == (1, 1, 3)


def test_an_incomplete_answer_closes_its_connection_before_the_deadline_of_the_request():
    service = play("""
        client send request 1 video budget=5000
        cache1 expect do rid=0000000000000001
        cache1 send short
        director wait 0.6
        cache1 expect do rid=0000000000000001
        cache1 send ok note=mem body=hello
        client expect served 1 hello
    """)
    assert service.counters.garbage == 1


async def write_slowly(stream, data, pause_s=0.1):
    """Writes pieces of 50 bytes until the peer has closed."""
    with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        for offset in range(0, len(data), 50):
            await stream.send_all(data[offset : offset + 50])
            await trio.sleep(pause_s)


def test_an_answer_whose_bytes_keep_arriving_is_read_to_its_end():
    # Guards against the loss of an answer, and of all attempts behind it, 0.5 s after its first byte.
    async def check(harness):
        harness.service.pool.max_connections = 1
        await harness.play("""
            client send request 1 video budget=5000
            cache1 expect do rid=0000000000000001
            client send request 2 video chunk=1 budget=5000
            cache1 expect do rid=0000000000000002
        """)
        stream, _ = harness.actors["cache1"].received_attempts["0000000000000001"]
        await write_slowly(stream, b"0000000000000001 ok note=mem 2000\r\n" + b"x" * 2000 + b"\r\n")
        await harness.play(f"""
            client expect served 1 {"x" * 2000}
            cache1 send ok rid=0000000000000002 note=mem body=there
            client expect served 2 there
        """)
        assert (harness.service.counters.garbage, harness.service.counters.attempts) == (0, 2)

    run_with_director(check)


def test_an_answer_that_never_ends_costs_its_attempt_and_then_the_connection():
    async def check(harness):
        await harness.play("client send request 1 form budget=1500\nrecords expect do rid=0000000000000001")
        stream, _ = harness.actors["records"].received_attempts["-"]
        harness.nursery.start_soon(write_slowly, stream, b"0000000000000001 ok - 9000\r\n" + b"x" * 8000)
        began = trio.current_time()
        await harness.play("client expect failed 1\ndirector wait 0.6")
        assert trio.current_time() - began <= 1.5 + 0.6
        assert not [c for pool in harness.service.pool.members.values() for c in pool.connections if c.in_flight]
        assert harness.service.pool.open_connections == 0

    run_with_director(check)


def test_a_connection_with_an_overdue_answer_gets_no_new_attempt():
    """A connection on which an answer did not arrive in time may never deliver another one."""
    service = play("""
        client send request 1 form budget=800
        records expect do rid=0000000000000001
        client expect failed 1
        records expect undo rid=0000000000000001
        client send request 2 form
        records expect do rid=0000000000000002
        records send ok note=mem body=done
        client expect served 2 done
    """)
    assert service.counters.connects == 2


def test_a_cancelled_request_is_sent_to_the_same_cache_again_only_after_it_read_the_cancel():
    """Otherwise the cache handles it twice: the `do` on an idle connection overtook the `undo` on the other."""

    async def check(harness):
        await harness.play("""
            client send request 1 video
            cache1 expect do rid=0000000000000001
            client send request 2 video chunk=1
            cache1 expect do rid=0000000000000002
            cache1 send ok note=mem body=there
            client expect served 2
            cache1 send stall rid=0000000000000001
        """)
        engine = harness.service.engine
        (open_request,) = engine.requests.by_id.values()
        engine.backend.abort(open_request.current_attempt)  # as the routing module does when the source does not answer
        engine.finished(open_request.current_attempt, AttemptResult(AttemptStatus.CANCELLED))
        await harness.play("""
            cache1 expect nothing
            director wait 0.6
            cache1 expect do rid=0000000000000001
            cache1 send ok note=mem body=hello
            client expect served 1 hello
        """)

    run_with_director(check)


def test_a_duplicate_answer_and_an_unknown_id_are_ignored():
    service = play("""
        client send request 1 video
        cache1 expect do rid=0000000000000001
        cache1 send ok note=mem body=stray as=00000000000000ff
        cache1 send ok note=mem body=hello
        cache1 send ok note=mem body=hello
        client expect served 1 hello
        client send request 2 video
        cache1 expect do rid=0000000000000002
        cache1 send ok note=mem body=there
        client expect served 2 there
        client expect nothing
    """)
    assert (service.counters.garbage, service.counters.connects) == (0, 1)


def test_connections_are_shared_only_while_the_attempt_rate_is_high():
    """With one connection per attempt, a director collapsed under CPU load at thousands of attempts per second."""

    async def check(harness):
        await harness.play("director wait 0.1")
        harness.service.engine.backend.sent_this_second = 1000
        await harness.play("""
            client send request 1 video chunk=1 budget=5000
            cache1 expect do rid=0000000000000001
            client send request 2 video chunk=2 budget=5000
            cache1 expect do rid=0000000000000002
            director wait 2.1
            client send request 3 video chunk=3
            cache1 expect do rid=0000000000000003
        """)
        return harness.service.counters.connects

    assert run_with_director(check) == 2


def test_connections_are_shared_when_the_connection_limit_is_reached():
    service = play(
        """
        client send request 1 video chunk=1
        cache1 expect do rid=0000000000000001
        client send request 2 video chunk=2
        cache1 expect do rid=0000000000000002
        client send request 3 video chunk=3
        cache1 expect do rid=0000000000000003
    """,
        max_connections=2,
    )
    assert service.counters.connects == 2


def test_a_connection_opened_after_its_member_was_removed_is_closed(monkeypatch):
    # Otherwise the connection stays open without use until the member closes it.
    connect = member_pool.open_socket

    async def connect_late(address):
        await trio.sleep(0.2)
        return await connect(address)

    async def check(harness):
        monkeypatch.setattr(member_pool, "open_socket", connect_late)
        await harness.play(f"""
            client send request 1 video
            director wait 0.1
            coordinator send DELETED cache1
            upper expect do k={OBJ}
            upper send ok note=mem body=hello
            client expect served 1 hello
            director wait 1
        """)
        assert harness.service.counters.connects == 2 and harness.service.pool.open_connections == 1

    run_with_director(check)
