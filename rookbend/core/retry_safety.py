"""Decides whether a request that may have run may be retried, by the idempotency of its class.

Requests of a class that is not idempotent are not retried. Those of a class with idempotency keys are retried within
the window that starts at the first attempt, and only at members of the retry scope, which recognise the key.
"""

from __future__ import annotations

from rookbend.core.model import Attempt, Endpoint
from rookbend.core.open_request import OpenRequest
from rookbend.interface import Idempotency, Member, Settings

WINDOW_MARGIN_US = 20_000  # reserved at the end of the window for the network delay to the member


def note_possible_run(open_request: OpenRequest, attempt: Attempt, endpoint: Endpoint | None) -> None:
    """Records that `attempt` may have run, at `endpoint`. Only the first such attempt counts."""
    if open_request.may_have_run:
        return
    open_request.may_have_run = True
    open_request.first_run_us = attempt.sent_us
    open_request.first_run_member = endpoint.member if endpoint is not None else None


def retry_deadline_us(open_request: OpenRequest, settings: Settings) -> int:
    """The time until which a retry may start; 0 if the request has not run or is idempotent."""
    if open_request.is_idempotent or not open_request.may_have_run:
        return 0
    traffic_class = settings.classes[open_request.request.traffic_class]
    return open_request.first_run_us + traffic_class.idempotency_key_window_us - WINDOW_MARGIN_US


def may_retry(open_request: OpenRequest, member: Member, settings: Settings, now_us: int) -> bool:
    """Whether an attempt at `member` may start, given that earlier ones may have run.

    The engine's rule is stricter than the router's (`routing/retry_policy.py`) and takes precedence: no write
    counts as idempotent, and the window of an idempotency key ends `WINDOW_MARGIN_US` early.
    """
    if open_request.is_idempotent or not open_request.may_have_run:
        return True
    traffic_class = settings.classes[open_request.request.traffic_class]
    if traffic_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
        return False
    if now_us >= retry_deadline_us(open_request, settings):
        return False
    if traffic_class.retry_scope == "all":
        return True
    first_member = open_request.first_run_member
    if first_member is None or first_member.zone != member.zone:
        return False
    return traffic_class.retry_scope == "zone" or first_member.cell == member.cell
