"""The lease of a scope, voters, receivers: what ordinary tests show of them. The search of all interleavings is
tests/test_leases_model_checking.py."""

from rookbend.leases.fencing import Receiver
from rookbend.leases.lease import Phase, Sets, Tenure, Terms, Voter, agreed

SECOND = 1_000_000
TERMS = Terms()
THREE = frozenset({0, 1, 2})
A, B = (3, 77), (4, 88)
NOW = 100 * SECOND


def voter(now=NOW, kept=(), quiet=False):
    made = Voter(TERMS, now, dict(kept))
    if not quiet:
        made.quiet_until = now
    return made


def tenure(me=A, sets=(THREE,)):
    return Tenure(0, me, TERMS, sets)


def test_a_voter_grants_a_scope_to_one_holder_until_its_lease_is_over():
    v = voter()
    vote = v.ask(NOW, 0, A, 5)
    assert vote.granted and vote.is_new
    refused = v.ask(NOW + 1, 0, B, 9)
    assert not refused.granted and refused.place == A[0] and refused.left_us == TERMS.lease_us - 1
    again = v.ask(NOW + SECOND, 0, A, 5)
    assert again.granted and not again.is_new, "a renewal is on disk already"
    assert not v.ask(NOW + SECOND + TERMS.lease_us - 1, 0, B, 9).granted
    assert v.ask(NOW + SECOND + TERMS.lease_us, 0, B, 9).granted
    assert v.ask(NOW + 1, 1, B, 1).granted, "another scope is another matter"
    late = NOW + SECOND + TERMS.lease_us
    assert v.ask(late + 1, 0, B, 10).granted, "its own earlier try hinders nobody from beginning anew"
    assert not v.ask(late + 2, 0, B, 9).granted and not v.ask(late + 2, 0, (B[0], 99), 11).granted


def test_a_token_is_granted_once_and_only_grows():
    v = voter()
    assert v.ask(NOW, 0, A, 5).granted
    later = NOW + 2 * TERMS.lease_us
    for token in (4, 5):
        assert v.ask(later, 0, B, token)[:2] == (False, 5)
    assert not v.ask(later, 0, A, 5).granted, "a lease that has run out is not revived"
    assert v.ask(later, 0, B, 6).granted and v.top == 6


def test_a_voter_is_quiet_after_a_start_and_renews_only_what_its_disk_shows():
    v = voter(kept=[(0, (A, 5))], quiet=True)
    assert v.ask(NOW, 0, A, 5).granted
    assert not v.ask(NOW, 0, B, 6).granted and not v.ask(NOW, 1, B, 6).granted
    v.raise_floor(20)
    over = NOW + TERMS.quiet_us
    assert not v.ask(over, 1, B, 20).granted
    assert v.ask(over, 1, B, 21).granted
    v.be_quiet(over)
    assert not v.ask(over + 1, 2, B, 30).granted


def test_a_release_frees_a_scope_for_its_successor_first_and_late_ones_change_nothing():
    v = voter()
    v.ask(NOW, 0, A, 5)
    v.release(NOW, 0, B, 5)
    v.release(NOW, 0, A, 4)
    assert not v.ask(NOW, 0, B, 6).granted
    v.release(NOW, 0, A, 5, successor=B[0])
    other = (9, 9)
    assert not v.ask(NOW + 1, 0, other, 7).granted
    assert v.ask(NOW + 1, 0, B, 6).granted
    v.release(NOW + 2, 0, A, 5)
    assert not v.ask(NOW + 2, 0, other, 8).granted, "B's grant stands"
    v.release(NOW + 3, 0, B, 6, successor=A[0])
    assert v.ask(NOW + 3 + TERMS.hand_over_us, 0, other, 9).granted, "the successor did not come"


def test_a_holder_owns_from_a_majority_on_and_counts_from_before_it_asked():
    t = tenure()
    round_ = t.begin(NOW, 5)
    assert not t.granted(NOW + SECOND, 0, round_, 5) and not t.owns(NOW + SECOND)
    assert t.granted(NOW + SECOND, 1, round_, 5)
    assert t.owns(NOW + TERMS.held_us - 1) and not t.owns(NOW + TERMS.held_us)
    assert TERMS.held_us / (1 - TERMS.drift) <= TERMS.lease_us / (1 + TERMS.drift)


def test_votes_of_one_voter_of_other_tries_and_for_other_tokens_count_for_nothing():
    t = tenure()
    first = t.begin(NOW, 5)
    second = t.again(NOW + 1)
    t.granted(NOW + 2, 0, first, 5)
    assert not t.granted(NOW + 2, 0, second, 5), "one voter, two rounds"
    assert not t.granted(NOW + 2, 1, second, 4)
    t.give_up()
    assert not t.granted(NOW + 2, 1, second, 5) and t.phase is Phase.IDLE
    third = t.begin(NOW + 3, 6)
    assert not t.granted(NOW + 4, 1, second, 6) and not t.granted(NOW + 4, 2, third, 6)


def test_a_lease_that_has_run_out_is_over_though_votes_come_late():
    t = tenure()
    round_ = t.begin(NOW, 5)
    t.granted(NOW, 0, round_, 5)
    t.granted(NOW, 1, round_, 5)
    renewal = t.again(NOW + TERMS.held_us - 1)
    late = NOW + TERMS.held_us + 1
    assert not t.granted(late, 0, renewal, 5) and not t.granted(late, 1, renewal, 5)
    assert not t.owns(late) and t.lapsed(late) and t.phase is Phase.IDLE and not t.lapsed(late)


def test_a_majority_of_each_set_is_needed_and_the_latest_that_all_agree_to_counts():
    assert agreed((THREE,), {0: 5, 1: 9}) == 5 and agreed((THREE,), {0: 5, 1: 9, 2: 7}) == 7
    assert agreed((THREE,), {0: 5, 7: 9}) == 0
    old, new = frozenset({0, 1, 2}), frozenset({2, 3, 4})
    assert agreed((old, new), {0: 5, 1: 6}) == 0 and agreed((old, new), {0: 5, 1: 6, 3: 7, 4: 4}) == 4
    t = tenure(sets=(old,))
    round_ = t.begin(NOW, 5)
    t.granted(NOW, 0, round_, 5)
    t.granted(NOW, 1, round_, 5)
    t.change_sets(NOW, (old, new))
    assert not t.owns(NOW), "the new voters have not agreed"


def test_a_change_of_voters_goes_through_both_majorities_and_one_at_a_time():
    old, new = frozenset({0, 1, 2}), frozenset({1, 2, 3})
    sets = Sets(old, 4, me=0)
    assert sets.change(old) and sets.needed == (old,)
    assert sets.change(new) and sets.needed == (old, new) and sets.all == frozenset(range(4))
    assert not sets.change(frozenset({0, 2, 3})), "the first is not over"
    assert not sets.hear(1, sets.digest) and not sets.hear(2, sets.digest)
    assert not sets.hear(3, 999) and sets.differ() == [3] and len(sets.needed) == 2
    assert sets.hear(3, sets.digest) and sets.needed == (new,)


def test_a_receiver_turns_older_tokens_away_and_counts_them():
    r = Receiver({0: 5})
    assert not r.accept(0, 4) and r.accept(0, 5) and not r.rises(0, 5) and r.rises(0, 6)
    assert r.accept(0, 7) and not r.accept(0, 6) and r.turned_away == {0: 2} and r.accept(1, 1)
