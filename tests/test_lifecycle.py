"""Drains, purges, the exit and reloads of a director on loopback."""

from tests.director_scenario import OBJ, play, run_with_director

SERVE = """
    client send request 1 video
    cache1 expect do c=video k=7f3a9c21e0b4d655 p=0 next=upper admit=1 ways=wait-for rid=0000000000000001
    cache1 send ok note=mem sum=ab t0=1 body=hello
    client expect served 1 hello
"""


def test_nothing_new_goes_to_a_cache_that_drains():
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


def test_a_purge_sets_the_age_that_will_do():
    play(
        SERVE
        + f"""
        coordinator send purge {OBJ}
        director wait 0.7
        client send request 2 video
        cache1 expect do rid=0000000000000002 agelim=700
    """
    )


def test_an_answer_to_a_request_is_owed_after_the_sending_side_was_closed():
    async def check(harness):
        await harness.play("client send request 1 video\ncache1 expect do rid=0000000000000001")
        await harness.actors["client"].streams[0].send_eof()
        await harness.play("cache1 send ok note=mem body=hello\nclient expect served 1 hello\nclient expect closed")

    run_with_director(check)


def test_a_restart_settles_what_was_taken_and_serves_latecomers():
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


def test_a_restart_answers_what_hangs_before_the_kill():
    play("""
        client send request 1 video budget=5000
        cache1 expect do rid=0000000000000001
        director close
        client expect closing
        director wait 3.55
        client expect 1
        director expect
    """)


def test_a_broken_stream_is_called_again_with_the_last_index():
    play("""
        coordinator send DRAINING cache1
        coordinator close
        coordinator expect call Last-Event-ID=2
    """)


def test_a_loop_that_was_late_takes_requests_again_though_none_is_open():
    """Guards against the guard: measured only with the timers, a lag stayed when no request had any."""

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


def test_a_reload_moves_the_watch_at_once_and_its_numbers_go_on():
    """Guards the told time after SIGHUP: the old stream stays open, silent, and is not waited for."""
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


def test_a_reload_leaves_open_requests_and_clients_alone():
    play("""
        client send request 1 video
        cache1 expect do rid=0000000000000001
        director send reload coordinator2
        cache1 send ok note=mem body=hello
        client expect served 1 hello
        client send request 2 video
        cache1 expect do rid=0000000000000002
    """)
