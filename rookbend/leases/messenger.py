"""Sends messages of the lease protocol; those to this director itself are delivered directly."""

from __future__ import annotations

from collections.abc import Callable

from rookbend.coordination.action_queue import ActionQueue
from rookbend.leases.actions import Action
from rookbend.leases.tokens import TokenCounter
from rookbend.leases.voter_configuration import VoterConfiguration
from rookbend.protocol import leases as codec
from rookbend.protocol.lease_messages import (
    LeaseRelease,
    LeaseRequest,
    LeaseRow,
    LeaseVote,
    Message,
    ReleaseRow,
    VoteRow,
)


class Messenger:
    """Sends messages to directors by number.

    `header` holds the first fields of every message of this director: fleet, director, incarnation. Messages to this
    director itself are passed to `deliver(now_us, sender, message)` while `delivers_to_self` is set.
    """

    def __init__(
        self,
        header: tuple[int, int, int],
        voters: VoterConfiguration,
        tokens: TokenCounter,
        actions: ActionQueue[Action],
        deliver: Callable[[int, int, Message], None],
    ):
        self.header = header
        _, self._director, self._incarnation = header
        self._voters = voters
        self._tokens = tokens
        self._actions = actions
        self._deliver = deliver
        self.delivers_to_self = True  # else those to this director go to its other process

    def send(self, now_us: int, peer: int, message: Message) -> None:
        """Sends one message. Raises LeaseProtocolError if it does not fit into a datagram."""
        self.send_datagram(now_us, peer, codec.encode(message))

    def send_datagram(self, now_us: int, peer: int, data: bytes) -> None:
        """Sends an encoded message.

        Sends nothing if the director does not exist: its number may come from a peer's message.
        """
        if peer == self._director and self.delivers_to_self:
            self._deliver(now_us, peer, codec.decode(data))
        elif 0 <= peer < self._voters.director_count:
            self._actions.send(now_us, peer, data)

    def send_to_voters(self, now_us: int, message: Message) -> None:
        """Sends a message to all voters, in ascending order of their numbers."""
        for voter in sorted(self._voters.all_voters):
            self.send(now_us, voter, message)

    def send_to_peers(self, now_us: int, datagrams: list[bytes]) -> None:
        """Sends encoded messages to every other director."""
        for peer in range(self._voters.director_count):
            if peer != self._director:
                for data in datagrams:
                    self.send_datagram(now_us, peer, data)

    def lease_request(self, *rows: LeaseRow) -> LeaseRequest:
        """Returns a request for the leases in `rows`; without rows, it asks only for the highest token."""
        return LeaseRequest(*self.header, self._voters.digest, self._tokens.highest, rows)

    def send_votes(self, now_us: int, peer: int, incarnation: int, rows: list[VoteRow]) -> None:
        """Answers a lease request; without rows, the answer holds only the highest token."""
        message = LeaseVote(*self.header, self._voters.digest, self._tokens.highest, incarnation, ())
        for data in codec.encode_rows(message, list(rows)):
            self.send_datagram(now_us, peer, data)

    def send_release(self, now_us: int, scope: int, token: int, successor: int = -1) -> None:
        """Tells all voters that a scope is no longer held or requested here."""
        row = ReleaseRow(scope, token, successor)
        self.send_to_voters(now_us, LeaseRelease(*self.header, (row,)))
