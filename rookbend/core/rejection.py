"""The final answer to a request that gets no further attempt."""

from __future__ import annotations

from rookbend.core.model import Answer, FinalOutcome
from rookbend.core.open_request import OpenRequest
from rookbend.interface import Settings


def retry_after_us(settings: Settings) -> int:
    """The Retry-After of a rejection, in microseconds; 0 if the settings allow none."""
    return settings.max_retry_after_us if settings.allows_retry_after else 0


def rejection(open_request: OpenRequest, retry_after_us: int) -> Answer:
    """REJECTED, or FAILED if the request may have run: a rejection promises that a retry does no harm."""
    if not open_request.may_be_rejected:
        return Answer(FinalOutcome.FAILED)
    return Answer(FinalOutcome.REJECTED, retry_after_us=retry_after_us)
