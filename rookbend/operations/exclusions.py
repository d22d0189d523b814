"""Members excluded by an operator: they get no new work, whatever the membership says.

The engine and the router see an excluded member as listed in the membership, but with its state set to `draining`: it
gets no request, fill or retry, and a queued request is held back before its first byte is written (`may_write`). The
member keeps its position in the hash order, and a drain by the membership takes precedence. Exclusions are by name, not
by address: a member that leaves the membership and returns stays excluded.

A member that is included again counts as started at that moment: members are excluded to be restarted, the membership
may report the new start late or never, and a cold cache that is treated as a warm one is overloaded.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from rookbend.core.model import Endpoint, MembershipChange
from rookbend.interface import MemberState

MAX_EXCLUSIONS = 1024  # needed because an exclusion stays when its member leaves the membership


@dataclass(frozen=True, slots=True)
class ExclusionResult:
    """The result of a call. `error`: a message, or empty. `changed`: whether the exclusions have changed. `change`: the
    resulting membership change to forward, if any."""

    error: str = ""
    changed: bool = False
    change: MembershipChange | None = None


class Exclusions:
    """The excluded members by name, and when others were included again (microseconds).

    `excluded` is bounded by `MAX_EXCLUSIONS`; `included_us` by the membership: a member that leaves it is dropped.
    """

    def __init__(self, excluded: Iterable[str] = (), included_us: dict[str, int] | None = None):
        self.excluded: dict[str, None] = dict.fromkeys(excluded)
        self.included_us = dict(included_us or {})
        self._endpoints: dict[str, Endpoint] = {}  # the membership as received, by name
        self._version = 0

    def apply(self, change: MembershipChange) -> MembershipChange:
        """Stores a membership change and returns it with the exclusions applied."""
        self._version = change.version
        if change.complete:
            self._endpoints.clear()
        for endpoint in change.endpoints:
            if endpoint.member.state is MemberState.GONE:
                self._endpoints.pop(endpoint.name, None)
                self.included_us.pop(endpoint.name, None)
            else:
                self._endpoints[endpoint.name] = endpoint
        return MembershipChange(change.complete, change.version, [self.effective(e) for e in change.endpoints])

    def effective(self, endpoint: Endpoint) -> Endpoint:
        """The endpoint with its exclusion, or the start of its inclusion, applied."""
        member = endpoint.member
        if member.state is not MemberState.READY:
            return endpoint
        if endpoint.name in self.excluded:
            return replace(endpoint, member=replace(member, state=MemberState.DRAINING))
        included_us = self.included_us.get(endpoint.name, 0)
        if included_us > member.started_us:
            return replace(endpoint, member=replace(member, started_us=included_us))
        return endpoint

    def set_excluded(self, name: str, exclude: bool, now_us: int) -> ExclusionResult:
        """Excludes a member, or includes it again. Calls are not counted: one inclusion undoes repeated exclusions."""
        endpoint = self._endpoints.get(name)
        if endpoint is None and name not in self.excluded:
            return ExclusionResult(f"no member {name} in the membership")
        if exclude == (name in self.excluded):
            return ExclusionResult()
        if exclude:
            if len(self.excluded) >= MAX_EXCLUSIONS:
                return ExclusionResult(f"{MAX_EXCLUSIONS} members are excluded already")
            self.excluded[name] = None
        else:
            del self.excluded[name]
            if endpoint is not None:
                self.included_us[name] = now_us
        changed = [] if endpoint is None else [self.effective(endpoint)]
        return ExclusionResult("", True, MembershipChange(False, self._version, changed))

    def adopt(self, name: str, exclude: bool, now_us: int) -> ExclusionResult:
        """Applies an exclusion that another process of this director received; the member may not be known here yet."""
        if exclude and name not in self._endpoints:
            changed = name not in self.excluded and len(self.excluded) < MAX_EXCLUSIONS
            if changed:
                self.excluded[name] = None
            return ExclusionResult("", changed)
        return self.set_excluded(name, exclude, now_us)
