"""Messages of peers: which are accepted, how the outage is classified, and when missed purges are covered."""

import pytest

from rookbend.protocol import gossip as wire
from rookbend.recovery.failure_classification import HOLD_US, ISOLATION_AFTER_US, FailureClass, FailureClassifier
from rookbend.recovery.missed_purges import MissedPurgeWindow
from rookbend.recovery.peers import Peers
from rookbend.testing.recovery_simulation import SECOND
from tests.recovery_messages import NOW, hello

# Accepting and rejecting messages


def test_a_peer_with_an_old_boot_number_is_rejected_until_it_takes_a_higher_one():
    peers = Peers(0, 3, 7)
    assert peers.receive(NOW, 1, hello(1, boot=7, heartbeat=3))
    assert not peers.receive(NOW, 1, hello(1, boot=6, incarnation=9)) and peers.rows[1].rejection.value == "old boot"
    assert not peers.receive(NOW, 1, hello(1, boot=7, incarnation=9)), "same boot number, other incarnation"
    assert peers.known_incarnation(1) == (7, 5)
    assert peers.receive(NOW, 1, hello(1, boot=8, incarnation=9, age_s=1)) and peers.rows[1].rejection is None


def test_late_duplicated_and_foreign_messages_are_rejected():
    peers = Peers(0, 3, 7)
    assert peers.receive(NOW, 1, hello(1, heartbeat=5))
    assert not peers.receive(NOW + 1, 1, hello(1, heartbeat=5)) and not peers.receive(NOW + 1, 1, hello(1, heartbeat=4))
    assert not peers.receive(NOW, 2, hello(1, heartbeat=9)) and peers.rows[2].rejection.value == "name of another"
    assert not peers.receive(NOW, 9, hello(9)) and not peers.receive(NOW, 0, hello(0))
    assert not peers.receive(
        NOW + SECOND, 1, hello(1, heartbeat=6, age_s=9000)
    ), "the start of the peer must not move back"
    assert peers.rejected == {"late": 2, "name of another": 1, "stranger": 2, "figures": 1}
    assert peers.active(NOW + SECOND) == [peers.rows[1]]


def test_a_peer_that_was_suspended_looks_younger_and_is_accepted():
    peers = Peers(0, 3, 7)
    assert peers.receive(NOW, 1, hello(1, heartbeat=1, age_s=100))
    assert peers.receive(
        NOW + 20 * SECOND, 1, hello(1, heartbeat=2, age_s=100)
    ), "suspended for 20 s: its age did not grow"


def test_relayed_summaries_count_only_as_a_sign_of_life():
    peers = Peers(0, 40, 7)
    peers.receive(NOW, 1, hello(1, others=tuple(wire.PeerSummary(i, 1, 1, 2, 1) for i in range(2, 20))))
    assert peers.live_count(NOW) == 20 and len(peers.active(NOW)) == 1
    assert peers.live_count(NOW + 5 * SECOND) == 1


# Failure classification


def classify(ages, count=None, after=SECOND, began=NOW):
    peers = Peers(0, count or len(ages) + 1, 7)
    for i, age in enumerate(ages, 1):
        peers.receive(began + after, i, hello(i, age_s=age))
    classifier = FailureClassifier(began)
    classifier.update(began + after, peers)
    return classifier.current


@pytest.mark.parametrize(
    "ages, count, after, expected",
    [
        ([100, 100, 100], 4, SECOND, FailureClass.THIS_DIRECTOR),
        ([1, 1, 1], 4, SECOND, FailureClass.WHOLE_FLEET),
        ([100, 100, 1, 1, 1], 6, SECOND, FailureClass.PART_OF_FLEET),
        ([100, 1, 1], 4, SECOND, FailureClass.WHOLE_FLEET),
        ([], 10, SECOND, FailureClass.UNDETERMINED),
        ([], 10, ISOLATION_AFTER_US, FailureClass.ISOLATED),
        ([], 1, SECOND, FailureClass.WHOLE_FLEET),
        ([100, 100], 10, SECOND, FailureClass.UNDETERMINED),
        ([100, 100], 10, ISOLATION_AFTER_US, FailureClass.PART_OF_FLEET),
        ([100, 100], 3, SECOND, FailureClass.THIS_DIRECTOR),
        ([100], 3, ISOLATION_AFTER_US, FailureClass.PART_OF_FLEET),
    ],
)
def test_an_outage_is_classified_by_the_ages_of_peers(ages, count, after, expected):
    assert classify(ages, count, after) is expected


def test_one_faulty_peer_among_three_does_not_cause_a_quick_return():
    assert (
        classify([10**6, 1, 1], 4) is FailureClass.WHOLE_FLEET
        and classify([10**6], 4, ISOLATION_AFTER_US) is FailureClass.PART_OF_FLEET
    )


def test_a_later_class_applies_only_after_the_hold_time():
    peers, classifier = Peers(0, 4, 7), FailureClassifier(NOW)
    assert classifier.update(NOW + ISOLATION_AFTER_US, peers) and classifier.current is FailureClass.ISOLATED
    for i in (1, 2, 3):
        peers.receive(NOW + ISOLATION_AFTER_US, i, hello(i, age_s=1))
    assert not classifier.update(NOW + ISOLATION_AFTER_US + 1, peers)
    for i in (1, 2, 3):
        peers.receive(NOW + ISOLATION_AFTER_US + HOLD_US, i, hello(i, heartbeat=2, age_s=2))
    assert (
        classifier.update(NOW + ISOLATION_AFTER_US + HOLD_US + 1, peers)
        and classifier.current is FailureClass.WHOLE_FLEET
    )


# Missed purges


def test_the_oldest_usable_copy_counts_from_the_end_of_the_outage():
    # The outage lasts from 0 to 10 s; a copy leaves the origin at 4 s and a purge is issued at 6 s. With the start of
    # the outage as the bound the stale copy would be used; with its end, the start of this director, it is not.
    outage_start, copy, purge, began = NOW, NOW + 4 * SECOND, NOW + 6 * SECOND, NOW + 10 * SECOND
    window = MissedPurgeWindow(began)
    assert outage_start <= copy < purge and copy < window.oldest_copy_us


def test_missed_purges_are_covered_by_stream_and_list_or_by_two_peers_that_were_up():
    window = MissedPurgeWindow(NOW)
    window.stream_active()
    assert window.oldest_copy_us == NOW
    window.list_received()
    assert window.oldest_copy_us == 0 and window.covered_by == "coordinator"
    window, peers = MissedPurgeWindow(NOW), Peers(0, 4, 7)
    for i, more in ((1, {"age_s": 100}), (2, {"age_s": 100, "purges_covered": False}), (3, {"age_s": 0})):
        peers.receive(NOW, i, hello(i, **more))
        window.peer_complete(i, peers)
    assert not window.covered, "only one peer was up and covered"
    peers.receive(NOW, 2, hello(2, heartbeat=2, age_s=100))
    window.peer_complete(2, peers)
    assert window.covered_by == "peers 1 2"
