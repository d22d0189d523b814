"""Checks before an attempt is written: its members' state, its deadline, and purges since the decision."""

from __future__ import annotations

from enum import Enum

from rookbend.core.clock import Clock
from rookbend.core.membership_view import MembershipView
from rookbend.core.model import Attempt
from rookbend.core.received_purges import ReceivedPurges


class WithholdReason(Enum):
    """The `reason` of an `attempt_withheld` event; each has the counter `withheld_` with this name."""

    FINISHED = "finished"  # it has ended already
    MEMBER_OUT_OF_SERVICE = "member_out_of_service"
    SOURCE_OUT_OF_SERVICE = "source_out_of_service"
    MEMBER_LEFT = "member_left"  # or has moved to another address, while the attempt waited for a connection
    TIME_OVER = "time_over"
    PURGED = "purged"  # after the attempt was decided


class SendGuard:
    """No byte of an attempt is written before `withhold_reason` returns None for it."""

    __slots__ = ("_clock", "_membership", "_purges")

    def __init__(self, membership: MembershipView, purges: ReceivedPurges, clock: Clock) -> None:
        self._membership = membership
        self._purges = purges
        self._clock = clock

    def may_write(self, attempt: Attempt) -> bool:
        """Whether `withhold_reason` returns None."""
        return self.withhold_reason(attempt) is None

    def withhold_reason(self, attempt: Attempt) -> WithholdReason | None:
        """Why the attempt may not be written; None if it may.

        Called just before the attempt's first byte is written, after any wait for a connection or buffer space.
        Guards against changes since the attempt was decided: a drain of the cache or of the source, or a purge that
        the attempt's age limit, fixed at the decision, does not cover.
        """
        if attempt.is_finished:
            return WithholdReason.FINISHED
        source = attempt.source
        is_in_service = self._membership.is_in_service
        if not is_in_service(attempt.server):
            return WithholdReason.MEMBER_OUT_OF_SERVICE
        if source and not is_in_service(source):
            return WithholdReason.SOURCE_OUT_OF_SERVICE
        now_us = self._clock.now()
        if attempt.due_us <= now_us or (attempt.retry_deadline_us and attempt.retry_deadline_us <= now_us):
            return WithholdReason.TIME_OVER
        object_purged_us = self._purges.objects.get(attempt.request.object_id, 0)
        group_purged_us = self._purges.groups.get(attempt.request.group, 0)
        return WithholdReason.PURGED if max(object_purged_us, group_purged_us) > attempt.sent_us else None
