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
    """The known members by number. At one address there is one process: a member whose address another one has taken
    has gone, even if the membership does not say so yet.

    `on_disconnect(server)` is called for a member that has left, and for one that is known at another address now.
    """

    def __init__(self, settings: Settings, clock: Clock, on_disconnect: Callable[[int], None]) -> None:
        self.settings = settings
        self.endpoints: dict[int, Endpoint] = {}
        self._server_by_address: dict[tuple[str, int], int] = {}
        # Members that have gone by the rule above. Bounded: until the membership removes them, or they are at an
        # address of their own.
        self._superseded: set[int] = set()
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
            self._superseded &= named
            for server in [server for server in self.endpoints if server not in named]:
                self._remove(server)
        members: dict[int, Member] = {}
        for reported in change.endpoints:
            endpoint = self._with_detected_start(reported)
            server = endpoint.member.server
            holder = self._holder_of_address(endpoint)
            if endpoint.member.state is MemberState.GONE:
                self._superseded.discard(server)
                self._remove(server)
            elif holder is not None and not self._takes_over(endpoint, holder):
                self._remove(server)
                endpoint = _gone(endpoint)
            else:
                if holder is not None:
                    self._remove(holder.member.server)
                    self._superseded.add(holder.member.server)
                    members[holder.member.server] = _gone(holder).member
                self._put(endpoint)
            members[server] = endpoint.member
        return MembershipUpdated(
            MembershipUpdateKind.FULL if change.complete else MembershipUpdateKind.DELTA,
            change.version,
            tuple(members.values()),
        )

    def _takes_over(self, endpoint: Endpoint, holder: Endpoint) -> bool:
        """Whether the endpoint, rather than the `holder` of its address, is the process there. A later report on the
        one that has gone does not bring it back, nor does one that it accepts no new requests."""
        if endpoint.member.server in self._superseded:
            return False
        return endpoint.member.state is MemberState.READY or holder.member.state is not MemberState.READY

    def _holder_of_address(self, endpoint: Endpoint) -> Endpoint | None:
        """The other member known at the endpoint's address."""
        server = self._server_by_address.get(endpoint.address)
        return self.endpoints[server] if server is not None and server != endpoint.member.server else None

    def _put(self, endpoint: Endpoint) -> None:
        server = endpoint.member.server
        previous = self.endpoints.get(server)
        has_moved = previous is not None and previous.address != endpoint.address
        if previous is not None and has_moved:
            del self._server_by_address[previous.address]
        self.endpoints[server] = endpoint
        self._server_by_address[endpoint.address] = server
        self._superseded.discard(server)
        if has_moved:
            self._on_disconnect(server)

    def _remove(self, server: int) -> None:
        self._restarted_us.pop(server, None)
        endpoint = self.endpoints.pop(server, None)
        if endpoint is not None:
            del self._server_by_address[endpoint.address]
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


def _gone(endpoint: Endpoint) -> Endpoint:
    return replace(endpoint, member=replace(endpoint.member, state=MemberState.GONE))
