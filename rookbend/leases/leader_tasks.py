"""The tasks that one director does for the whole fleet, and what guards each against two leaders.

    idempotent  two directors doing it at once do no harm: no lease, a hash over the live members chooses one
    fencing     each request carries a growing token, and its receiver rejects older ones
    expiry      no receiver can check: the work and its effects end before the lease does, by the holder's clock.
                A process may be stopped between that check and the system call, so this is only for work that
                may be late (`tolerates_delay`)

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
FIRST_CHECKS_SCOPE = 16  # lower scopes belong to tasks without shards
NO_SCOPE = -1


class Guard(Enum):
    """What keeps two leaders of a task from doing harm."""

    IDEMPOTENT = "idempotent"
    FENCING = "fencing"
    EXPIRY = "expiry"


@dataclass(frozen=True, slots=True)
class LeaderTask:
    """`scope` is that of its lease, the first of them for a sharded task.

    `receivers` tells who rejects stale tokens, `without_leader` what happens while nobody holds the lease.
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
        "orders for the whole fleet are refused by name",
    ),
    LeaderTask(
        "conductor",
        Guard.FENCING,
        RAMP_ALLOCATION_SCOPE,
        False,
        "directors: an allocation with an older token is not used",
        "each director keeps to an even share",
    ),
    LeaderTask(
        "report",
        Guard.FENCING,
        REPORT_SCOPE,
        False,
        "the ledger: a line with an older token is rejected",
        "no line is written; the numbers of the lines show the gap",
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
    LeaderTask("own-checks", Guard.IDEMPOTENT, NO_SCOPE, False, "none needed", "always done by each director"),
)
TASKS_BY_NAME = {task.name: task for task in LEADER_TASKS}
LEASED_TASK_NAMES = frozenset({"orders", "conductor", "report", "checks"})


class UnknownTaskError(Exception):
    """Work on behalf of the fleet that is not in the table, or that its guard does not allow."""


def leader_task(name: str) -> LeaderTask:
    """The task of that name. Raises UnknownTaskError."""
    task = TASKS_BY_NAME.get(name)
    if task is None:
        raise UnknownTaskError(name)
    if task.guard is Guard.EXPIRY and not task.tolerates_delay:
        raise UnknownTaskError(f"{name} does not tolerate delay, and no receiver checks it")
    return task


def scopes_of(names: Set[str], shards: int) -> tuple[int, ...]:
    """The scopes of all leases of these tasks, ascending. Raises UnknownTaskError."""
    scopes: list[int] = []
    for name in names:
        task = leader_task(name)
        if task.guard is Guard.IDEMPOTENT:
            continue
        count = shards if task.sharded else 1
        scopes += range(task.scope, task.scope + count)
    return tuple(sorted(scopes))


def scope_name(scope: int) -> str:
    """The scope as operators read and write it: `orders`, `checks/3`."""
    if scope >= FIRST_CHECKS_SCOPE:
        return f"checks/{scope - FIRST_CHECKS_SCOPE}"
    return next((task.name for task in LEADER_TASKS if task.scope == scope), f"scope {scope}")


def parse_scope(name: str) -> int:
    """The scope that `scope_name` gives that name. Raises UnknownTaskError."""
    task_name, _, shard = name.partition("/")
    task = leader_task(task_name)
    if task.scope < 0 or (not is_decimal(shard) if task.sharded else name != task_name):
        raise UnknownTaskError(name)
    return task.scope + int(shard or 0)


def rendezvous_ranking(scope: int, directors: Set[int]) -> list[int]:
    """The directors in the order in which they should hold the scope.

    A rendezvous hash: when a director leaves, only the scopes that it held move.
    """

    def weight(director: int) -> bytes:
        return blake2b(f"{scope} {director}".encode(), digest_size=8).digest()

    return sorted(directors, key=weight)


def checks_scope_of(member_number: int, shards: int) -> int:
    """The scope of a member's checks; every director gives a member the same number."""
    return FIRST_CHECKS_SCOPE + member_number % shards
