"""Hands a scope over: its work stops first, then the voters are notified, then the successor."""

from __future__ import annotations

from dataclasses import dataclass

from rookbend.leases.election import Election
from rookbend.leases.events import MoveRequested, ShutdownRequested
from rookbend.leases.lease import LeaseTerms, Phase
from rookbend.leases.lease_table import LeaseTable
from rookbend.leases.messenger import Messenger
from rookbend.leases.rebalancing import ScopePlacement
from rookbend.leases.tokens import TokenCounter
from rookbend.leases.voter import NO_DIRECTOR
from rookbend.protocol.lease_messages import LeaseOffer, OfferRow

ANNOUNCEMENTS_PER_HANDOVER = 4  # sent at the hand-over and on the ticks after it


@dataclass(slots=True)
class HandoverAnnouncement:
    """A scope that was handed over, and how many more times this is announced."""

    scope: int
    token: int
    successor: int
    sends_left: int = ANNOUNCEMENTS_PER_HANDOVER


class LeaseHandover:
    """Hands over leases: `election` ends them, `placement` chooses the successors."""

    def __init__(
        self,
        director: int,
        terms: LeaseTerms,
        leases: LeaseTable,
        placement: ScopePlacement,
        election: Election,
        tokens: TokenCounter,
        messenger: Messenger,
    ):
        self._director = director
        self._terms = terms
        self._leases = leases
        self._placement = placement
        self._election = election
        self._tokens = tokens
        self._messenger = messenger
        self._announcements: list[HandoverAnnouncement] = []

    def hand_over(self, now_us: int, scope: int, successor: int) -> None:
        """Hands a held scope over to `successor` or, with NO_DIRECTOR, to any director."""
        token = self._leases.leases[scope].token
        self._election.lose(now_us, scope, f"handed to {successor}")
        wait_us = self._terms.handover_us + self._election.stagger_us(scope)
        self._leases.candidacies[scope].next_attempt_us = now_us + wait_us
        self._announcements.append(HandoverAnnouncement(scope, token, successor))
        self.announce(now_us)

    def announce(self, now_us: int) -> None:
        """Sends the pending announcements: a lost datagram would leave a scope unheld until its lease expires."""
        for announcement in self._announcements:
            announcement.sends_left -= 1
            self._messenger.send_release(now_us, announcement.scope, announcement.token, announcement.successor)
            if announcement.successor >= 0:
                row = OfferRow(announcement.scope, announcement.token)
                self._messenger.send(now_us, announcement.successor, LeaseOffer(*self._messenger.header, (row,)))
        self._announcements = [announcement for announcement in self._announcements if announcement.sends_left > 0]

    def shut_down(self, now_us: int, _event: ShutdownRequested) -> None:
        """Hands over all held scopes; from now on this director requests and holds none."""
        for scope in self._leases.held_scopes(now_us):
            successors = self._placement.successors(scope)
            self.hand_over(now_us, scope, successors[0] if successors else NO_DIRECTOR)
        self._leases.shutting_down = True

    def move(self, now_us: int, event: MoveRequested) -> None:
        """Hands a scope over for an operator; ignored if the scope is not held here or the successor is not live."""
        if not self._leases.held_token(now_us, event.scope) or event.director == self._director:
            return
        if event.director in self._placement.live_directors:
            self.hand_over(now_us, event.scope, event.director)

    def offer_received(self, now_us: int, _sender: int, message: LeaseOffer) -> None:
        """Requests the offered scopes at once: this director is their successor."""
        for scope, token in message.rows:
            candidacy = self._leases.candidacies.get(scope)
            if candidacy is None or self._leases.shutting_down:
                continue
            # A repeated offer is ignored: the scope may have been acquired and lost since the first one.
            if self._leases.leases[scope].phase is Phase.IDLE and token > candidacy.offered_token:
                candidacy.offered_token = token
                candidacy.offer_accepted_us = now_us
                self._tokens.observe(now_us, token)
                row = self._election.begin(now_us, scope)
                self._messenger.send_to_voters(now_us, self._messenger.lease_request(row))
