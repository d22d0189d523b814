"""Drains and clients' ends that a director has not heard of yet, during its start or while it is stopped: real processes.

Each run prints how the requests ended.
"""

import pytest
import trio

from rookbend.testing.cluster import stop_scenarios
from rookbend.testing.cluster.drain_during_start import DrainDuringStart, play

SHARE_OF_OTHERS = 0.5  # a restarted director serves at least this much of the share that running ones serve


@pytest.mark.parametrize("asks_readiness", [True, False], ids=["admitted-when-ready", "not-noticed-by-the-front"])
@pytest.mark.parametrize("answer_delay_s", [0.0, 1.0], ids=["prompt-coordinator", "crowded-coordinator"])
def test_a_director_sends_to_no_cache_that_drained_after_the_list_of_its_start(answer_delay_s, asks_readiness):
    # Guards against a director that serves from the list of its configuration before it has caught up (issue 60).
    result = trio.run(play, DrainDuringStart(answer_delay_s=answer_delay_s, asks_readiness=asks_readiness))
    print(result)
    assert not result.violations, result.violations[:3]
    assert result.at_restarted.total and not result.at_restarted.unanswered
    assert result.at_restarted.share_served >= SHARE_OF_OTHERS * result.at_others.share_served


def test_a_director_that_was_stopped_sends_to_no_cache_that_drained_meanwhile():
    # Guards against requests that are sent on before the coordinator's events that arrived earlier are read (issue 60).
    result = trio.run(stop_scenarios.drain_during_stop, stop_scenarios.StopScenario())
    print(result)
    assert not result.violations, result.violations[:3]


def test_nothing_is_sent_for_a_client_that_left_while_the_director_was_stopped():
    # Guards against retries that are sent before the ends of the clients' connections are read.
    result = trio.run(stop_scenarios.leave_during_stop, stop_scenarios.StopScenario(stopped_s=0.8))
    print(result)
    assert not result.violations, result.violations[:3]
