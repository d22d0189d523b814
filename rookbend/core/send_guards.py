"""What keeps a request from going out: the membership as told, and purges told since it was decided."""

from __future__ import annotations

from dataclasses import replace

from rookbend import interface as api
from rookbend.core.model import Attempt, Endpoint, MembershipChange, Purge
from rookbend.interface import MembershipUpdateKind, MemberState

START_TOLERANCE_US = 2_000_000  # a start told is the one seen where it lies no more than this before it


class Guards:
    """The part of `Engine` that knows members and purges; `may_write` is the one place that lets the first
    byte out."""

    def membership_changed(self, change: MembershipChange) -> None:
        """The membership, or a part of it, as the coordinator tells it, or as health weighs it: from here on
        nothing new goes to a member that is not in service."""
        self.counters.roster_changes += 1
        self._apply(change)

    def health_changed(self, entries: list[Endpoint]) -> None:
        """Members whose state or weight differs from what the membership says, by other evidence."""
        self.counters.judgements += len(entries)
        self._apply(MembershipChange(False, 0, entries))

    def member_restarted(self, server: int) -> None:
        """A member's process is another than before, as its connections show: it is cold from now on, until the
        membership tells when it started."""
        entry = self.endpoints.get(server)
        if entry is None:
            return
        self.counters.restarts_seen += 1
        self.log("member_restarted", "info", member=entry.name)
        self._restarted[server] = self.clock.now()
        self._apply(MembershipChange(False, 0, [entry]))

    def _with_start(self, entry: Endpoint) -> Endpoint:
        """The entry with the start that was seen, where the one told is that of the process before."""
        member = entry.member
        seen_us = self._restarted.get(member.server)
        if seen_us is None:
            return entry
        if member.started_us >= seen_us - START_TOLERANCE_US or seen_us + self._warm_up_us(member) <= self.clock.now():
            del self._restarted[member.server]
            return entry
        return Endpoint(replace(member, started_us=seen_us), entry.name, entry.address)

    def _warm_up_us(self, member: api.Member) -> int:
        settings = self.settings
        return settings.parent_warm_up_us if member.kind == settings.parent_kind else settings.warm_up_us

    def _apply(self, change: MembershipChange) -> None:
        if change.complete:
            named = {e.member.server for e in change.endpoints}
            for server in [s for s in self.endpoints if s not in named]:
                self._drop(server)
        entries = list(map(self._with_start, change.endpoints))
        for entry in entries:
            if entry.member.state is MemberState.GONE:
                self._drop(entry.member.server)
            else:
                old = self.endpoints.get(entry.member.server)
                if old is not None and old.address != entry.address:
                    self.backend.forget(entry.member.server)
                self.endpoints[entry.member.server] = entry
        self._post(
            api.MembershipUpdated(
                MembershipUpdateKind.FULL if change.complete else MembershipUpdateKind.DELTA,
                change.version,
                tuple(e.member for e in entries),
            )
        )

    def _drop(self, server: int) -> None:
        self._restarted.pop(server, None)
        if self.endpoints.pop(server, None) is not None:
            self.backend.forget(server)

    def purged(self, purge: Purge) -> None:
        """A purge as the coordinator tells it: what was decided before it is not written any more."""
        self.counters.purges += 1
        now = self.clock.now()
        told = self._purged_groups if purge.object_id is None else self._purged_objects
        name = purge.group if purge.object_id is None else purge.object_id
        told.pop(name, None)
        told[name] = now
        while (oldest := next(iter(told))) != name and told[oldest] < now - 2 * self.settings.purge_propagation_us:
            del told[oldest]
        age = max(0, now - purge.unix_us)
        if self.settings.purge_propagation_us and age > self.settings.purge_propagation_us:
            # Guards against a system clock that is ahead: by it every purge is too old to matter, and older
            # copies were served. One so late counts as made now: that is stricter, never less.
            age = 0
        self._post(api.PurgeReceived(purge.object_id or 0, purge.group, age))

    def serving(self, server: int) -> bool:
        """Whether a member is known and in service."""
        entry = self.endpoints.get(server)
        return entry is not None and entry.member.state is MemberState.READY

    def has_member_in_service(self) -> bool:
        """Whether any request could be served."""
        return any(entry.member.state is MemberState.READY for entry in self.endpoints.values())

    def may_write(self, attempt: Attempt) -> bool:
        """Asked as the attempt's first byte is written, after any wait for a connection or a full buffer.

        Guards against what was told in between: a drain of the cache or of the source, or a purge that
        the age limit, fixed when the attempt was decided, does not know of.
        """
        if attempt.is_finished:
            return False
        source = attempt.source
        if not self.serving(attempt.server) or (source and not self.serving(source)):
            return False
        now = self.clock.now()
        if attempt.due_us <= now or (attempt.retry_deadline_us and attempt.retry_deadline_us <= now):
            return False
        told = self._purged_objects.get(attempt.request.object_id, 0)
        return max(told, self._purged_groups.get(attempt.request.group, 0)) <= attempt.sent_us
