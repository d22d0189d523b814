"""The component behind the operators' endpoint: exclusions, metrics and upgrades of the program."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

import trio

from rookbend.core.model import MembershipChange
from rookbend.interface import MemberState
from rookbend.net.component import Component, ComponentContext
from rookbend.net.listeners import Listeners
from rookbend.net.operator_endpoint import MAX_CONNECTIONS, OperatorEndpoint
from rookbend.net.upgrade import Upgrade
from rookbend.operations import metrics_text, persisted_state
from rookbend.operations.exclusions import ExclusionResult, Exclusions
from rookbend.operations.persisted_state import PersistedState, PersistedStateError
from rookbend.protocol.coordinator_stream import split_address
from rookbend.protocol.operator_api import OperatorApi

UPGRADE_DESCRIPTORS = 4  # links to two other processes of this director, and accepted sockets not linked yet


class PersistedStateFile:
    """The file in `$TMPDIR` that stores exclusions for the next process; each change replaces the whole file."""

    def __init__(self, folder: str, name: str, log: Callable[..., None]):
        self.path = Path(folder) / f"rookbend.{name}.kept"
        self.name = name
        self.log = log

    def read(self) -> PersistedState:
        """The stored state, or an empty one if there is no usable file."""
        try:
            with open(self.path, "rb") as file:
                return persisted_state.decode(file.read(persisted_state.MAX_SIZE_BYTES), self.name)
        except FileNotFoundError:
            pass
        except (OSError, PersistedStateError) as error:
            self.log("exclusions_unusable", "error", path=str(self.path), reason=str(error))
        return PersistedState(self.name)

    def write(self, exclusions: Exclusions) -> None:
        """Replaces the file. If that fails, the exclusions still apply here and in the other process."""
        state = PersistedState(self.name, excluded=list(exclusions.excluded), included_us=dict(exclusions.included_us))
        temporary = f"{self.path}.{os.getpid()}"
        try:
            with open(temporary, "wb") as file:
                file.write(persisted_state.encode(state))
            os.replace(temporary, self.path)
        except OSError as error:
            self.log("exclusions_unwritten", "error", path=str(self.path), reason=str(error))


class OperationsComponent(Component):
    """Owns the exclusions, and applies them to memberships between the coordinator's watch and the next consumer."""

    descriptors = MAX_CONNECTIONS + UPGRADE_DESCRIPTORS

    def __init__(self, context: ComponentContext):
        self.context = context
        self.upgrade: Upgrade | None = None
        self.file: PersistedStateFile | None = None
        previous_state = PersistedState(context.config.name)
        folder = os.environ.get("TMPDIR", "")
        if folder:
            self.upgrade = Upgrade(folder, context.config.name, context.clock, context.log, context.listeners)
            self.upgrade.on_exclusion = self._exclusion_of_other_process
            self._share_write_ids(self.upgrade)
            context.listeners.shared = True
            self.file = PersistedStateFile(folder, context.config.name, context.log)
            previous_state = self.file.read()
        # Another process has written these times, maybe before the system's clock was stepped back.
        now_us = context.clock.now()
        included_us = {name: min(time_us, now_us) for name, time_us in previous_state.included_us.items()}
        self.exclusions = Exclusions(previous_state.excluded, included_us)
        # Applied before the health component, which sees an exclusion like a state set by the membership.
        self._forward_membership = context.watch.membership_changed
        context.watch.membership_changed = self._membership_changed
        self.api = OperatorApi(context.phase, self.metrics, self.set_excluded)
        self.endpoint: OperatorEndpoint | None = None

    def _share_write_ids(self, upgrade: Upgrade) -> None:
        """A write that may have run at one process of this director is not sent again by another."""
        recent_ids = self.context.engine.requests.recent_ids
        recent_ids.on_write_start = upgrade.send_ids
        recent_ids.receive_ids = upgrade.receive_now
        upgrade.on_ids = recent_ids.add_of_other_process
        upgrade.known_ids = recent_ids.writes_left_ms

    def open(self, listeners: Listeners) -> None:
        """Opens the listening socket of the endpoint."""
        listener = listeners.tcp(split_address(self.context.config.operator))
        self.endpoint = OperatorEndpoint(self.context, listener, self.api)

    def start(self, nursery: trio.Nursery) -> None:
        """Starts to answer requests, and to wait for a successor process."""
        assert self.endpoint is not None  # `open` comes before `start`
        self.endpoint.start(nursery)
        if self.upgrade is not None:
            nursery.start_soon(self.upgrade.run)

    def shutdown(self) -> None:
        """Ends the upgrade's part, as the process ends."""
        if self.upgrade is not None:
            self.upgrade.shutdown()

    def finish_all(self) -> None:
        """See `OperatorEndpoint.finish_all`."""
        if self.endpoint is not None and not self.has_successor:
            self.endpoint.finish_all()

    @property
    def unfinished(self) -> int:
        """See `OperatorEndpoint.unfinished`."""
        return self.endpoint.unfinished if self.endpoint is not None else 0

    # Exclusions

    def _membership_changed(self, change: MembershipChange) -> None:
        self._forward_membership(self.exclusions.apply(change))

    def set_excluded(self, member: str, exclude: bool) -> str:
        """Carries out an operator's request; returns "" once it is in effect here, or what is wrong with it."""
        result = self.exclusions.set_excluded(member, exclude, self.context.clock.now())
        self._carry_out(member, exclude, result)
        if result.changed and self.upgrade is not None:
            self.upgrade.send_exclusion(member, exclude)
        return result.error

    def _exclusion_of_other_process(self, member: str, exclude: bool) -> bool:
        """Carries out a request that another process of this director received; returns whether it changed anything."""
        result = self.exclusions.adopt(member, exclude, self.context.clock.now())
        self._carry_out(member, exclude, result)
        return result.changed

    def _carry_out(self, member: str, exclude: bool, result: ExclusionResult) -> None:
        if not result.changed:
            return
        if result.change is not None and result.change.endpoints:
            self._forward_membership(result.change)
        if self.file is not None:
            self.file.write(self.exclusions)
        self.context.log("maintenance", "warning", member=member, out=exclude)

    # Metrics

    def metrics(self) -> bytes:
        """Counters and gauges in the format of the operators' endpoint."""
        engine = self.context.engine
        counters = self.context.counters
        lines = []
        for name in dict.fromkeys(traffic_class.name for traffic_class in engine.settings.classes):
            lines += metrics_text.requests_by_class(name, counters.by_class)
        lines += [
            ("attempts", engine.backend.written),
            ("reloads_ok", counters.reloads_ok),
            ("reloads_failed", counters.reloads_failed),
        ]
        known, excluded = self._count_caches()
        gauges = [("in_flight", engine.open_requests), ("caches_known", known), ("caches_excluded", excluded)]
        return metrics_text.render(lines, gauges)

    def _count_caches(self) -> tuple[int, int]:
        """The number of listed caches, and of those not used because of the membership, an operator or an ejection."""
        engine = self.context.engine
        other_kinds = (engine.settings.parent_kind, engine.settings.origin_kind)
        now = engine.clock.now()
        caches = [e.member for e in engine.endpoints.values() if e.member.kind not in other_kinds]
        router = engine.router
        excluded = sum(
            member.state is not MemberState.READY or router.is_ejected(member.server, now) for member in caches
        )
        return len(caches), excluded
