"""The receiver's side of fencing: checks the tokens of requests, persists new ones and rejects stale ones."""

from __future__ import annotations

from rookbend.coordination.action_queue import ActionQueue
from rookbend.leases.actions import Action
from rookbend.leases.fencing import FencingGuard
from rookbend.leases.leader_tasks import scope_name
from rookbend.leases.messenger import Messenger
from rookbend.leases.state import token_row
from rookbend.leases.tokens import TokenCounter, highest_plausible_token
from rookbend.protocol.lease_messages import TokenRejected


class FencedRequests:
    """Checks requests; `rejected` counts those with a stale token, `implausible` those with an impossibly high one."""

    def __init__(self, guard: FencingGuard, tokens: TokenCounter, messenger: Messenger, actions: ActionQueue[Action]):
        self._guard = guard
        self._tokens = tokens
        self._messenger = messenger
        self._actions = actions
        self.rejected = 0
        self.implausible = 0

    def highest_token(self, scope: int) -> int:
        """Returns the highest token seen for a scope, or 0."""
        return self._guard.highest.get(scope, 0)

    def accept(self, now_us: int, sender: int, scope: int, token: int) -> bool:
        """Returns whether a request with that token may take effect; the sender of a stale one is told the highest."""
        if self._guard.raises_highest(scope, token):
            if token > highest_plausible_token(now_us):
                self.implausible += 1
                return False
            self._actions.append(token_row(scope, token))
            self._tokens.observe(now_us, token)
        if self._guard.accept(scope, token):
            return True
        self._reject(now_us, sender, scope, token)
        return False

    def _reject(self, now_us: int, sender: int, scope: int, token: int) -> None:
        self.rejected += 1
        highest = self.highest_token(scope)
        self._actions.log(
            "stale_fencing_token_rejected", "warning", scope=scope_name(scope), by=sender, token=token, highest=highest
        )
        self._messenger.send(now_us, sender, TokenRejected(*self._messenger.header, scope, highest))

    def record_own_token(self, scope: int, token: int) -> None:
        """Records the token of a lease acquired by this director, which then rejects older tokens of the scope too."""
        if self._guard.raises_highest(scope, token):
            self._actions.append(token_row(scope, token))
        self._guard.accept(scope, token)
