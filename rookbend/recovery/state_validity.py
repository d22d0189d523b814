"""The table of validity: each piece of persisted state, and what it is good for after a power loss.

    kept        own and monotonic, or confirmed to somebody: it stays valid
    limit       applies at once; what it would permit opens only when confirmed
    hint        a starting value for what is learned anew; a wrong one costs time, nothing else
    never       says nothing after a power loss

Ages are of the Unix clock, which may have been stepped during the outage. A hint from the future or older than its
bound is dropped. A limit from the future applies, counted from now: dropping it could break a rule, keeping it costs a
member for a while. A limit older than its bound has served its purpose.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

MINUTE_US = 60_000_000
HOUR_US = 3_600_000_000


class PersistedRow(NamedTuple):
    """A row as it was found on disk; `stored_us` is the Unix microsecond at which it was put."""

    kind: str
    key: str
    value: bytes
    stored_us: int


class ValidityClass(Enum):
    """What a piece of state is good for; see the module's text."""

    KEPT = "kept"
    LIMIT = "limit"
    HINT = "hint"
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class ValidityRule:
    """`kind` is the rows' in rookbend.state.model, or empty where nothing is persisted; `bound_us` 0: none."""

    what: str
    validity: ValidityClass
    kind: str
    bound_us: int
    reason: str


TABLE = (
    ValidityRule("boot number", ValidityClass.KEPT, "", 0, "only grows; raised above what any peer knows of us"),
    ValidityRule("operators' orders", ValidityClass.KEPT, "order", 0, "acknowledged to a person"),
    ValidityRule("names issued for writes", ValidityClass.KEPT, "write", HOUR_US, "a repeated lookup gets the same"),
    ValidityRule("fencing tokens seen", ValidityClass.KEPT, "token", 0, "an older one is never accepted after a newer"),
    ValidityRule("orders for the whole fleet", ValidityClass.KEPT, "log", 0, 'at a majority of voters before "done"'),
    ValidityRule("votes", ValidityClass.KEPT, "promise", 0, "a vote is not cast twice"),
    ValidityRule("boot numbers of peers", ValidityClass.KEPT, "peer", 0, "an older incarnation is not believed"),
    ValidityRule(
        "members draining or gone", ValidityClass.LIMIT, "drain", 10 * MINUTE_US, "applies until a newer list"
    ),
    ValidityRule("purges", ValidityClass.LIMIT, "purge", 0, "apply while an older copy may exist: the settings' time"),
    ValidityRule("rate the origin sustained", ValidityClass.HINT, "hint", HOUR_US, "half of it starts the ramp"),
    ValidityRule("members ready", ValidityClass.NEVER, "", 0, "an old permission opens nothing"),
    ValidityRule("health check results", ValidityClass.NEVER, "", 0, "of processes that have ended"),
    ValidityRule("connections", ValidityClass.NEVER, "", 0, "of processes that have ended"),
    ValidityRule("load reports", ValidityClass.NEVER, "", 0, "of a load that has gone"),
    ValidityRule("cache contents of members", ValidityClass.NEVER, "", 0, "each warms up until shown otherwise"),
)
BY_KIND = {rule.kind: rule for rule in TABLE if rule.kind}


def is_valid(kind: str, stored_us: int, now_us: int, bound_us: int = 0) -> bool:
    """Whether a row of that kind, stored at that Unix microsecond, still counts. `bound_us` overrides the table's,
    for bounds that the settings state."""
    rule = BY_KIND.get(kind)
    if rule is None:
        return False
    bound_us = bound_us or rule.bound_us
    age_us = now_us - stored_us
    if rule.validity is ValidityClass.HINT:
        return 0 <= age_us <= bound_us
    return not bound_us or age_us <= bound_us


def validity_start_us(stored_us: int, now_us: int) -> int:
    """When a limit's bound starts: a row from the future is counted from now."""
    return min(stored_us, now_us)
