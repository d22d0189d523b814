"""Effects of membership updates: statistics of restarted servers are reset, those of departed ones dropped."""

from __future__ import annotations

from rookbend.interface import Action, MembershipUpdated, MembershipUpdateKind, Settings, SubscribeMembership
from rookbend.routing.fill_concurrency import FillConcurrencyLimit
from rookbend.routing.membership import Membership
from rookbend.routing.server_stats import ServerTable
from rookbend.routing.slow_start import SlowStart
from rookbend.routing.timers import RouterTimer, TimerTable

RESUBSCRIBE_POLL_INTERVAL_RATIO = 0.125  # delay after a failed subscription, relative to the poll interval


class MembershipUpdates:
    """Applies updates, and subscribes to them where they are not pushed."""

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        servers: ServerTable,
        slow_start: SlowStart,
        fill_limit: FillConcurrencyLimit,
        timers: TimerTable,
    ) -> None:
        self.settings = settings
        self.membership = membership
        self.servers = servers
        self.slow_start = slow_start
        self.fill_limit = fill_limit
        self.timers = timers
        self.is_subscribed = False

    def apply(self, event: MembershipUpdated) -> list[Action]:
        """Apply an update; returns the actions that maintain the subscription."""
        for server in self.membership.apply(event):
            self.servers[server].reset()
        self._forget_departed()
        self.fill_limit.resize(self.membership.cache_capacity(), self.membership.location_router_count())
        if self.settings.membership_is_pushed:
            return []
        if not self.is_subscribed:
            self.is_subscribed = True
            return [SubscribeMembership(True)]
        if event.kind is MembershipUpdateKind.FAILED:
            delay_us = RESUBSCRIBE_POLL_INTERVAL_RATIO * self.settings.membership_poll_interval_us
            return [self.timers.start(delay_us, RouterTimer.RESUBSCRIBE_MEMBERSHIP)]
        return []

    def _forget_departed(self) -> None:
        """Drop departed servers without attempts in flight: replacements get new ids, so old entries stay unused."""
        for server, stats in list(self.servers.items()):
            if server not in self.membership.all and not stats.in_flight + stats.fills_in_flight:
                del self.servers[server]
                self.slow_start.sent.pop(server, None)
