"""Which members have changed their state between two memberships, as fields of a log line."""

from __future__ import annotations

from collections.abc import Mapping

from rookbend.core.model import Endpoint
from rookbend.interface import MembershipUpdated, MembershipUpdateKind, MemberState

MAX_LOGGED_NAMES = 20  # of each state


def state_transitions(
    previous: Mapping[int, Endpoint], current: Mapping[int, Endpoint], updated: MembershipUpdated
) -> dict[str, str]:
    """The names of the members that have entered each state, by the state's name in lower case; empty if none has.

    `updated` is the change that led from the `previous` members to the `current` ones. One that is not listed any more
    is GONE.
    """
    changed = {member.server for member in updated.members}
    if updated.kind is MembershipUpdateKind.FULL:
        changed.update(previous.keys() - current.keys())
    entered: dict[MemberState, list[str]] = {}
    for server in changed:
        before, after = previous.get(server), current.get(server)
        if after is None and before is not None:
            entered.setdefault(MemberState.GONE, []).append(before.name)
        elif after is not None and (before is None or before.member.state is not after.member.state):
            entered.setdefault(after.member.state, []).append(after.name)
    return {state.name.lower(): _shortened(sorted(names)) for state, names in entered.items()}


def _shortened(names: list[str]) -> str:
    more = len(names) - MAX_LOGGED_NAMES
    listed = ",".join(names[:MAX_LOGGED_NAMES])
    return f"{listed} and {more} more" if more > 0 else listed
