"""Allocation of a recovery ramp: the leader assigns shares of the fleet's rate, so that their sum stays within it.

A director that does not report is assumed to use an even share, as every director does while there is no leader. The
rest is divided among the reporting directors in proportion to their recent calls to the origin, and each gets at least
a quarter of an even share. A share expires unless it is renewed.
"""

from __future__ import annotations

from collections.abc import Mapping

from rookbend.leases.events import OriginCallsReported
from rookbend.leases.fenced_requests import FencedRequests
from rookbend.leases.leader_tasks import RAMP_ALLOCATION_SCOPE
from rookbend.leases.lease_table import LeaseTable
from rookbend.leases.messenger import Messenger
from rookbend.protocol.lease_messages import RampShare

MIN_SHARE_RATIO = 0.25  # of an even share
SHARE_VALID_US = 3_000_000
ALLOCATION_INTERVAL_US = 1_000_000
MILLION = 1_000_000


def allocate(director_count: int, calls: Mapping[int, int]) -> dict[int, int]:
    """Returns shares by director, in millionths of the fleet's rate.

    `calls` are the recent calls of each reporting director, including the leader. Together with even shares for the
    other directors, the shares never exceed the whole.
    """
    live_count = len(calls)
    if not live_count:
        return {}
    total_share = MILLION * live_count // director_count
    minimum = int(MIN_SHARE_RATIO * MILLION / director_count)
    remainder = total_share - minimum * live_count
    total_calls = sum(calls.values())
    if not total_calls:
        return dict.fromkeys(calls, minimum + remainder // live_count)
    return {director: minimum + remainder * count // total_calls for director, count in calls.items()}


class AllocatedShare:
    """The share allocated to this director."""

    def __init__(self) -> None:
        self._token = 0
        self._sequence = 0
        self._millionths = 0
        self._expires_us = 0

    def update(self, now_us: int, token: int, sequence: int, millionths: int, valid_us: int) -> bool:
        """Stores a share whose token was accepted; returns False if it is late, a duplicate or out of range."""
        if (token, sequence) <= (self._token, self._sequence) or not 0 < millionths <= MILLION:
            return False
        self._token = token
        self._sequence = sequence
        self._millionths = millionths
        self._expires_us = now_us + min(valid_us, SHARE_VALID_US)
        return True

    def ratio(self, now_us: int) -> float | None:
        """Returns the share as a fraction of 1, or None if it has expired."""
        return self._millionths / MILLION if now_us < self._expires_us else None


class RampAllocator:
    """Sends shares while the lease is held, and stores the share received by this director in `share`."""

    def __init__(self, director_count: int, leases: LeaseTable, fenced: FencedRequests, messenger: Messenger):
        self._director_count = director_count
        self._leases = leases
        self._fenced = fenced
        self._messenger = messenger
        self.share = AllocatedShare()
        self._calls: Mapping[int, int] = {}
        self._allocated_us = 0

    def calls_reported(self, _now_us: int, event: OriginCallsReported) -> None:
        """Records recent calls by director, which are empty while there is no ramp."""
        self._calls = event.calls

    def tick(self, now_us: int) -> None:
        """Sends new shares when they are due."""
        if not self._calls or now_us - self._allocated_us < ALLOCATION_INTERVAL_US:
            return
        token = self._leases.held_token(now_us, RAMP_ALLOCATION_SCOPE)
        if not token:
            return
        self._allocated_us = now_us
        sequence = self._leases.next_sequence(RAMP_ALLOCATION_SCOPE)
        for director, millionths in allocate(self._director_count, self._calls).items():
            message = RampShare(*self._messenger.header, token, sequence, millionths, SHARE_VALID_US // 1000)
            self._messenger.send(now_us, director, message)

    def share_received(self, now_us: int, sender: int, message: RampShare) -> None:
        """Stores this director's share if its token is accepted; a share from itself needs no check."""
        is_own = sender == self._messenger.header[1]
        if is_own or self._fenced.accept(now_us, sender, RAMP_ALLOCATION_SCOPE, message.token):
            self.share.update(now_us, message.token, message.sequence, message.millionths, message.valid_ms * 1000)
