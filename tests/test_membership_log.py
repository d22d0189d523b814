"""What the log and the metrics tell of the membership, its stream, and attempts and requests that were not served."""

import json

from rookbend.core.membership_transitions import MAX_LOGGED_NAMES, state_transitions
from rookbend.core.model import Endpoint
from rookbend.interface import Member, MembershipUpdated, MembershipUpdateKind, MemberState
from tests.director_scenario import run_with_director

READY, DRAINING, GONE = MemberState.READY, MemberState.DRAINING, MemberState.GONE
LOG_AS_JSON = "[log]\n format json\n"


def endpoints(**states):
    """Endpoints by server number; the name `s7` is server 7."""
    return {
        int(name[1:]): Endpoint(Member(int(name[1:]), state=state), name, ("", int(name[1:])))
        for name, state in states.items()
    }


def transitions(previous, current, kind=MembershipUpdateKind.DELTA, changed=None):
    members = [endpoint.member for endpoint in (changed or current).values()]
    return state_transitions(previous, current, MembershipUpdated(kind, 1, tuple(members)))


def test_each_member_is_named_by_the_state_that_it_has_entered():
    previous = endpoints(s1=READY, s2=READY, s3=DRAINING, s4=READY)
    changed = endpoints(s1=DRAINING, s2=READY, s3=GONE, s5=READY)
    current = endpoints(s1=DRAINING, s2=READY, s4=READY, s5=READY)
    assert transitions(previous, current, changed=changed) == {"draining": "s1", "gone": "s3", "ready": "s5"}


def test_a_member_that_a_complete_list_does_not_name_is_gone():
    previous = endpoints(s1=READY, s2=READY)
    assert transitions(previous, endpoints(s1=READY), MembershipUpdateKind.FULL) == {"gone": "s2"}
    assert transitions(previous, previous, MembershipUpdateKind.FULL) == {}


def test_a_list_of_thousands_of_members_names_a_few_and_counts_the_others():
    many = endpoints(**{f"s{number}": READY for number in range(3200)})
    (names,) = transitions({}, many, MembershipUpdateKind.FULL).values()
    assert names.count(",") == MAX_LOGGED_NAMES - 1
    assert names.endswith(f" and {3200 - MAX_LOGGED_NAMES} more")


def events(captured, name):
    return [line for line in map(json.loads, captured.err.splitlines()) if line["event"] == name]


def test_the_log_tells_of_the_stream_of_a_drain_and_of_what_it_withheld(capfd):
    async def check(harness):
        await harness.play("""
            coordinator send DRAINING cache1
            director wait 0.01
            client send request 1 video budget=200
            upper expect do
            director wait 0.3
        """)
        return harness.service

    service = run_with_director(check, operators=LOG_AS_JSON)
    captured = capfd.readouterr()
    assert [line["index"] for line in events(captured, "known_events_applied")] == [1]
    assert [line["after_index"] for line in events(captured, "coordinator_stream_began")] == [1]
    assert [line.get("draining") for line in events(captured, "membership_changed")] == [None, "cache1"]
    (unserved,) = events(captured, "request_unserved")
    assert unserved["attempts"] >= 1 and unserved["after"] == "timeout"
    assert service.counters.coordinator_streams == 1
    assert service.watch.gauges()["coordinator_event_index"] == 2
