"""Whether a request that may have run may be tried again, by the effect that the settings give its class.

A class of effect `unsafe` is never repeated. One of effect `keyed` is known to the member by its idempotency key: it
is repeated within the stated window of its first attempt, and only inside the stated group of members.
"""

from __future__ import annotations

from rookbend.core.model import Attempt
from rookbend.core.open_request import OpenRequest
from rookbend.interface import Idempotency, Member

WINDOW_MARGIN_US = 20_000  # kept back of the window, for the way to the member


class Repeats:
    """The part of `Engine` that knows what has run."""

    def _may_have_run(self, open_request: OpenRequest, attempt: Attempt) -> None:
        if open_request.may_have_run:
            return
        open_request.may_have_run, open_request.ran_at_us = True, attempt.sent_us
        entry = self.endpoints.get(attempt.server)
        open_request.ran_on = entry.member if entry is not None else None

    def _repeat_by(self, open_request: OpenRequest) -> int:
        """Until when a repeat may begin; 0 where the request has not run, or may simply be repeated."""
        if not (open_request.write and open_request.may_have_run):
            return 0
        window_us = self.settings.classes[open_request.request.traffic_class].idempotency_key_window_us
        return open_request.ran_at_us + window_us - WINDOW_MARGIN_US

    def _may_repeat(self, open_request: OpenRequest, member: Member, now: int) -> bool:
        """Whether an attempt at `member` may begin, as far as earlier ones may have run."""
        if not (open_request.write and open_request.may_have_run):
            return True
        traffic_class = self.settings.classes[open_request.request.traffic_class]
        if traffic_class.idempotency is not Idempotency.IDEMPOTENCY_KEY or now >= self._repeat_by(open_request):
            return False
        if traffic_class.retry_scope == "all":
            return True
        first = open_request.ran_on
        if first is None or first.zone != member.zone:
            return False
        return traffic_class.retry_scope == "zone" or first.cell == member.cell
