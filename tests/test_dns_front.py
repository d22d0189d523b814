"""The DNS front on loopback, with stand-in resolver, caches and client."""

from rookbend.core.model import Endpoint, MembershipChange
from rookbend.interface import Member, MemberState
from rookbend.protocol.coordinator_stream import server_number
from tests.director_scenario import OBJ, play, run_with_director

READ = f"p0.{OBJ}.g1.video.route.example.org"
WRITE = f"r9b1f03aa5c7e2d41.p0.{OBJ}.g1.form.route.example.org"
LIFE_BEFORE = "director wait 13\n"  # a write is in doubt for the first four deadlines after a start
NAMED = f"""
    dns send {READ} id=7
    cache1 expect do c=video k={OBJ} p=0
    cache1 send ok note=mem body=hello
    resolver expect cache1.example.org
    resolver send 127.0.0.11
    dns expect udp id=7 NOERROR cache1.example.org 127.0.0.11 ttl=0
"""


def test_a_read_names_the_box_that_served_it():
    assert play(NAMED).counters.served == 1


def test_a_drained_box_is_not_named_though_the_resolver_hands_it_out():
    """The hard case: cache1 drains, and the resolver goes on giving its address under its name."""
    play(
        NAMED
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


def test_a_drain_told_by_the_coordinator_of_a_reload_holds_for_names_too():
    play(
        NAMED
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


def test_a_box_that_drains_while_its_name_is_resolved_is_not_named():
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


def test_a_remembered_answer_does_not_name_a_box_that_has_drained_since():
    play(
        NAMED
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


def test_a_submission_retried_on_its_behalf_runs_once():
    """By the same client, through another resolver, before the answer and after it."""
    service = play(
        LIFE_BEFORE
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


def test_a_submission_in_doubt_fails_and_its_repeat_gets_that_answer():
    play(
        LIFE_BEFORE
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


def test_a_submission_right_after_a_start_is_in_doubt():
    play(f"""
        dns send {WRITE}
        dns expect SERVFAIL just started:
        records expect nothing
    """)


def test_a_submission_that_ran_is_told_so_though_no_box_can_be_named():
    play(
        LIFE_BEFORE
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
        LIFE_BEFORE
        + f"""
        dns send {WRITE} id=1
        records expect do c=form
        dns send {other} id=2
        dns expect id=2 SERVFAIL request
        records expect nothing
    """
    )


def test_memory_is_bounded_and_full_of_writes_refuses_rather_than_forgets():
    async def check(harness):
        harness.service.dns.front.table.capacity = 1
        await harness.play(
            LIFE_BEFORE
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


def test_a_silent_cache_costs_the_lookup_its_answer_by_the_deadline():
    play(f"""
        dns send {READ}
        cache1 expect do k={OBJ}
        director wait 2.9
        dns expect nothing
        director wait 0.2
        dns expect REFUSED retry-after-ms=500
    """)


def test_lookups_after_the_drain_are_refused_with_a_time_to_come_back():
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


def test_a_box_back_in_service_under_its_old_name_is_named_at_its_new_address_only():
    async def check(harness):
        await harness.play(NAMED)
        number = server_number("cache1")
        moved = Endpoint(Member(number, 50.0, 0, 1, 0, MemberState.READY, 0), "cache1", ("127.0.0.12", 1))
        harness.service.engine.membership_changed(MembershipChange(False, 3, [moved]))
        front = harness.service.dns.front
        told = []
        front._resolved(next(iter(front.table.by_key.values())), number, "cache1.example.org", ["127.0.0.11"])
        told.append(next(iter(front.table.by_key.values())).outcome.server)
        front._resolved(next(iter(front.table.by_key.values())), number, "cache1.example.org", ["127.0.0.12"])
        told.append(next(iter(front.table.by_key.values())).outcome.address)
        assert told == [0, "127.0.0.12"]

    run_with_director(check)
