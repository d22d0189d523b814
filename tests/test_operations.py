"""Exclusions, reloads and metrics: as units, and in one director."""

import copy

import msgspec
import trio
import trio.testing

from rookbend import config as configuration
from rookbend import interface as api
from rookbend.core.model import Endpoint, FinalOutcome, MembershipChange
from rookbend.interface import MemberState
from rookbend.operations import metrics_text
from rookbend.operations.exclusions import MAX_EXCLUSIONS, Exclusions
from rookbend.testing.measurement_settings import SETTINGS
from tests.director_scenario import OBJ, director_harness

READY, DRAINING, GONE = MemberState.READY, MemberState.DRAINING, MemberState.GONE


def entry(name, state=READY, started=0):
    return Endpoint(api.Member(int(name[1:]), started_us=started, state=state), name, ("127.0.0.1", 1))


def full_list(*entries):
    return MembershipChange(True, 1, list(entries))


def partial_list(*entries):
    return MembershipChange(False, 2, list(entries))


def states(change):
    return {e.name: e.member.state for e in change.endpoints}


# Exclusions


def test_an_exclusion_holds_whatever_the_membership_says_later():
    exclusions = Exclusions()
    assert states(exclusions.apply(full_list(entry("c1"), entry("c2")))) == {"c1": READY, "c2": READY}
    ordered = exclusions.set_excluded("c1", True, 100)
    assert ordered.changed and states(ordered.change) == {"c1": DRAINING}
    assert states(exclusions.apply(partial_list(entry("c1")))) == {"c1": DRAINING}, "listed as ready"
    assert states(exclusions.apply(partial_list(entry("c1", started=150)))) == {
        "c1": DRAINING
    }, "listed with a new start"
    assert states(exclusions.apply(partial_list(entry("c1", GONE)))) == {"c1": GONE}
    assert states(exclusions.apply(full_list(entry("c1"), entry("c2")))) == {
        "c1": DRAINING,
        "c2": READY,
    }, "listed again"


def test_one_inclusion_undoes_two_exclusions_and_counts_as_the_start_of_the_member():
    exclusions = Exclusions()
    exclusions.apply(full_list(entry("c1")))
    assert exclusions.set_excluded("c1", True, 100).changed and not exclusions.set_excluded("c1", True, 110).changed
    included = exclusions.set_excluded("c1", False, 500)
    assert included.changed and states(included.change) == {"c1": READY}
    assert included.change.endpoints[0].member.started_us == 500
    assert exclusions.apply(partial_list(entry("c1", started=300))).endpoints[0].member.started_us == 500, "listed late"
    assert exclusions.apply(partial_list(entry("c1", started=900))).endpoints[0].member.started_us == 900
    repeated = exclusions.set_excluded("c1", False, 1000)
    assert not repeated.error and not repeated.changed


def test_an_unknown_member_is_refused_and_one_that_left_while_excluded_can_be_included():
    exclusions = Exclusions()
    exclusions.apply(full_list(entry("c1")))
    assert "no member" in exclusions.set_excluded("c9", True, 1).error
    assert "no member" in exclusions.set_excluded("c9", False, 1).error
    exclusions.set_excluded("c1", True, 1)
    exclusions.apply(partial_list(entry("c1", GONE)))
    assert "no member" not in exclusions.set_excluded("c1", False, 2).error
    assert states(exclusions.apply(partial_list(entry("c1")))) == {"c1": READY}


def test_a_drain_by_the_membership_takes_precedence_and_exclusions_are_bounded():
    exclusions = Exclusions()
    exclusions.apply(full_list(entry("c1", DRAINING), *(entry(f"c{i}") for i in range(2, MAX_EXCLUSIONS + 3))))
    exclusions.set_excluded("c1", True, 1)
    assert states(exclusions.set_excluded("c1", False, 2).change) == {"c1": DRAINING}
    for i in range(2, MAX_EXCLUSIONS + 2):
        assert exclusions.set_excluded(f"c{i}", True, 3).changed
    assert "excluded already" in exclusions.set_excluded(f"c{MAX_EXCLUSIONS + 2}", True, 3).error


def test_an_exclusion_of_another_process_is_adopted_even_for_an_unlisted_member():
    exclusions = Exclusions()
    assert exclusions.adopt("c1", True, 1).changed and not exclusions.adopt("c1", True, 1).changed
    assert states(exclusions.apply(full_list(entry("c1")))) == {"c1": DRAINING}
    assert exclusions.adopt("c1", False, 9).changed


# Metrics


def test_metrics_are_lines_of_name_value_and_type():
    answers = {("a", FinalOutcome.SERVED): 812}
    text = metrics_text.render(metrics_text.requests_by_class("a", answers), [("in_flight", 14)]).decode()
    assert text.splitlines() == [
        "svc.requests.a.served:812|c",
        "svc.requests.a.refused:0|c",
        "svc.requests.a.failed:0|c",
        "svc.in_flight:14|g",
    ]


def run_with_operator_endpoint(steps, **options):
    async def main():
        async with director_harness(operator="127.0.0.1:0", **options) as harness:
            await steps(harness)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def metrics(harness):
    lines = harness.service.operations.metrics().decode().splitlines()
    return {line.split(":")[0].removeprefix("svc."): int(line.split(":")[1].split("|")[0]) for line in lines}


def test_metrics_count_requests_attempts_and_members():
    async def steps(harness):
        await harness.play(f"""
            client send request 1 video
            cache1 expect do k={OBJ}
        """)
        assert metrics(harness)["in_flight"] == 1 and metrics(harness)["attempts"] == 1
        await harness.play("""
            cache1 send ok note=mem body=hello
            client expect served 1 hello
            client send request 2 nonsense
            client expect failed 2
            client send request 3 video budget=zero
            client expect failed 3
        """)
        found = metrics(harness)
        assert found["requests.video.served"] == 1 and found["requests.video.failed"] == 1
        assert found["attempts"] == 1 and found["in_flight"] == 0
        assert found["caches_known"] == 1 and found["caches_excluded"] == 0
        assert not any("nonsense" in name for name in found), "a class that a client invents gets no metrics"
        assert harness.service.operations.set_excluded("cache1", True) == ""
        assert metrics(harness)["caches_excluded"] == 1

    run_with_operator_endpoint(steps)


def test_a_request_queued_for_a_connection_is_not_sent_to_an_excluded_member():
    async def steps(harness):
        await harness.play("client send request 1 video\ncache1 expect do\n")
        await harness.play("client send request 2 video obj=00000000000000aa\ncache1 expect do\n")
        harness.service.operations.set_excluded("cache1", True)
        await harness.play("client send request 3 video obj=00000000000000ab\n")
        await harness.play("upper expect do\ncache1 expect nothing\n")
        assert harness.service.operations.set_excluded("cache1", False) == ""
        assert "no member" in harness.service.operations.set_excluded("cache7", True)

    run_with_operator_endpoint(steps, members=("cache1", "upper", "records"))


def test_a_reload_keeps_requests_in_flight_and_accepts_new_classes():
    async def steps(harness):
        await harness.play("client send request 1 video\ncache1 expect do\n")
        raw = copy.deepcopy(SETTINGS)
        raw["lanes"][0]["name"] = "other-video"
        raw["limits"]["maxAttempts"] = 2
        harness.config = msgspec.structs.replace(
            harness.config, settings=msgspec.convert(raw, configuration.PlatformSettings)
        )
        harness.service.reload()
        await harness.play("""
            cache1 send ok note=mem body=hello
            client expect served 1 hello
            client send request 2 other-video obj=00000000000000aa
            cache1 expect do c=other-video
            cache1 send ok note=mem body=there
            client expect served 2 there
            client send request 3 video obj=00000000000000ab
            cache1 expect do c=video
            cache1 send ok note=mem body=late
            client expect served 3 late
            client wait 2
            client send request 4 video
            client expect failed 4
        """)
        assert harness.service.engine.settings.max_attempts == 2
        found = metrics(harness)
        assert found["requests.other-video.served"] == 1 and found["requests.video.served"] == 2
        assert (found["reloads_ok"], found["reloads_failed"]) == (1, 0)

    run_with_operator_endpoint(steps)
