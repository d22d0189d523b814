"""What makes a director one that operators run day by day: the door and what is called there, members left
out by hand, and upgrades."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

import trio

from rookbend.core.model import MembershipChange
from rookbend.interface import MemberState
from rookbend.net.component import Part, Site
from rookbend.net.listeners import Listeners
from rookbend.net.operator import CALLERS, Door
from rookbend.net.upgrade import Upgrade
from rookbend.operations import metrics_text, persisted_state
from rookbend.operations.exclusions import Bans, Ordered
from rookbend.protocol.coordinator_stream import split_address
from rookbend.protocol.operator import OperatorDesk


class KeptFile:
    """Where the bans are kept for the next process, in `$TMPDIR`; each change is a file written whole."""

    def __init__(self, folder: str, name: str, log: Callable[..., None]):
        self.path, self.name, self.log = Path(folder) / f"rookbend.{name}.kept", name, log

    def read(self) -> persisted_state.Kept:
        try:
            with open(self.path, "rb") as file:
                return persisted_state.read(file.read(persisted_state.LONGEST), self.name)
        except FileNotFoundError:
            pass
        except (OSError, persisted_state.KeptError) as error:
            self.log("kept_unusable", "error", path=str(self.path), reason=str(error))
        return persisted_state.Kept(self.name)

    def write(self, bans: Bans) -> None:
        fresh = f"{self.path}.{os.getpid()}"
        try:
            with open(fresh, "wb") as file:
                file.write(
                    persisted_state.write(persisted_state.Kept(self.name, out=list(bans.out), back_us=bans.back_us))
                )
            os.replace(fresh, self.path)
        except OSError as error:
            # The order stands all the same, here and at a process that serves beside this one.
            self.log("kept_unwritten", "error", path=str(self.path), reason=str(error))


class DailyPart(Part):
    descriptors = CALLERS + 4  # the door's, and the connections to two other processes of this director

    def __init__(self, site: Site):
        self.site = site
        self.upgrade: Upgrade | None = None
        self.file: KeptFile | None = None
        before = persisted_state.Kept(site.config.name)
        folder = os.environ.get("TMPDIR", "")
        if folder:
            self.upgrade = Upgrade(folder, site.config.name, site.clock, site.log, site.listeners)
            self.upgrade.on_ban = self._neighbour
            site.listeners.shared = True
            self.file = KeptFile(folder, site.config.name, site.log)
            before = self.file.read()
        self.bans = Bans(tuple(before.out), before.back_us)
        # In front of whatever weighs the list: a ban is told as the list's own word would be.
        self._told, site.watch.membership_changed = site.watch.membership_changed, self._heard
        self.desk = OperatorDesk(site.phase, self.figures, self.maintain)
        self.door: Door | None = None

    def open(self, listeners: Listeners) -> None:
        listener = listeners.tcp(split_address(self.site.config.operator))
        self.door = Door(listener, self.desk, self.site.clock, self.site.outbox)

    def start(self, nursery: trio.Nursery) -> None:
        self.door.start(nursery)
        if self.upgrade is not None:
            nursery.start_soon(self.upgrade.run)

    def leave(self) -> None:
        if self.upgrade is not None:
            self.upgrade.leave()

    # Maintenance

    def _heard(self, change: MembershipChange) -> None:
        self._told(self.bans.heard(change))

    def maintain(self, member: str, out: bool) -> str:
        """An order at the door; what is wrong with it, or nothing. Once this returns, it binds here."""
        ordered = self.bans.order(member, out, self.site.clock.now())
        self._take(member, out, ordered)
        if ordered.news and self.upgrade is not None:
            self.upgrade.tell_ban(member, out)
        return ordered.fault

    def _neighbour(self, member: str, out: bool) -> bool:
        """The same, as another process of this director was told."""
        ordered = self.bans.adopt(member, out, self.site.clock.now())
        self._take(member, out, ordered)
        return ordered.news

    def _take(self, member: str, out: bool, ordered: Ordered) -> None:
        if not ordered.news:
            return
        if ordered.change is not None and ordered.change.endpoints:
            self._told(ordered.change)
        if self.file is not None:
            self.file.write(self.bans)
        self.site.log("maintenance", "warning", member=member, out=out)

    # Figures

    def figures(self) -> bytes:
        engine, counters = self.site.engine, self.site.counters
        lines = []
        for name in dict.fromkeys(c.name for c in engine.settings.classes):
            lines += metrics_text.by_class(name, counters.by_class)
        lines += [
            ("attempts", engine.backend.written),
            ("reloads_ok", counters.reloads_ok),
            ("reloads_failed", counters.reloads_failed),
        ]
        known, excluded = self._caches()
        return metrics_text.text(
            lines, [("in_flight", engine.open_requests), ("caches_known", known), ("caches_excluded", excluded)]
        )

    def _caches(self) -> tuple[int, int]:
        """Listed caches, and those of them that the director avoids: by the list, by hand or by choice."""
        engine = self.site.engine
        s, now = engine.settings, engine.clock.now()
        caches = [e.member for e in engine.endpoints.values() if e.member.kind not in (s.parent_kind, s.origin_kind)]
        seen = engine.router.servers
        return len(caches), sum(
            m.state is not MemberState.READY or (m.server in seen and seen[m.server].ejected_until_us > now)
            for m in caches
        )
