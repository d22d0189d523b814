"""Drains, purges, shutdowns and reloads of a director on the loopback interface."""

from tests.director_scenario import OBJ, play, run_with_director

SERVE = """
    client send request 1 video
    cache1 expect do c=video k=7f3a9c21e0b4d655 p=0 next=upper admit=1 ways=wait-for rid=0000000000000001
    cache1 send ok note=mem sum=ab t0=1 body=hello
    client expect served 1 hello
"""


def test_a_draining_cache_gets_no_new_requests():
    play(
        SERVE
        + """
        coordinator send DRAINING cache1
        director wait 0.6
        client send request 2 video
        upper expect do rid=0000000000000002
        upper send ok note=mem body=hello
        client expect served 2 hello
        cache1 expect nothing
    """
    )


def test_a_purge_limits_the_age_of_copies_that_may_be_served():
    play(
        SERVE
        + f"""
        coordinator send purge {OBJ}
        director wait 0.7
        client send request 2 video
        cache1 expect do rid=0000000000000002 agelim=700
    """
    )


def test_a_request_is_answered_after_the_client_closes_its_sending_side():
    async def check(harness):
        await harness.play("client send request 1 video\ncache1 expect do rid=0000000000000001")
        await harness.actors["client"].streams[0].send_eof()
        await harness.play("cache1 send ok note=mem body=hello\nclient expect served 1 hello\nclient expect closed")

    run_with_director(check)


def test_a_shutdown_answers_accepted_requests_and_serves_new_ones_in_the_grace_period():
    service = play("""
        client send request 1 video
        cache1 expect do rid=0000000000000001
        director close
        client expect closing
        client send request 2 video chunk=1
        cache1 expect do rid=0000000000000002
        client send ready? 9
        client expect ready refused 9
        cache1 send ok rid=0000000000000001 note=mem body=hello
        client expect served 1 hello
        cache1 send ok rid=0000000000000002 note=mem body=there
        client expect served 2 there
        director wait 0.8
        director expect
        client expect closed
    """)
    assert service.phase.value == "stopped" and service.engine.open_requests == 0


def test_a_shutdown_answers_a_hanging_request_before_sigkill():
    play("""
        client send request 1 video budget=5000
        cache1 expect do rid=0000000000000001
        director close
        client expect closing
        director wait 3.55
        client expect 1
        director expect
    """)


def test_a_closed_event_stream_is_reconnected_with_the_last_event_id():
    play("""
        coordinator send DRAINING cache1
        coordinator close
        coordinator expect call Last-Event-ID=2
    """)


def test_requests_are_accepted_again_after_event_loop_lag_with_no_request_open():
    """Guards against endless rejections: without a request there was no timer, and lag was measured only with timers."""

    async def check(harness):
        harness.service.engine.lag_us = 300_000
        await harness.play("""
            client send request 1 video
            client expect refused 1 backoff=500
            director wait 0.1
            client send request 2 video
            cache1 expect do rid=0000000000000002
        """)

    run_with_director(check)


RELOADED = (
    SERVE
    + """
    coordinator send DRAINING cache2
    director wait 0.1
    director send reload coordinator2
    coordinator2 expect call Last-Event-ID=2
"""
)


def test_a_reload_moves_the_watch_at_once_and_event_ids_continue():
    """The watch moves within the stated time after SIGHUP: it does not wait for the old stream, open but silent."""
    counters = play(
        RELOADED
        + """
        coordinator2 send DRAINING cache1 index=2
        coordinator2 send DRAINING cache1 index=3
        director wait 0.1
        client send request 2 video
        upper expect do rid=0000000000000002
        cache1 expect nothing
    """
    ).counters
    assert (counters.reloads_ok, counters.roster_changes) == (1, 3)


def test_a_reload_does_not_affect_open_requests_and_clients():
    play("""
        client send request 1 video
        cache1 expect do rid=0000000000000001
        director send reload coordinator2
        cache1 send ok note=mem body=hello
        client expect served 1 hello
        client send request 2 video
        cache1 expect do rid=0000000000000002
    """)
