"""Requests leases of the scopes that this director should hold, counts votes, and ends leases."""

from __future__ import annotations

from collections.abc import Callable

from rookbend.coordination.action_queue import ActionQueue
from rookbend.leases.actions import Action, LeaseAcquired, LeaseLost
from rookbend.leases.jitter import Jitter
from rookbend.leases.leader_tasks import scope_name
from rookbend.leases.lease import LeaseTerms, Phase
from rookbend.leases.lease_table import STAGGER_US, Candidacy, LeaseTable
from rookbend.leases.messenger import Messenger
from rookbend.leases.rebalancing import ScopePlacement
from rookbend.leases.renewal import renewal_request
from rookbend.leases.tokens import TokenCounter, highest_plausible_token
from rookbend.leases.voter import NO_DIRECTOR
from rookbend.leases.voter_configuration import VoterConfiguration
from rookbend.protocol.lease_messages import LeaseRelease, LeaseRow, LeaseVote, ReleaseRow, VoteRow
from rookbend.protocol.leases import encode_rows

RETRY_INTERVAL_US = 200_000  # between the rounds of an attempt, in case votes were lost
ATTEMPT_TIMEOUT_US = 1_000_000  # after which the attempt is given up in favour of other candidates
OFFER_RETRY_DELAY_US = 50_000
MAX_CANDIDATES = 2  # directors that request the same scope at once
MAX_BACKOFF = 4


class Election:
    """Calls `on_acquired(scope, token)` for each lease that is acquired, and `on_lost(scope)` for each that is lost."""

    def __init__(
        self,
        director: int,
        terms: LeaseTerms,
        leases: LeaseTable,
        placement: ScopePlacement,
        voters: VoterConfiguration,
        tokens: TokenCounter,
        jitter: Jitter,
        messenger: Messenger,
        actions: ActionQueue[Action],
        on_acquired: Callable[[int, int], None],
        on_lost: Callable[[int], None],
    ):
        self._director = director
        self._terms = terms
        self._leases = leases
        self._placement = placement
        self._voters = voters
        self._tokens = tokens
        self._jitter = jitter
        self._messenger = messenger
        self._actions = actions
        self._on_acquired = on_acquired
        self._on_lost = on_lost
        self.leases_acquired = 0

    # Requests

    def tick(self, now_us: int) -> None:
        """Sends the requests and renewals that are due."""
        rows: list[LeaseRow] = []
        for scope in self._leases.scopes:
            row = self._due_request(now_us, scope)
            if row is not None:
                rows.append(row)
        if not rows:
            return
        for data in encode_rows(self._messenger.lease_request(), list(rows)):
            for voter in sorted(self._voters.all_voters):
                self._messenger.send_datagram(now_us, voter, data)

    def _due_request(self, now_us: int, scope: int) -> LeaseRow | None:
        lease = self._leases.leases[scope]
        candidacy = self._leases.candidacies[scope]
        if lease.expire(now_us):
            self.lose(now_us, scope, "lease expired")
        if lease.phase is Phase.HELD:
            return renewal_request(now_us, lease, candidacy, self._jitter)
        if self._leases.shutting_down:
            return None
        if lease.phase is Phase.REQUESTING:
            return self._retry(now_us, scope)
        if now_us < candidacy.next_attempt_us:
            return None
        if self._placement.rank(scope) >= MAX_CANDIDATES or not self._is_majority_live():
            candidacy.next_attempt_us = now_us + STAGGER_US
            return None
        return self.begin(now_us, scope)

    def _retry(self, now_us: int, scope: int) -> LeaseRow | None:
        lease = self._leases.leases[scope]
        candidacy = self._leases.candidacies[scope]
        if now_us - candidacy.began_us >= ATTEMPT_TIMEOUT_US:
            self._time_out(now_us, scope)
        elif now_us - candidacy.sent_us >= RETRY_INTERVAL_US:
            candidacy.sent_us = now_us
            return LeaseRow(scope, lease.token, lease.next_round(now_us))
        return None

    def begin(self, now_us: int, scope: int) -> LeaseRow:
        """Starts a new attempt with a new token; returns the request to send."""
        candidacy = self._leases.candidacies[scope]
        candidacy.began_us = now_us
        candidacy.sent_us = now_us
        candidacy.refusals = {}
        lease = self._leases.leases[scope]
        round_number = lease.request(now_us, self._tokens.next(now_us))
        return LeaseRow(scope, lease.token, round_number)

    def _time_out(self, now_us: int, scope: int) -> None:
        lease = self._leases.leases[scope]
        candidacy = self._leases.candidacies[scope]
        # All voters get the release: one whose vote was lost would otherwise keep its grant until it expires.
        self._messenger.send_release(now_us, scope, lease.token)
        lease.abandon()
        candidacy.backoff = min(candidacy.backoff + 1, MAX_BACKOFF)
        candidacy.next_attempt_us = now_us + self.stagger_us(scope) + self._jitter.up_to(candidacy.backoff * STAGGER_US)

    def stagger_us(self, scope: int) -> int:
        """Returns how much longer this director waits than the first in the ranking of the scope."""
        return STAGGER_US * self._placement.rank(scope)

    def _is_majority_live(self) -> bool:
        """Whether a majority of every voter set is live, as seen from this director.

        Excludes a director that can send but not receive: its requests would be granted again and again, while it
        never gets the votes.
        """
        live = self._placement.live_directors
        return all(len(voters & live) > len(voters) // 2 for voters in self._voters.quorums)

    # Votes

    def vote_received(self, now_us: int, sender: int, message: LeaseVote) -> None:
        """Counts the votes that a voter sent to this incarnation."""
        for row in message.rows:
            lease = self._leases.leases.get(row.scope)
            if lease is None or sender not in self._voters.all_voters:
                continue
            if not row.granted:
                self._refused(now_us, sender, row)
            elif lease.record_grant(now_us, sender, row.round, row.token) and not self._leases.shutting_down:
                self._acquired(now_us, row.scope)

    def _acquired(self, now_us: int, scope: int) -> None:
        lease = self._leases.leases[scope]
        candidacy = self._leases.candidacies[scope]
        candidacy.renewed_us = candidacy.sent_us
        candidacy.backoff = 0
        candidacy.offer_accepted_us = -1
        candidacy.sequence = 0
        self._leases.set_holder(scope, self._director)
        self.leases_acquired += 1
        self._on_acquired(scope, lease.token)
        self._actions.append(LeaseAcquired(scope, lease.token, lease.expires_us))
        self._actions.log("lease_acquired", scope=scope_name(scope), token=lease.token)

    def _refused(self, now_us: int, voter: int, row: VoteRow) -> None:
        lease = self._leases.leases[row.scope]
        candidacy = self._leases.candidacies[row.scope]
        remaining_us = row.remaining_ms * 1000
        self._tokens.observe(now_us, row.token)
        self._learn_holder(now_us, row.scope, row.holder, remaining_us)
        if lease.phase is not Phase.REQUESTING or row.round not in lease.rounds_sent_us:
            return
        candidacy.refusals[voter] = remaining_us
        if all(len(voters - candidacy.refusals.keys()) > len(voters) // 2 for voters in lease.quorums):
            return  # a majority of every set may still grant the scope
        release = ReleaseRow(row.scope, lease.token, NO_DIRECTOR)
        for granted in lease.granted_us:
            self._messenger.send(now_us, granted, LeaseRelease(*self._messenger.header, (release,)))
        lease.abandon()
        candidacy.next_attempt_us = now_us + self._wait_after_refusal_us(now_us, row.scope, candidacy)

    def _learn_holder(self, now_us: int, scope: int, holder: int, remaining_us: int) -> None:
        candidacy = self._leases.candidacies[scope]
        if holder >= 0 and remaining_us:
            self._leases.set_holder(scope, holder)
        elif candidacy.known_holder != self._director and candidacy.known_holder == holder:
            candidacy.known_holder = NO_DIRECTOR
            candidacy.leaderless_since_us = candidacy.leaderless_since_us or now_us

    def _wait_after_refusal_us(self, now_us: int, scope: int, candidacy: Candidacy) -> int:
        if 0 <= now_us - candidacy.offer_accepted_us < self._terms.handover_us:
            return OFFER_RETRY_DELAY_US  # the release by the previous holder has not reached the voters yet
        until_free_us = min(min(candidacy.refusals.values()), self._terms.lease_us)
        return until_free_us + self.stagger_us(scope) + self._jitter.up_to(STAGGER_US)

    # Loss

    def lose(self, now_us: int, scope: int, reason: str) -> None:
        """Ends the lease of a scope; this director may request it again after a delay."""
        self._leases.leases[scope].abandon()
        candidacy = self._leases.candidacies[scope]
        candidacy.next_attempt_us = now_us + self.stagger_us(scope) + self._jitter.up_to(STAGGER_US)
        candidacy.leaderless_since_us = now_us
        self._actions.append(LeaseLost(scope, reason))
        self._actions.log("lease_lost", "warning", scope=scope_name(scope), why=reason)
        self._on_lost(scope)

    def step_down(self, now_us: int, scope: int, highest_token: int, reporter: int) -> None:
        """Ends a held lease after a receiver rejected its token as stale: another director has a newer one.

        `reporter` is the director that rejected the token, or NO_DIRECTOR for the report ledger.
        """
        self._tokens.observe(now_us, highest_token)
        lease = self._leases.leases.get(scope)
        if lease is None or lease.phase is not Phase.HELD:
            return
        if min(highest_token, highest_plausible_token(now_us)) > lease.token:
            token = lease.token
            source = "the report ledger" if reporter == NO_DIRECTOR else f"director {reporter}"
            self.lose(now_us, scope, f"{source} has seen a newer token")
            self._messenger.send_release(now_us, scope, token)
