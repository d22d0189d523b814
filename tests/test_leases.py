"""Unit tests of leases, voters, voter configurations and fencing guards.

All interleavings are searched by tests/test_leases_model_checking.py.
"""

from rookbend.leases.fencing import FencingGuard
from rookbend.leases.lease import Holder, Lease, LeaseTerms, Phase, majority_granted_since
from rookbend.leases.voter import Voter
from rookbend.leases.voter_configuration import VoterConfiguration

SECOND = 1_000_000
TERMS = LeaseTerms()
VOTERS = frozenset({0, 1, 2})
A, B = Holder(3, 77), Holder(4, 88)
NOW = 100 * SECOND


def make_voter(now=NOW, persisted=(), quarantined=False):
    voter = Voter(TERMS, now, dict(persisted))
    if not quarantined:
        voter.quarantine_until_us = now
    return voter


def make_lease(holder=A, quorums=(VOTERS,)):
    return Lease(0, holder, TERMS, quorums)


def test_voter_grants_a_scope_to_one_holder_until_its_lease_expires():
    voter = make_voter()
    vote = voter.request(NOW, 0, A, 5)
    assert vote.granted and vote.must_persist
    refused = voter.request(NOW + 1, 0, B, 9)
    assert not refused.granted and refused.director == A[0] and refused.remaining_us == TERMS.lease_us - 1
    again = voter.request(NOW + SECOND, 0, A, 5)
    assert again.granted and not again.must_persist, "the grant of a renewal is already durable"
    assert not voter.request(NOW + SECOND + TERMS.lease_us - 1, 0, B, 9).granted
    assert voter.request(NOW + SECOND + TERMS.lease_us, 0, B, 9).granted
    assert voter.request(NOW + 1, 1, B, 1).granted, "grants of other scopes are independent"
    late = NOW + SECOND + TERMS.lease_us
    assert voter.request(late + 1, 0, B, 10).granted, "a holder's own earlier grant does not block its new attempt"
    assert not voter.request(late + 2, 0, B, 9).granted and not voter.request(late + 2, 0, Holder(B[0], 99), 11).granted


def test_voter_grants_each_token_once_and_in_increasing_order():
    voter = make_voter()
    assert voter.request(NOW, 0, A, 5).granted
    later = NOW + 2 * TERMS.lease_us
    for token in (4, 5):
        assert voter.request(later, 0, B, token)[:2] == (False, 5)
    assert not voter.request(later, 0, A, 5).granted, "an expired lease is not renewed"
    assert voter.request(later, 0, B, 6).granted and voter.highest_token == 6


def test_voter_in_quarantine_after_a_start_renews_only_persisted_grants():
    voter = make_voter(persisted=[(0, (A, 5))], quarantined=True)
    assert voter.request(NOW, 0, A, 5).granted
    assert not voter.request(NOW, 0, B, 6).granted and not voter.request(NOW, 1, B, 6).granted
    voter.raise_token_floor(20)
    over = NOW + TERMS.quarantine_us
    assert not voter.request(over, 1, B, 20).granted
    assert voter.request(over, 1, B, 21).granted
    voter.quarantine(over)
    assert not voter.request(over + 1, 2, B, 30).granted


def test_release_reserves_a_scope_for_its_successor_and_late_releases_have_no_effect():
    voter = make_voter()
    voter.request(NOW, 0, A, 5)
    voter.release(NOW, 0, B, 5)
    voter.release(NOW, 0, A, 4)
    assert not voter.request(NOW, 0, B, 6).granted
    voter.release(NOW, 0, A, 5, successor=B[0])
    other = Holder(9, 9)
    assert not voter.request(NOW + 1, 0, other, 7).granted
    assert voter.request(NOW + 1, 0, B, 6).granted
    voter.release(NOW + 2, 0, A, 5)
    assert not voter.request(NOW + 2, 0, other, 8).granted, "B's grant is still in force"
    voter.release(NOW + 3, 0, B, 6, successor=A[0])
    assert voter.request(NOW + 3 + TERMS.handover_us, 0, other, 9).granted, "the successor's reservation has expired"


def test_lease_is_held_once_a_majority_granted_it_and_runs_from_the_request():
    lease = make_lease()
    round_number = lease.request(NOW, 5)
    assert not lease.record_grant(NOW + SECOND, 0, round_number, 5) and not lease.is_held(NOW + SECOND)
    assert lease.record_grant(NOW + SECOND, 1, round_number, 5)
    assert lease.is_held(NOW + TERMS.holder_lease_us - 1) and not lease.is_held(NOW + TERMS.holder_lease_us)
    assert TERMS.holder_lease_us / (1 - TERMS.drift_ratio) <= TERMS.lease_us / (1 + TERMS.drift_ratio)


def test_repeated_votes_and_votes_for_other_attempts_or_tokens_are_not_counted():
    lease = make_lease()
    first = lease.request(NOW, 5)
    second = lease.next_round(NOW + 1)
    lease.record_grant(NOW + 2, 0, first, 5)
    assert not lease.record_grant(NOW + 2, 0, second, 5), "two rounds granted by the same voter count once"
    assert not lease.record_grant(NOW + 2, 1, second, 4)
    lease.abandon()
    assert not lease.record_grant(NOW + 2, 1, second, 5) and lease.phase is Phase.IDLE
    third = lease.request(NOW + 3, 6)
    assert not lease.record_grant(NOW + 4, 1, second, 6) and not lease.record_grant(NOW + 4, 2, third, 6)


def test_late_votes_do_not_revive_an_expired_lease():
    lease = make_lease()
    round_number = lease.request(NOW, 5)
    lease.record_grant(NOW, 0, round_number, 5)
    lease.record_grant(NOW, 1, round_number, 5)
    renewal = lease.next_round(NOW + TERMS.holder_lease_us - 1)
    late = NOW + TERMS.holder_lease_us + 1
    assert not lease.record_grant(late, 0, renewal, 5) and not lease.record_grant(late, 1, renewal, 5)
    assert not lease.is_held(late) and lease.expire(late) and lease.phase is Phase.IDLE and not lease.expire(late)


def test_lease_needs_a_majority_of_every_voter_set_and_runs_from_the_latest_time_common_to_them():
    assert (
        majority_granted_since((VOTERS,), {0: 5, 1: 9}) == 5
        and majority_granted_since((VOTERS,), {0: 5, 1: 9, 2: 7}) == 7
    )
    assert majority_granted_since((VOTERS,), {0: 5, 7: 9}) == 0
    old, new = frozenset({0, 1, 2}), frozenset({2, 3, 4})
    assert (
        majority_granted_since((old, new), {0: 5, 1: 6}) == 0
        and majority_granted_since((old, new), {0: 5, 1: 6, 3: 7, 4: 4}) == 4
    )
    lease = make_lease(quorums=(old,))
    round_number = lease.request(NOW, 5)
    lease.record_grant(NOW, 0, round_number, 5)
    lease.record_grant(NOW, 1, round_number, 5)
    lease.change_quorums((old, new))
    assert not lease.is_held(NOW), "the new voters have not granted the lease"


def test_change_of_voters_needs_both_majorities_and_only_one_runs_at_a_time():
    old, new = frozenset({0, 1, 2}), frozenset({1, 2, 3})
    voters = VoterConfiguration(old, 4, director=0)
    assert voters.change(old) and voters.quorums == (old,)
    assert voters.change(new) and voters.quorums == (old, new) and voters.all_voters == frozenset(range(4))
    assert not voters.change(frozenset({0, 2, 3})), "the first change is still in progress"
    assert not voters.record_report(1, voters.digest) and not voters.record_report(2, voters.digest)
    assert not voters.record_report(3, 999) and voters.disagreeing() == [3] and len(voters.quorums) == 2
    assert voters.record_report(3, voters.digest) and voters.quorums == (new,)


def test_receiver_rejects_older_tokens_and_counts_them():
    guard = FencingGuard({0: 5})
    assert (
        not guard.accept(0, 4) and guard.accept(0, 5) and not guard.raises_highest(0, 5) and guard.raises_highest(0, 6)
    )
    assert guard.accept(0, 7) and not guard.accept(0, 6) and guard.rejected == {0: 2} and guard.accept(1, 1)
