"""The lease of a scope, voters, receivers: what ordinary tests show of them. The search of all interleavings is
tests/test_leases_model_checking.py."""

from rookbend.leases.fencing import FencingGuard
from rookbend.leases.lease import Holder, Lease, LeaseTerms, Phase, majority_granted_since
from rookbend.leases.voter import Voter
from rookbend.leases.voter_configuration import VoterConfiguration

SECOND = 1_000_000
TERMS = LeaseTerms()
THREE = frozenset({0, 1, 2})
A, B = Holder(3, 77), Holder(4, 88)
NOW = 100 * SECOND


def voter(now=NOW, kept=(), quiet=False):
    made = Voter(TERMS, now, dict(kept))
    if not quiet:
        made.quarantine_until_us = now
    return made


def tenure(me=A, sets=(THREE,)):
    return Lease(0, me, TERMS, sets)


def test_a_voter_grants_a_scope_to_one_holder_until_its_lease_is_over():
    v = voter()
    vote = v.request(NOW, 0, A, 5)
    assert vote.granted and vote.must_persist
    refused = v.request(NOW + 1, 0, B, 9)
    assert not refused.granted and refused.director == A[0] and refused.remaining_us == TERMS.lease_us - 1
    again = v.request(NOW + SECOND, 0, A, 5)
    assert again.granted and not again.must_persist, "a renewal is on disk already"
    assert not v.request(NOW + SECOND + TERMS.lease_us - 1, 0, B, 9).granted
    assert v.request(NOW + SECOND + TERMS.lease_us, 0, B, 9).granted
    assert v.request(NOW + 1, 1, B, 1).granted, "another scope is another matter"
    late = NOW + SECOND + TERMS.lease_us
    assert v.request(late + 1, 0, B, 10).granted, "its own earlier try hinders nobody from beginning anew"
    assert not v.request(late + 2, 0, B, 9).granted and not v.request(late + 2, 0, Holder(B[0], 99), 11).granted


def test_a_token_is_granted_once_and_only_grows():
    v = voter()
    assert v.request(NOW, 0, A, 5).granted
    later = NOW + 2 * TERMS.lease_us
    for token in (4, 5):
        assert v.request(later, 0, B, token)[:2] == (False, 5)
    assert not v.request(later, 0, A, 5).granted, "a lease that has run out is not revived"
    assert v.request(later, 0, B, 6).granted and v.highest_token == 6


def test_a_voter_is_quiet_after_a_start_and_renews_only_what_its_disk_shows():
    v = voter(kept=[(0, (A, 5))], quiet=True)
    assert v.request(NOW, 0, A, 5).granted
    assert not v.request(NOW, 0, B, 6).granted and not v.request(NOW, 1, B, 6).granted
    v.raise_token_floor(20)
    over = NOW + TERMS.quarantine_us
    assert not v.request(over, 1, B, 20).granted
    assert v.request(over, 1, B, 21).granted
    v.quarantine(over)
    assert not v.request(over + 1, 2, B, 30).granted


def test_a_release_frees_a_scope_for_its_successor_first_and_late_ones_change_nothing():
    v = voter()
    v.request(NOW, 0, A, 5)
    v.release(NOW, 0, B, 5)
    v.release(NOW, 0, A, 4)
    assert not v.request(NOW, 0, B, 6).granted
    v.release(NOW, 0, A, 5, successor=B[0])
    other = Holder(9, 9)
    assert not v.request(NOW + 1, 0, other, 7).granted
    assert v.request(NOW + 1, 0, B, 6).granted
    v.release(NOW + 2, 0, A, 5)
    assert not v.request(NOW + 2, 0, other, 8).granted, "B's grant stands"
    v.release(NOW + 3, 0, B, 6, successor=A[0])
    assert v.request(NOW + 3 + TERMS.handover_us, 0, other, 9).granted, "the successor did not come"


def test_a_holder_owns_from_a_majority_on_and_counts_from_before_it_asked():
    t = tenure()
    round_ = t.request(NOW, 5)
    assert not t.record_grant(NOW + SECOND, 0, round_, 5) and not t.is_held(NOW + SECOND)
    assert t.record_grant(NOW + SECOND, 1, round_, 5)
    assert t.is_held(NOW + TERMS.holder_lease_us - 1) and not t.is_held(NOW + TERMS.holder_lease_us)
    assert TERMS.holder_lease_us / (1 - TERMS.drift_ratio) <= TERMS.lease_us / (1 + TERMS.drift_ratio)


def test_votes_of_one_voter_of_other_tries_and_for_other_tokens_count_for_nothing():
    t = tenure()
    first = t.request(NOW, 5)
    second = t.next_round(NOW + 1)
    t.record_grant(NOW + 2, 0, first, 5)
    assert not t.record_grant(NOW + 2, 0, second, 5), "one voter, two rounds"
    assert not t.record_grant(NOW + 2, 1, second, 4)
    t.abandon()
    assert not t.record_grant(NOW + 2, 1, second, 5) and t.phase is Phase.IDLE
    third = t.request(NOW + 3, 6)
    assert not t.record_grant(NOW + 4, 1, second, 6) and not t.record_grant(NOW + 4, 2, third, 6)


def test_a_lease_that_has_run_out_is_over_though_votes_come_late():
    t = tenure()
    round_ = t.request(NOW, 5)
    t.record_grant(NOW, 0, round_, 5)
    t.record_grant(NOW, 1, round_, 5)
    renewal = t.next_round(NOW + TERMS.holder_lease_us - 1)
    late = NOW + TERMS.holder_lease_us + 1
    assert not t.record_grant(late, 0, renewal, 5) and not t.record_grant(late, 1, renewal, 5)
    assert not t.is_held(late) and t.expire(late) and t.phase is Phase.IDLE and not t.expire(late)


def test_a_majority_of_each_set_is_needed_and_the_latest_that_all_agree_to_counts():
    assert (
        majority_granted_since((THREE,), {0: 5, 1: 9}) == 5
        and majority_granted_since((THREE,), {0: 5, 1: 9, 2: 7}) == 7
    )
    assert majority_granted_since((THREE,), {0: 5, 7: 9}) == 0
    old, new = frozenset({0, 1, 2}), frozenset({2, 3, 4})
    assert (
        majority_granted_since((old, new), {0: 5, 1: 6}) == 0
        and majority_granted_since((old, new), {0: 5, 1: 6, 3: 7, 4: 4}) == 4
    )
    t = tenure(sets=(old,))
    round_ = t.request(NOW, 5)
    t.record_grant(NOW, 0, round_, 5)
    t.record_grant(NOW, 1, round_, 5)
    t.change_quorums((old, new))
    assert not t.is_held(NOW), "the new voters have not agreed"


def test_a_change_of_voters_goes_through_both_majorities_and_one_at_a_time():
    old, new = frozenset({0, 1, 2}), frozenset({1, 2, 3})
    sets = VoterConfiguration(old, 4, director=0)
    assert sets.change(old) and sets.quorums == (old,)
    assert sets.change(new) and sets.quorums == (old, new) and sets.all_voters == frozenset(range(4))
    assert not sets.change(frozenset({0, 2, 3})), "the first is not over"
    assert not sets.record_report(1, sets.digest) and not sets.record_report(2, sets.digest)
    assert not sets.record_report(3, 999) and sets.disagreeing() == [3] and len(sets.quorums) == 2
    assert sets.record_report(3, sets.digest) and sets.quorums == (new,)


def test_a_receiver_turns_older_tokens_away_and_counts_them():
    r = FencingGuard({0: 5})
    assert not r.accept(0, 4) and r.accept(0, 5) and not r.raises_highest(0, 5) and r.raises_highest(0, 6)
    assert r.accept(0, 7) and not r.accept(0, 6) and r.rejected == {0: 2} and r.accept(1, 1)
