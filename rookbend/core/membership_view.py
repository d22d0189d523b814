"""The known members, according to the coordinator's membership, health checks and the members' connections."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from rookbend.core.clock import Clock
from rookbend.core.model import Endpoint, MembershipChange
from rookbend.interface import Member, MembershipUpdated, MembershipUpdateKind, MemberState, Settings

# A reported start refers to a detected restart if it is at most this much earlier.
START_TOLERANCE_US = 2_000_000


class MembershipView:
    """The known members by number.

    `on_disconnect(server)` is called for a member that has left, and for one with another address before the change
    is applied to it.
    """

    def __init__(self, settings: Settings, clock: Clock, on_disconnect: Callable[[int], None]) -> None:
        self.settings = settings
        self.endpoints: dict[int, Endpoint] = {}
        self._clock = clock
        self._on_disconnect = on_disconnect
        # Times of detected restarts, kept until the membership reports the start, or the member is warm or has left.
        self._restarted_us: dict[int, int] = {}

    def is_in_service(self, server: int) -> bool:
        """Whether a member is known and accepts new requests."""
        endpoint = self.endpoints.get(server)
        return endpoint is not None and endpoint.member.state is MemberState.READY

    def has_member_in_service(self) -> bool:
        """Whether any known member accepts new requests."""
        return any(endpoint.member.state is MemberState.READY for endpoint in self.endpoints.values())

    def note_restart(self, server: int) -> None:
        """Records a restart detected now: the member counts as cold even if the membership reports an earlier start."""
        self._restarted_us[server] = self._clock.now()

    def apply(self, change: MembershipChange) -> MembershipUpdated:
        """Applies a change; returns the event that reports it to the router."""
        if change.complete:
            named = {endpoint.member.server for endpoint in change.endpoints}
            for server in [server for server in self.endpoints if server not in named]:
                self._remove(server)
        endpoints = [self._with_detected_start(endpoint) for endpoint in change.endpoints]
        for endpoint in endpoints:
            if endpoint.member.state is MemberState.GONE:
                self._remove(endpoint.member.server)
            else:
                self._put(endpoint)
        return MembershipUpdated(
            MembershipUpdateKind.FULL if change.complete else MembershipUpdateKind.DELTA,
            change.version,
            tuple(endpoint.member for endpoint in endpoints),
        )

    def _put(self, endpoint: Endpoint) -> None:
        server = endpoint.member.server
        previous = self.endpoints.get(server)
        if previous is not None and previous.address != endpoint.address:
            self._on_disconnect(server)
        self.endpoints[server] = endpoint

    def _remove(self, server: int) -> None:
        self._restarted_us.pop(server, None)
        if self.endpoints.pop(server, None) is not None:
            self._on_disconnect(server)

    def _with_detected_start(self, endpoint: Endpoint) -> Endpoint:
        """The endpoint with the detected start time, if the reported one is that of the previous process."""
        member = endpoint.member
        restarted_us = self._restarted_us.get(member.server)
        if restarted_us is None:
            return endpoint
        is_reported = member.started_us >= restarted_us - START_TOLERANCE_US
        if is_reported or restarted_us + self._warm_up_us(member) <= self._clock.now():
            del self._restarted_us[member.server]
            return endpoint
        return Endpoint(replace(member, started_us=restarted_us), endpoint.name, endpoint.address)

    def _warm_up_us(self, member: Member) -> int:
        settings = self.settings
        return settings.parent_warm_up_us if member.kind == settings.parent_kind else settings.warm_up_us
