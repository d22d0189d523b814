"""Slow start: how much work a server that has just started may be sent while its cache warms up."""

from __future__ import annotations

from collections import deque

from rookbend.interface import Member, Settings
from rookbend.routing.membership import Membership
from rookbend.routing.rendezvous_hash import mix

BUDGET_USE_RATIO = 0.7  # share of the configured overload multiple that is used
MAX_BUDGET_CAPACITY_RATIO = 1.7  # upper bound of the budget, relative to the capacity at the start of the window
RESTART_BUDGET_RATIO = 0.5  # share of the budget while work sent before this router's restart is unknown


class SlowStart:
    """Work sent to each server over the overload window, and the budget of servers that are warming up.

    Work is the expected transfer time, in microseconds. `router_started_us` is the time of this router's first
    event; `sender_count` is the number of its processes that send requests.
    """

    def __init__(self, settings: Settings, membership: Membership) -> None:
        self.settings = settings
        self.membership = membership
        self.sent: dict[int, deque[tuple[int, float]]] = {}  # by server: (sent_us, work_us)
        self.router_started_us = 0
        self.sender_count = 1

    def charge(self, server: int, now_us: int, work_us: float) -> None:
        """Record work that is sent to a server."""
        log = self.sent.setdefault(server, deque())
        log.append((now_us, work_us))
        oldest_us = now_us - self.settings.overload_window_us
        while log[0][0] < oldest_us:
            log.popleft()

    def work_in_window(self, server: int, now_us: int) -> float:
        """Work sent to a server over the last window."""
        oldest_us = now_us - self.settings.overload_window_us
        return sum(work_us for sent_us, work_us in self.sent.get(server, ()) if sent_us >= oldest_us)

    def capacity_ratio(self, member: Member, now_us: int) -> float:
        """Share of its full capacity that a server is certain to have, which grows linearly during warm-up."""
        if not member.started_us or member.kind == self.settings.origin_kind:
            return 1.0
        if member.kind == self.settings.parent_kind:
            cold_ratio = self.settings.parent_cold_capacity_ratio
            warm_up_us = self.settings.parent_warm_up_us
        else:
            cold_ratio = self.settings.cold_capacity_ratio
            warm_up_us = self.settings.warm_up_us
        age_us = now_us - member.started_us
        if age_us >= warm_up_us:
            return 1.0
        return cold_ratio + (1 - cold_ratio) * max(age_us, 0) / warm_up_us

    def admits(self, member: Member, now_us: int, work_us: float) -> bool:
        """Whether a server may get this much work now. A warm server has no limit."""
        if not member.started_us or self.capacity_ratio(member, now_us) >= 1.0:
            return True
        budget_us = self._budget_us(member, now_us, work_us)
        return self.work_in_window(member.server, now_us) + work_us <= budget_us

    def _budget_us(self, member: Member, now_us: int, work_us: float) -> float:
        """This router's share of the work that the server may get over a window, in microseconds."""
        window_us = self.settings.overload_window_us
        is_parent = member.kind == self.settings.parent_kind
        if is_parent:
            multiple = self.settings.parent_overload_multiple
            router_count = self.settings.router_count
        else:
            multiple = self.settings.overload_multiple
            router_count = self.membership.location_router_count()
        # The capacity at the start of the window applies, since work sent at that time is included in the sum.
        share = self.capacity_ratio(member, max(now_us - window_us, member.started_us))
        share *= self.membership.weight(member) / (router_count * self.sender_count)
        budget_us = min(multiple * BUDGET_USE_RATIO, MAX_BUDGET_CAPACITY_RATIO) * share * window_us
        budget_us *= RESTART_BUDGET_RATIO if now_us - self.router_started_us < window_us else 1.0
        if is_parent and budget_us < work_us:
            return self._ranked_budget_us(member, budget_us, work_us, router_count)
        return budget_us

    def _ranked_budget_us(self, member: Member, budget_us: float, work_us: float, router_count: int) -> float:
        """Budget where each router's share is less than one fill: one whole fill for as many routers as it covers.

        The rank of a router differs by server.
        """
        rank = (self.settings.router_index + mix(member.server)) % router_count + 1
        return work_us if rank * work_us <= budget_us * router_count else 0.0
