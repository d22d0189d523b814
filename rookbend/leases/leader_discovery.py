"""Learns the holders of scopes from a random voter, by requests that can't be granted: refusals name the holder."""

from __future__ import annotations

import random

from rookbend.leases.lease_table import LeaseTable
from rookbend.leases.messenger import Messenger
from rookbend.leases.voter_configuration import VoterConfiguration
from rookbend.protocol.lease_messages import LeaseRow
from rookbend.protocol.leases import encode_rows

DISCOVERY_INTERVAL_US = 2_000_000


class LeaderDiscovery:
    """Asks voters at intervals; the first interval starts at `began_us`."""

    def __init__(
        self,
        director: int,
        began_us: int,
        leases: LeaseTable,
        voters: VoterConfiguration,
        messenger: Messenger,
        generator: random.Random,
    ):
        self._director = director
        self._leases = leases
        self._voters = voters
        self._messenger = messenger
        self._random = generator
        self._queried_us = began_us

    def run(self, now_us: int) -> None:
        """Asks a random voter about all scopes that are not held here, at intervals.

        During a change of the voters, also asks the peers that have not reported the newest voter set.
        """
        others = sorted(self._voters.all_voters - {self._director})
        if not others or now_us - self._queried_us < DISCOVERY_INTERVAL_US:
            return
        self._queried_us = now_us
        if self._voters.previous is not None:
            for peer in self._voters.unconfirmed():
                self._messenger.send(now_us, peer, self._messenger.lease_request())
        scopes = [scope for scope in self._leases.scopes if not self._leases.held_token(now_us, scope)]
        voter = self._random.choice(others)
        if scopes:
            rows = [LeaseRow(scope, 0, 0) for scope in scopes]
            for data in encode_rows(self._messenger.lease_request(), list(rows)):
                self._messenger.send_datagram(now_us, voter, data)
