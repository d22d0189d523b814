"""Checks before an attempt is written: its members' state, its deadline, and purges since the decision."""

from __future__ import annotations

from rookbend.core.clock import Clock
from rookbend.core.membership_view import MembershipView
from rookbend.core.model import Attempt
from rookbend.core.received_purges import ReceivedPurges


class SendGuard:
    """No byte of an attempt is written before `may_write` returns True for it."""

    __slots__ = ("_clock", "_membership", "_purges")

    def __init__(self, membership: MembershipView, purges: ReceivedPurges, clock: Clock) -> None:
        self._membership = membership
        self._purges = purges
        self._clock = clock

    def may_write(self, attempt: Attempt) -> bool:
        """Called just before the attempt's first byte is written, after any wait for a connection or buffer space.

        Guards against changes since the attempt was decided: a drain of the cache or of the source, or a purge that
        the attempt's age limit, fixed at the decision, does not cover.
        """
        if attempt.is_finished:
            return False
        source = attempt.source
        is_in_service = self._membership.is_in_service
        if not is_in_service(attempt.server) or (source and not is_in_service(source)):
            return False
        now_us = self._clock.now()
        if attempt.due_us <= now_us or (attempt.retry_deadline_us and attempt.retry_deadline_us <= now_us):
            return False
        object_purged_us = self._purges.objects.get(attempt.request.object_id, 0)
        group_purged_us = self._purges.groups.get(attempt.request.group, 0)
        return max(object_purged_us, group_purged_us) <= attempt.sent_us
