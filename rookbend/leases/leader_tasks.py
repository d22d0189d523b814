"""The tasks that one director performs for the whole fleet, and the guard of each against two leaders.

    idempotent  two directors may perform the task at once: no lease, a hash over the live directors chooses one
    fencing     each request carries an increasing token, and its receiver rejects older ones
    expiry      no receiver checks tokens: the work and its effects end before the lease does, by the holder's clock.
                A process may be suspended between that check and the system call, so this guard is only for work
                that may take effect late (`tolerates_delay`)

A task that is not in the table can't run: `leader_task(name)` raises. docs/OWNERSHIP.md describes the table.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

from rookbend.core.decimal_text import is_decimal

ORDERS_SCOPE = 0
RAMP_ALLOCATION_SCOPE = 1
REPORT_SCOPE = 2
FIRST_CHECKS_SCOPE = 16  # lower scopes are for tasks without shards
NO_SCOPE = -1


class Guard(Enum):
    """Protection of a task against two leaders at once."""

    IDEMPOTENT = "idempotent"
    FENCING = "fencing"
    EXPIRY = "expiry"


@dataclass(frozen=True, slots=True)
class LeaderTask:
    """A task and the scope of its lease, or the first scope for a sharded task.

    `receivers` says which processes reject stale tokens, `without_leader` what happens while no director holds the
    lease.
    """

    name: str
    guard: Guard
    scope: int
    sharded: bool
    receivers: str
    without_leader: str
    tolerates_delay: bool = False


LEADER_TASKS = (
    LeaderTask(
        "orders",
        Guard.FENCING,
        ORDERS_SCOPE,
        False,
        "voters: an entry with an older token is not stored",
        "orders for the whole fleet are refused with an error",
    ),
    LeaderTask(
        "conductor",
        Guard.FENCING,
        RAMP_ALLOCATION_SCOPE,
        False,
        "directors: an allocation with an older token is not used",
        "each director uses an even share",
    ),
    LeaderTask(
        "report",
        Guard.FENCING,
        REPORT_SCOPE,
        False,
        "the ledger: a line with an older token is rejected",
        "no line is written; the line numbers show the gap",
    ),
    LeaderTask(
        "report-file", Guard.EXPIRY, REPORT_SCOPE, False, "none: a file", "no line is written", tolerates_delay=True
    ),
    LeaderTask(
        "checks",
        Guard.FENCING,
        FIRST_CHECKS_SCOPE,
        True,
        "directors: results with an older token are not used",
        "each director checks the members itself, at a reduced rate",
    ),
    LeaderTask("own-checks", Guard.IDEMPOTENT, NO_SCOPE, False, "none needed", "every director always performs them"),
)
TASKS_BY_NAME = {task.name: task for task in LEADER_TASKS}
LEASED_TASK_NAMES = frozenset({"orders", "conductor", "report", "checks"})


class UnknownTaskError(Exception):
    """Raised for a task that is not in the table, or whose guard does not protect it."""


def leader_task(name: str) -> LeaderTask:
    """Returns the task of that name. Raises UnknownTaskError."""
    task = TASKS_BY_NAME.get(name)
    if task is None:
        raise UnknownTaskError(name)
    if task.guard is Guard.EXPIRY and not task.tolerates_delay:
        raise UnknownTaskError(f"{name} does not tolerate delay, and no receiver checks it")
    return task


def scopes_of(names: Set[str], shards: int) -> tuple[int, ...]:
    """Returns the scopes of all leases of these tasks, in ascending order. Raises UnknownTaskError."""
    scopes: list[int] = []
    for name in names:
        task = leader_task(name)
        if task.guard is Guard.IDEMPOTENT:
            continue
        count = shards if task.sharded else 1
        scopes += range(task.scope, task.scope + count)
    return tuple(sorted(scopes))


def scope_name(scope: int) -> str:
    """Returns the name of a scope for operators, such as `orders` or `checks/3`."""
    if scope >= FIRST_CHECKS_SCOPE:
        return f"checks/{scope - FIRST_CHECKS_SCOPE}"
    return next((task.name for task in LEADER_TASKS if task.scope == scope), f"scope {scope}")


def parse_scope(name: str) -> int:
    """Returns the scope with that name; the inverse of `scope_name`. Raises UnknownTaskError."""
    task_name, _, shard = name.partition("/")
    task = leader_task(task_name)
    if task.scope < 0 or (not is_decimal(shard) if task.sharded else name != task_name):
        raise UnknownTaskError(name)
    return task.scope + int(shard or 0)


def rendezvous_ranking(scope: int, directors: Set[int]) -> list[int]:
    """Returns the directors in order of preference for holding the scope.

    Uses rendezvous hashing: when a director leaves, only the scopes that it held move.
    """

    def weight(director: int) -> bytes:
        return blake2b(f"{scope} {director}".encode(), digest_size=8).digest()

    return sorted(directors, key=weight)


def checks_scope_of(member_number: int, shards: int) -> int:
    """Returns the scope of a member's checks; every director gives a member the same number."""
    return FIRST_CHECKS_SCOPE + member_number % shards
