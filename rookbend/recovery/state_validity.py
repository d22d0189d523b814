"""The validity of each piece of persisted state after a power loss, as one table.

    kept        own and monotonic state, or state that was confirmed to another party: it stays valid
    limit       a restriction: it applies at once, and anything that it would permit is allowed only once confirmed
    hint        a starting value for state that is learned again; a wrong value only costs time
    never       not valid after a power loss

Ages are measured with the Unix clock, which may have been stepped during the outage. A hint from the future or older
than its bound is dropped. A limit from the future applies, with its age counted from now: dropping it could break a
rule, while keeping it only costs a member for a limited time. A limit older than its bound is no longer needed and
is dropped.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

MINUTE_US = 60_000_000
HOUR_US = 3_600_000_000


class PersistedRow(NamedTuple):
    """A row found on disk; `stored_us` is the Unix microsecond at which it was stored."""

    kind: str
    key: str
    value: bytes
    stored_us: int


class ValidityClass(Enum):
    """The validity of a piece of state, as described at the head of the module."""

    KEPT = "kept"
    LIMIT = "limit"
    HINT = "hint"
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class ValidityRule:
    """`kind` is the kind of row in rookbend.state.model, empty if nothing is persisted; `bound_us` 0 means no bound."""

    what: str
    validity: ValidityClass
    kind: str
    bound_us: int
    reason: str


TABLE = (
    ValidityRule("boot number", ValidityClass.KEPT, "", 0, "only grows; raised above the number that any peer knows"),
    ValidityRule("operators' orders", ValidityClass.KEPT, "order", 0, "acknowledged to an operator"),
    ValidityRule(
        "names issued for writes", ValidityClass.KEPT, "write", HOUR_US, "a repeated lookup gets the same reply"
    ),
    ValidityRule("fencing tokens seen", ValidityClass.KEPT, "token", 0, "an older one is rejected after a newer one"),
    ValidityRule("orders for the whole fleet", ValidityClass.KEPT, "log", 0, 'at a majority of voters before "done"'),
    ValidityRule("votes", ValidityClass.KEPT, "promise", 0, "a vote is not cast twice"),
    ValidityRule("boot numbers of peers", ValidityClass.KEPT, "peer", 0, "an older incarnation is rejected"),
    ValidityRule(
        "members draining or gone", ValidityClass.LIMIT, "drain", 10 * MINUTE_US, "applies until a newer list"
    ),
    ValidityRule("purges", ValidityClass.LIMIT, "purge", 0, "apply while older copies may exist: the configured time"),
    ValidityRule("rate the origin sustained", ValidityClass.HINT, "hint", HOUR_US, "the ramp starts at half of it"),
    ValidityRule("members ready", ValidityClass.NEVER, "", 0, "an old permission is no longer valid"),
    ValidityRule("health check results", ValidityClass.NEVER, "", 0, "of processes that have ended"),
    ValidityRule("connections", ValidityClass.NEVER, "", 0, "of processes that have ended"),
    ValidityRule("load reports", ValidityClass.NEVER, "", 0, "of a past load"),
    ValidityRule("cache contents of members", ValidityClass.NEVER, "", 0, "each counts as cold until shown otherwise"),
)
BY_KIND = {rule.kind: rule for rule in TABLE if rule.kind}


def is_valid(kind: str, stored_us: int, now_us: int, bound_us: int = 0) -> bool:
    """Whether a row of that kind, stored at that Unix microsecond, is still valid. `bound_us` overrides the bound of
    the table, for bounds that come from the settings."""
    rule = BY_KIND.get(kind)
    if rule is None:
        return False
    bound_us = bound_us or rule.bound_us
    age_us = now_us - stored_us
    if rule.validity is ValidityClass.HINT:
        return 0 <= age_us <= bound_us
    return not bound_us or age_us <= bound_us


def validity_start_us(stored_us: int, now_us: int) -> int:
    """The time from which a limit's age counts: that of storing, or now for a row from the future."""
    return min(stored_us, now_us)
