"""What a director makes of its peers' messages: whom to believe, what failed, which purges are covered."""

import pytest

from rookbend.protocol import gossip as wire
from rookbend.recovery.failure_classification import HOLD_US, ISOLATION_AFTER_US, FailureClass, FailureClassifier
from rookbend.recovery.missed_purges import MissedPurgeWindow
from rookbend.recovery.peers import Peers
from rookbend.testing.recovery_simulation import SECOND
from tests.recovery_messages import NOW, hello

# Whom to believe


def test_a_peer_with_an_old_boot_number_is_not_believed_until_it_takes_a_higher_one():
    peers = Peers(0, 3, 7)
    assert peers.receive(NOW, 1, hello(1, boot=7, heartbeat=3))
    assert not peers.receive(NOW, 1, hello(1, boot=6, life=9)) and peers.rows[1].rejection.value == "old boot"
    assert not peers.receive(NOW, 1, hello(1, boot=7, life=9)), "the same number, another life"
    assert peers.known_incarnation(1) == (7, 5)
    assert peers.receive(NOW, 1, hello(1, boot=8, life=9, age_s=1)) and peers.rows[1].rejection is None


def test_late_doubled_and_foreign_words_move_nothing():
    peers = Peers(0, 3, 7)
    assert peers.receive(NOW, 1, hello(1, heartbeat=5))
    assert not peers.receive(NOW + 1, 1, hello(1, heartbeat=5)) and not peers.receive(NOW + 1, 1, hello(1, heartbeat=4))
    assert not peers.receive(NOW, 2, hello(1, heartbeat=9)) and peers.rows[2].rejection.value == "name of another"
    assert not peers.receive(NOW, 9, hello(9)) and not peers.receive(NOW, 0, hello(0))
    assert not peers.receive(NOW + SECOND, 1, hello(1, heartbeat=6, age_s=9000)), "a beginning that moves back"
    assert peers.rejected == {"late": 2, "name of another": 1, "stranger": 2, "figures": 1}
    assert peers.active(NOW + SECOND) == [peers.rows[1]]


def test_a_peer_that_stood_still_looks_younger_and_is_believed():
    peers = Peers(0, 3, 7)
    assert peers.receive(NOW, 1, hello(1, heartbeat=1, age_s=100))
    assert peers.receive(NOW + 20 * SECOND, 1, hello(1, heartbeat=2, age_s=100)), "20 s stopped: its age did not grow"


def test_hearsay_is_a_sign_of_life_and_no_more():
    peers = Peers(0, 40, 7)
    peers.receive(NOW, 1, hello(1, others=tuple(wire.PeerSummary(i, 1, 1, 2, 1) for i in range(2, 20))))
    assert peers.live_count(NOW) == 20 and len(peers.active(NOW)) == 1
    assert peers.live_count(NOW + 5 * SECOND) == 1


# What happened


def judged(ages, count=None, after=SECOND, began=NOW):
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
def test_what_happened_is_told_apart(ages, count, after, expected):
    assert judged(ages, count, after) is expected


def test_one_liar_among_three_does_not_make_us_hurry():
    assert (
        judged([10**6, 1, 1], 4) is FailureClass.WHOLE_FLEET
        and judged([10**6], 4, ISOLATION_AFTER_US) is FailureClass.PART_OF_FLEET
    )


def test_a_later_verdict_has_to_hold():
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


# The gap


def test_copies_younger_than_the_gaps_beginning_could_still_be_older_than_a_purge():
    # Dark from 0 to 10; a copy leaves the origin at 4, the purge is told at 6. Counted from the beginning the
    # copy would do; counted from the end, where this life began, it does not.
    dark_from, copy, purge, began = NOW, NOW + 4 * SECOND, NOW + 6 * SECOND, NOW + 10 * SECOND
    gap = MissedPurgeWindow(began)
    assert dark_from <= copy < purge and copy < gap.oldest_copy_us


def test_the_gap_is_covered_by_the_stream_and_a_list_or_by_two_peers_that_were_up():
    gap = MissedPurgeWindow(NOW)
    gap.stream_active()
    assert gap.oldest_copy_us == NOW
    gap.list_received()
    assert gap.oldest_copy_us == 0 and gap.covered_by == "coordinator"
    gap, peers = MissedPurgeWindow(NOW), Peers(0, 4, 7)
    for i, more in ((1, {"age_s": 100}), (2, {"age_s": 100, "purges_covered": False}), (3, {"age_s": 0})):
        peers.receive(NOW, i, hello(i, **more))
        gap.peer_complete(i, peers)
    assert not gap.covered, "one was up and covered; the others were not"
    peers.receive(NOW, 2, hello(2, heartbeat=2, age_s=100))
    gap.peer_complete(2, peers)
    assert gap.covered_by == "peers 1 2"
