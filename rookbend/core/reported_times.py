"""Times that the coordinator reports, on the director's clock.

They are Unix times of other processes. Once the system's clock was stepped, it can't be told whether they were taken
before or after the step, so the time of the report stands for what is new: a purge then rules out more copies than it
has to, and a member that has just started counts as colder than it is.
"""

from __future__ import annotations

from dataclasses import replace

from rookbend.core.clock import Clock
from rookbend.core.model import Endpoint, MembershipChange, Purge
from rookbend.interface import MemberState


class ReportedTimes:
    """Bounded by the members that the coordinator lists: keeps the start that each has reported."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._starts: dict[str, tuple[int, int]] = {}  # by member: the reported start, and the one on this clock

    def purge(self, purge: Purge) -> Purge:
        """The purge with its time on the director's clock."""
        return replace(purge, unix_us=self._clock.now()) if self._clock.has_stepped else purge

    def membership(self, change: MembershipChange) -> MembershipChange:
        """The change with the members' starts on the director's clock."""
        if change.complete:
            listed = {endpoint.name for endpoint in change.endpoints}
            self._starts = {name: start for name, start in self._starts.items() if name in listed}
        return replace(change, endpoints=[self._endpoint(endpoint) for endpoint in change.endpoints])

    def _endpoint(self, endpoint: Endpoint) -> Endpoint:
        member = endpoint.member
        if member.state is MemberState.GONE:
            self._starts.pop(endpoint.name, None)
            return endpoint
        reported_us, started_us = self._starts.get(endpoint.name, (-1, 0))
        if reported_us != member.started_us:
            started_us = self._clock.now() if member.started_us and self._clock.has_stepped else member.started_us
            self._starts[endpoint.name] = member.started_us, started_us
        return (
            endpoint
            if started_us == member.started_us
            else replace(endpoint, member=replace(member, started_us=started_us))
        )
