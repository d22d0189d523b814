"""The voting side of a director: answers lease requests, and asks for the highest token during quarantine."""

from __future__ import annotations

from dataclasses import dataclass

from rookbend.coordination.action_queue import ActionQueue
from rookbend.leases.actions import Action
from rookbend.leases.awaited_rows import AwaitedRows
from rookbend.leases.events import RowPersisted
from rookbend.leases.lease import Holder
from rookbend.leases.lease_table import LeaseTable
from rookbend.leases.messenger import Messenger
from rookbend.leases.state import grant_row
from rookbend.leases.tokens import highest_plausible_token
from rookbend.leases.voter import Voter
from rookbend.leases.voter_configuration import VoterConfiguration
from rookbend.protocol.lease_messages import LeaseRelease, LeaseRequest, LeaseRow, VoteRow

TOKEN_REQUEST_INTERVAL_US = 200_000
# After the process was paused for longer than PAUSE_THRESHOLD_US, queued requests are too old to be granted: requests
# are ignored for IGNORE_AFTER_PAUSE_US.
PAUSE_THRESHOLD_US = 1_000_000
IGNORE_AFTER_PAUSE_US = 100_000


@dataclass(slots=True)
class PendingVote:
    """A vote that is sent once its grant is durable."""

    peer: int
    incarnation: int
    scope: int
    round: int
    token: int


class Voting:
    """Answers requests with the votes of `voter`, for scopes in `leases`, while `voters` includes this director."""

    def __init__(
        self,
        director: int,
        now_us: int,
        voter: Voter,
        voters: VoterConfiguration,
        leases: LeaseTable,
        messenger: Messenger,
        actions: ActionQueue[Action],
    ):
        self._director = director
        self._voter = voter
        self._voters = voters
        self._leases = leases
        self._messenger = messenger
        self._actions = actions
        self._pending: AwaitedRows[PendingVote] = AwaitedRows()
        self._not_durable: set[tuple[int, int]] = set()  # (scope, token) of grants that storage failed to write
        self._token_reporters: set[int] = set()  # peers that reported their highest token in this quarantine
        self._tokens_requested_us = 0
        self._last_step_us = now_us
        self._ignore_until_us = 0
        self.suspended = False  # another process of this director votes

    @property
    def _is_voter(self) -> bool:
        return self._director in self._voters.all_voters

    def detect_pause(self, now_us: int) -> None:
        """Detects a pause of the process; must be called at each step of the state machine."""
        if now_us - self._last_step_us > PAUSE_THRESHOLD_US:
            self._ignore_until_us = now_us + IGNORE_AFTER_PAUSE_US
        self._last_step_us = now_us

    # Requests

    def request_received(self, now_us: int, sender: int, message: LeaseRequest) -> None:
        """Answers a lease request, at once or when the new grant is durable."""
        if not message.rows:  # the sender asks only for the highest token
            self._messenger.send_votes(now_us, sender, message.incarnation, [])
            return
        if not self._is_voter or self.suspended or now_us < self._ignore_until_us:
            return
        holder = Holder(sender, message.incarnation)
        rows: list[VoteRow] = []
        for row in message.rows:
            if row.scope in self._leases.leases and row.token <= highest_plausible_token(now_us):
                vote_row = self._vote(now_us, holder, row)
                if vote_row is not None:
                    rows.append(vote_row)
        if rows:
            self._messenger.send_votes(now_us, sender, message.incarnation, rows)

    def _vote(self, now_us: int, holder: Holder, row: LeaseRow) -> VoteRow | None:
        scope, token, round_number = row
        vote = self._voter.request(now_us, scope, holder, token)
        key = str(scope)
        if vote.must_persist:
            self._pending.add(key, PendingVote(holder.director, holder.incarnation, scope, round_number, token))
            self._actions.append(grant_row(scope, self._voter.persisted_grant(scope)))
            return None
        pending = self._pending.waiting(key)
        if vote.granted and any(pending_vote.token == token for pending_vote in pending):
            # The lease was requested again before its grant is durable: the pending vote answers the newest round.
            for pending_vote in pending:
                pending_vote.round = round_number
            return None
        if vote.granted and (scope, token) in self._not_durable:
            return None
        return VoteRow(scope, round_number, vote.granted, vote.token, vote.director, vote.remaining_us // 1000)

    def grant_persisted(self, now_us: int, event: RowPersisted) -> None:
        """Sends the pending vote once the row of its grant is durable.

        If the write failed, no vote is sent, because the voter would lose the grant in a restart.
        """
        pending = self._pending.pop(event.key)
        if pending is None:
            return
        if not event.durable:
            self._not_durable.add((pending.scope, pending.token))
            return
        grant = self._voter.grants.get(pending.scope)
        if grant is not None and grant.token == pending.token:
            remaining_ms = max(0, grant.expires_us - now_us) // 1000
            row = VoteRow(pending.scope, pending.round, True, pending.token, pending.peer, remaining_ms)
            self._messenger.send_votes(now_us, pending.peer, pending.incarnation, [row])

    def release_received(self, now_us: int, sender: int, message: LeaseRelease) -> None:
        """Ends the grants that a holder or candidate has released."""
        holder = Holder(sender, message.incarnation)
        for scope, token, successor in message.rows:
            self._voter.release(now_us, scope, holder, token, successor)

    # Quarantine

    def request_highest_tokens(self, now_us: int) -> None:
        """During quarantine, asks the other voters for their highest token, at intervals."""
        if (
            not self._is_voter
            or now_us >= self._voter.quarantine_until_us
            or now_us - self._tokens_requested_us < TOKEN_REQUEST_INTERVAL_US
        ):
            return
        self._tokens_requested_us = now_us
        for voter in self._voters.all_voters - {self._director} - self._token_reporters:
            self._messenger.send(now_us, voter, self._messenger.lease_request())

    def record_highest_token(self, now_us: int, sender: int, highest_token: int) -> None:
        """During quarantine, raises the token floor to the highest token reported by a peer."""
        if now_us < self._voter.quarantine_until_us and sender not in self._token_reporters:
            # Only the first answer counts: a later one may include the token of a new request for a lease, and that
            # token must stay grantable.
            self._token_reporters.add(sender)
            self._voter.raise_token_floor(min(highest_token, highest_plausible_token(now_us)))

    def stale_storage_detected(self, now_us: int) -> None:
        """Starts the quarantine again, as after a start without storage."""
        self.restart_quarantine(now_us)
        self._actions.log("lease_voter_quarantined", "warning", why="durable storage is older than expected")

    def restart_quarantine(self, now_us: int) -> None:
        """Grants nothing new until all grants that this director may have made have expired."""
        self._voter.quarantine(now_us)
        self._token_reporters = set()
