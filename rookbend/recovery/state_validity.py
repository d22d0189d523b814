"""The table of trust: each piece of state from before, and what it is good for after a power loss. Pure.

    kept        own and monotone, or confirmed to somebody: it stands
    limit       it binds at once; what it would permit opens only when confirmed
    hint        a start for what is learnt anew; a wrong one costs time, nothing else
    never       after a power loss it says nothing

Ages are of the Unix clock, which may have been stepped while the machine was dark. A hint from the future or
older than its bound is dropped. A limit from the future binds, counted from now: dropping it could break a
rule, keeping it costs a member for a while. A limit older than its bound has done its work."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

SECOND, MINUTE, HOUR = 1_000_000, 60_000_000, 3_600_000_000


class Trust(Enum):
    KEPT = "kept"
    LIMIT = "limit"
    HINT = "hint"
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class Piece:
    """`kind` is the rows' in rookbend.state.model, or empty where nothing is kept; `bound_us` 0: none."""

    what: str
    trust: Trust
    kind: str
    bound_us: int
    why: str


TABLE = (
    Piece("boot number", Trust.KEPT, "", 0, "only grows; raised above what any peer knows of us"),
    Piece("operators' orders", Trust.KEPT, "order", 0, "acknowledged to a person"),
    Piece("names given out for writes", Trust.KEPT, "write", HOUR, "a lookup repeated gets the same name"),
    Piece("fencing tokens seen", Trust.KEPT, "token", 0, "an older one is never accepted after a newer"),
    Piece("orders for the whole fleet", Trust.KEPT, "log", 0, 'at a majority of the voters before "done"'),
    Piece("promises made", Trust.KEPT, "promise", 0, "a vote is not given twice"),
    Piece("boot numbers of peers", Trust.KEPT, "peer", 0, "an older life of theirs is not believed"),
    Piece(
        "members told as draining or gone", Trust.LIMIT, "drain", 10 * MINUTE, "binds until a newer list says otherwise"
    ),
    Piece("purges", Trust.LIMIT, "purge", 0, "bind while an older copy may be left: the settings' time"),
    Piece("what the origin bore", Trust.HINT, "hint", HOUR, "the ramp's aim, not its start"),
    Piece("members told as serving", Trust.NEVER, "", 0, "an old permission opens nothing"),
    Piece("health verdicts", Trust.NEVER, "", 0, "of processes that have ended"),
    Piece("connections", Trust.NEVER, "", 0, "of processes that have ended"),
    Piece("load reports", Trust.NEVER, "", 0, "of a load that has gone"),
    Piece("warmth of members", Trust.NEVER, "", 0, "each is cold until shown otherwise"),
)
BY_KIND = {piece.kind: piece for piece in TABLE if piece.kind}


def stands(kind: str, at_us: int, now_us: int, bound_us: int = 0) -> bool:
    """Whether a row of that kind, put at that Unix microsecond, still counts. `bound_us` overrides the
    table's, for bounds that the settings state."""
    piece = BY_KIND.get(kind)
    if piece is None:
        return False
    bound, age = bound_us or piece.bound_us, now_us - at_us
    if piece.trust is Trust.HINT:
        return 0 <= age <= bound
    return not bound or age <= bound


def counted_from(at_us: int, now_us: int) -> int:
    """From when a limit's bound runs: a row from the future is counted from now."""
    return min(at_us, now_us)
