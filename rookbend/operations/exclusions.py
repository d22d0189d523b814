"""Members excluded by an operator: whatever the membership says, nothing new goes there.

The engine and the router see an excluded member as the membership gives it, with its state made `draining`: no
request, no fill, no retry, and what waits in a queue is held back as its first byte goes out (`may_write`). So its
place in the hash order stays, and the membership's own drain still wins. Exclusions are by name, not by address: a
member that leaves the membership and comes back stays excluded.

A member that is included again counts as started at that moment. It was excluded to be restarted, the membership may
give the new start late or never, and a cold cache that is taken for a warm one is overloaded.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from rookbend.core.model import Endpoint, MembershipChange
from rookbend.interface import MemberState

MAX_EXCLUSIONS = 1024  # an exclusion outlives its member's place in the membership, so there has to be a bound


@dataclass(frozen=True, slots=True)
class ExclusionResult:
    """What came of a call: `error` in words or empty; whether it `changed` anything; what to pass on of the member."""

    error: str = ""
    changed: bool = False
    change: MembershipChange | None = None


class Exclusions:
    """The excluded members, by name, and when others were included again (microseconds).

    `excluded` is bounded by `MAX_EXCLUSIONS`; `included_us` by the membership, which drops a member from it as it goes.
    """

    def __init__(self, excluded: Iterable[str] = (), included_us: dict[str, int] | None = None):
        self.excluded: dict[str, None] = dict.fromkeys(excluded)
        self.included_us = dict(included_us or {})
        self._endpoints: dict[str, Endpoint] = {}  # the membership as it was received, by name
        self._version = 0

    def apply(self, change: MembershipChange) -> MembershipChange:
        """The membership, or a part of it, with the exclusions applied."""
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
        """The endpoint with an exclusion, or a new start, applied."""
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
        """Excludes a member, or includes it again. Calls are not counted: one undoes any number of the other."""
        endpoint = self._endpoints.get(name)
        if endpoint is None and name not in self.excluded:
            return ExclusionResult(f"no member {name} in the list")
        if exclude == (name in self.excluded):
            return ExclusionResult()
        if exclude:
            if len(self.excluded) >= MAX_EXCLUSIONS:
                return ExclusionResult(f"{MAX_EXCLUSIONS} members are out already")
            self.excluded[name] = None
        else:
            del self.excluded[name]
            if endpoint is not None:
                self.included_us[name] = now_us
        changed = [] if endpoint is None else [self.effective(endpoint)]
        return ExclusionResult("", True, MembershipChange(False, self._version, changed))

    def adopt(self, name: str, exclude: bool, now_us: int) -> ExclusionResult:
        """The same as another process of this director was asked, for a member that may not be known here yet."""
        if exclude and name not in self._endpoints:
            changed = name not in self.excluded and len(self.excluded) < MAX_EXCLUSIONS
            if changed:
                self.excluded[name] = None
            return ExclusionResult("", changed)
        return self.set_excluded(name, exclude, now_us)
