"""The rules that the invariant checker checks, their limits, and a violation of one."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Rule(StrEnum):
    """The rules that are checked; the values appear in reports."""

    # Each request gets exactly one final response, complete and within the deadline plus `answer_grace_us`.
    ANSWER = "answer"
    # A request has at most `max_attempts` attempts that reach members, and never two in flight at once.
    ATTEMPTS = "attempts"
    # A request that is not idempotent is retried or rejected only once it is certain that it has not executed.
    REPEAT = "repeat"
    # A director that was notified more than `drain_grace_us` ago that a member drains or has gone sends no attempt to
    # the member, and none that names it as a source.
    DRAIN = "drain"
    # A member in slow start is never sent more work within `cold_window_us` than its overload limit.
    COLD = "cold"
    # An attempt that is sent more than `purge_grace_us` after its director was notified of a purge never succeeds with
    # a copy that is older than the purge.
    PURGE = "purge"
    # No attempt is sent more than `left_grace_us` after the client has cancelled the request or closed its connection.
    LEFT = "left"
    # The time that a member is given to answer exceeds what the client has left by at most `deadline_slack_us`.
    DEADLINE = "deadline"
    # A served response has the bytes that a member produced for that object and part.
    BYTES = "bytes"


@dataclass(frozen=True, slots=True)
class InvariantLimits:
    """Limits of the rules. `slack_us` is added to each time limit to allow for the latency of real sockets."""

    max_attempts: int = 6
    answer_grace_us: int = 0
    drain_grace_us: int = 500_000
    purge_grace_us: int = 500_000
    left_grace_us: int = 100_000
    deadline_slack_us: int = 150_000
    purge_retention_us: int = 12_000_000
    cold_window_us: int = 1_500_000
    slack_us: int = 50_000


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule; `subject` is the id of a request or the name of a member."""

    rule: Rule
    at_us: int
    subject: str
    text: str
