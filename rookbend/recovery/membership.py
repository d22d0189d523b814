"""The membership that the director uses: the coordinator's, with restrictions that recovery adds.

Recovery restricts members that the coordinator lists as ready in two ways. A member whose drain is known from before
the start stays draining until a list at least as new as the drain lists it as ready. Caches count as recently started,
so that they are warmed up, unless only this director was restarted.
"""

from __future__ import annotations

from dataclasses import replace

from rookbend.coordination.action_queue import ActionQueue
from rookbend.coordination.actions import DeleteRow, PersistRow
from rookbend.core.model import Endpoint, MembershipChange
from rookbend.interface import Member, MemberState
from rookbend.recovery import state_validity
from rookbend.recovery.actions import Action, ForwardMembership
from rookbend.recovery.config import RecoveryConfig
from rookbend.recovery.replicated_rows import DRAIN, DrainValue, ReplicatedRows, encode_value


class MembershipFilter:
    """`received` holds the coordinator's entries by name, `revision` the newest revision. `drained_since_us` is the
    start of each drain, from which its maximum age counts. `caches_cold`: caches count as started when this director
    was."""

    def __init__(
        self,
        config: RecoveryConfig,
        began_us: int,
        drains: ReplicatedRows[DrainValue],
        actions: ActionQueue[Action],
    ):
        self.received: dict[str, Endpoint] = {}
        self.revision = 0
        self.drained_since_us: dict[str, int] = {}
        self.caches_cold = True
        self._config = config
        self._began_us = began_us
        self._drains = drains
        self._actions = actions

    def receive(self, now: int, change: MembershipChange) -> None:
        """Handles a list or a change from the coordinator and forwards it with the restrictions applied."""
        if change.complete:
            self.received = {}
        self.revision = max(self.revision, change.version)
        for entry in change.endpoints:
            self._receive_entry(now, entry, change.version)
        entries = [self._limited(entry) for entry in change.endpoints]
        self._actions.append(ForwardMembership(MembershipChange(change.complete, change.version, entries)))

    def _receive_entry(self, now: int, entry: Endpoint, revision: int) -> None:
        state = entry.member.state
        if state is MemberState.GONE:
            self.received.pop(entry.name, None)
        else:
            self.received[entry.name] = entry
        drain = self._drains.get(entry.name)
        if drain is not None and revision < drain.revision:
            return
        if state is not MemberState.READY:
            self._drains.drop(entry.name)
            self._add_drain(now, entry.name, encode_value(DrainValue(int(state), revision)))
        elif drain is not None:
            self._lift_drain(entry.name)

    # Drains

    def restore_drain(self, name: str, since_us: int) -> None:
        """Applies a drain from disk, whose row is stored already, until its maximum age."""
        self.drained_since_us[name] = since_us

    def add_peers_drain(self, now: int, name: str, data: bytes) -> None:
        """Applies a drain that enough peers agree on."""
        if self._add_drain(now, name, data) and name in self.received:
            self._forward([self.received[name]])

    def _add_drain(self, now: int, name: str, data: bytes) -> bool:
        if not self._drains.put(name, data):
            return False
        self.drained_since_us[name] = now
        self._actions.append(PersistRow(DRAIN.name, name, data))
        return True

    def _lift_drain(self, name: str) -> None:
        self._drains.drop(name)
        self.drained_since_us.pop(name, None)
        self._actions.append(DeleteRow(DRAIN.name, name))

    def release_expired_drains(self, now: int) -> None:
        """Lifts expired drains of members that the present list has as ready; other drains are the list's own."""
        for name, since_us in list(self.drained_since_us.items()):
            entry = self.received.get(name)
            if entry is None or entry.member.state is not MemberState.READY:
                continue
            if not state_validity.is_valid(DRAIN.name, since_us, now):
                self._lift_drain(name)
                self._forward([entry])

    # Forwarding

    def set_caches_cold(self, cold: bool) -> None:
        """Sets whether caches are to be warmed up; forwards all entries if this has changed."""
        if cold != self.caches_cold:
            self.caches_cold = cold
            self._forward(list(self.received.values()))

    def _limited(self, entry: Endpoint) -> Endpoint:
        member = entry.member
        if member.state is not MemberState.READY:
            return entry
        if self._drains.get(entry.name) is not None:
            member = replace(member, state=MemberState.DRAINING)
        if self.caches_cold and member.kind != self._config.origin_kind:
            member = replace(member, started_us=max(member.started_us, self._began_us))
        return entry if member is entry.member else Endpoint(member, entry.name, entry.address)

    def _forward(self, entries: list[Endpoint]) -> None:
        if entries:
            limited = [self._limited(entry) for entry in entries]
            self._actions.append(ForwardMembership(MembershipChange(False, self.revision, limited)))

    # Conditions of the startup stages

    def has_ready_origin(self) -> bool:
        """Whether the coordinator lists a ready origin."""
        return any(member.kind == self._config.origin_kind for member in self._ready_members())

    def has_ready_cache(self) -> bool:
        """Whether the coordinator lists a ready cache in this director's zone."""
        other_tiers = (self._config.parent_kind, self._config.origin_kind)
        zone = self._config.zone
        return any(member.kind not in other_tiers and member.zone == zone for member in self._ready_members())

    def _ready_members(self) -> list[Member]:
        members = (entry.member for entry in self.received.values())
        return [member for member in members if member.state is MemberState.READY]
