"""The DNS front on the loopback interface, with simulated resolver, caches and client."""

from rookbend.core.model import Endpoint, MembershipChange
from rookbend.interface import Member, MemberState
from rookbend.protocol.coordinator_stream import server_number
from tests.director_scenario import OBJ, play, run_with_director

READ = f"p0.{OBJ}.g1.video.route.example.org"
WRITE = f"r9b1f03aa5c7e2d41.p0.{OBJ}.g1.form.route.example.org"
AFTER_RETRY_WINDOW = "director wait 13\n"  # writes are not accepted for the first four deadlines after a start
RESOLVED_READ = f"""
    dns send {READ} id=7
    cache1 expect do c=video k={OBJ} p=0
    cache1 send ok note=mem body=hello
    resolver expect cache1.example.org
    resolver send 127.0.0.11
    dns expect udp id=7 NOERROR cache1.example.org 127.0.0.11 ttl=0
"""


def test_a_reply_to_a_read_names_the_member_that_served_it():
    assert play(RESOLVED_READ).counters.served == 1


def test_a_drained_member_is_not_named_although_the_resolver_returns_its_address():
    """cache1 drains, and the resolver still returns its address for its name."""
    play(
        RESOLVED_READ
        + f"""
        coordinator send DRAINING cache1
        director wait 0.5
        dns send {READ} id=8
        cache1 expect nothing
        upper expect do k={OBJ}
        upper send ok note=mem body=hello
        resolver expect upper.example.org
        resolver send 127.0.0.11 127.0.0.21
        dns expect id=8 NOERROR upper.example.org 127.0.0.21
        dns send {READ} id=9
        upper expect do k={OBJ}
        upper send ok note=mem body=hello
        resolver expect upper.example.org
        resolver send 127.0.0.11
        dns expect id=9 SERVFAIL unnamed
    """
    )


def test_a_drain_received_from_a_reloaded_coordinator_applies_to_replies():
    play(
        RESOLVED_READ
        + f"""
        director send reload coordinator2
        coordinator2 expect call Last-Event-ID=1
        coordinator2 send DRAINING cache1
        director wait 0.1
        dns send {READ} id=7
        dns expect id=7 REFUSED unnamed
        cache1 expect nothing
    """
    )


def test_a_member_that_drains_while_its_name_is_resolved_is_not_named():
    play(f"""
        dns send {READ}
        cache1 expect do k={OBJ}
        cache1 send ok note=mem body=hello
        resolver expect cache1.example.org
        coordinator send DRAINING cache1
        director wait 0.1
        resolver send 127.0.0.11
        dns expect REFUSED retry-after-ms=500 unnamed
    """)


def test_a_repeated_reply_does_not_name_a_member_that_has_drained_since():
    play(
        RESOLVED_READ
        + f"""
        dns send {READ} id=7
        dns expect id=7 NOERROR cache1.example.org
        coordinator send DRAINING cache1
        director wait 0.1
        dns send {READ} id=7
        dns expect id=7 REFUSED unnamed
        cache1 expect nothing
    """
    )


def test_a_repeated_write_runs_once():
    """The repeats come from the same client and through another resolver, before the answer and after it."""
    service = play(
        AFTER_RETRY_WINDOW
        + f"""
        dns send {WRITE} id=1
        records expect do c=form rid=9b1f03aa5c7e2d41
        dns send {WRITE} id=1
        dns send {WRITE} id=2
        records expect nothing
        records send ok note=origin body=done
        resolver expect records.example.org
        resolver send 127.0.0.31
        dns expect id=1 NOERROR records.example.org
        dns expect id=2 NOERROR records.example.org
        dns expect nothing
        dns send tcp {WRITE} id=3
        dns expect tcp id=3 NOERROR records.example.org
        director wait 5
        dns send {WRITE.upper()} id=4
        dns expect id=4 NOERROR 127.0.0.31
        records expect nothing
    """
    )
    assert service.counters.requests == 1


def test_a_client_that_closes_its_sending_side_still_gets_its_reply():
    async def check(harness):
        await harness.play(f"dns send tcp {READ} id=6\ncache1 expect do k={OBJ}")
        await harness.actors["dns"].streams[0].send_eof()
        await harness.play("""
            director wait 0.1
            cache1 send ok note=mem body=hello
            resolver expect cache1.example.org
            resolver send 127.0.0.11
            dns expect tcp id=6 NOERROR cache1.example.org
        """)

    run_with_director(check)


def test_a_write_with_an_unknown_result_fails_and_its_repeat_gets_the_same_answer():
    play(
        AFTER_RETRY_WINDOW
        + f"""
        dns send {WRITE} id=1
        records expect do c=form
        records close
        dns expect id=1 SERVFAIL failed
        dns send {WRITE} id=2
        dns expect id=2 SERVFAIL failed
        records expect nothing
    """
    )


def test_a_write_right_after_a_start_fails_since_it_may_have_run_before():
    play(f"""
        dns send {WRITE}
        dns expect SERVFAIL just started:
        records expect nothing
    """)


def test_a_write_that_ran_gets_noerror_although_no_member_can_be_named():
    play(
        AFTER_RETRY_WINDOW
        + f"""
        dns send {WRITE}
        records expect do c=form
        records send ok note=origin body=done
        resolver expect records.example.org
        resolver send SERVFAIL
        dns expect NOERROR unnamed
    """
    )


def test_one_request_id_under_two_names_runs_once():
    other = WRITE.replace("p0", "p1")
    play(
        AFTER_RETRY_WINDOW
        + f"""
        dns send {WRITE} id=1
        records expect do c=form
        dns send {other} id=2
        dns expect id=2 SERVFAIL request
        records expect nothing
    """
    )


def test_a_full_lookup_table_refuses_new_writes_and_keeps_the_known_ones():
    async def check(harness):
        harness.service.dns.front.table.capacity = 1
        await harness.play(
            AFTER_RETRY_WINDOW
            + f"""
            dns send {WRITE} id=1
            records expect do c=form
            dns send {WRITE.replace("r9", "r8")} id=2
            dns expect id=2 REFUSED retry-after-ms=500
            records expect nothing
            records close
            dns expect id=1 SERVFAIL
            director wait 20
            dns send {WRITE.replace("r9", "r8")} id=3
            records expect do rid=8b1f03aa5c7e2d41
        """
        )
        assert len(harness.service.dns.front.table.by_key) == 1

    run_with_director(check)


def test_a_lookup_is_refused_at_its_deadline_if_the_cache_is_silent():
    play(f"""
        dns send {READ}
        cache1 expect do k={OBJ}
        director wait 2.9
        dns expect nothing
        director wait 0.2
        dns expect REFUSED retry-after-ms=500
    """)


def test_lookups_after_the_grace_period_of_a_drain_are_refused_with_a_retry_time():
    play(f"""
        cache1 expect nothing
        dns send {READ} id=1
        cache1 expect do k={OBJ}
        director close
        director wait 0.8
        dns send {READ} id=2
        dns expect id=2 REFUSED retry-after-ms=500
        cache1 send ok note=mem body=hello
        resolver expect cache1.example.org
        resolver send 127.0.0.11
        dns expect id=1 NOERROR cache1.example.org
        director expect
    """)


def test_a_member_that_returns_with_another_address_is_named_with_that_address_only():
    async def check(harness):
        await harness.play(RESOLVED_READ)
        number = server_number("cache1")
        moved = Endpoint(Member(number, 50.0, 0, 1, 0, MemberState.READY, 0), "cache1", ("127.0.0.12", 1))
        harness.service.engine.membership_changed(MembershipChange(False, 3, [moved]))
        front = harness.service.dns.front
        results = []
        front.completion.resolved(next(iter(front.table.by_key.values())), number, "cache1.example.org", ["127.0.0.11"])
        results.append(next(iter(front.table.by_key.values())).outcome.server)
        front.completion.resolved(next(iter(front.table.by_key.values())), number, "cache1.example.org", ["127.0.0.12"])
        results.append(next(iter(front.table.by_key.values())).outcome.address)
        assert results == [0, "127.0.0.12"]

    run_with_director(check)
