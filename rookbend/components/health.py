"""Members' health: the registry of results, the service that applies its verdicts, and the checks."""

from __future__ import annotations

import trio

from rookbend.components.health_policy import health_policy
from rookbend.health.events import PolicyChanged
from rookbend.health.registry import HealthRegistry
from rookbend.health.service import HealthService, role_lookup
from rookbend.net.checks import WATCH, CheckDriver
from rookbend.net.component import Component, ComponentContext
from rookbend.net.scheduling import JobRunner
from rookbend.scheduling import Budget, Scheduler
from rookbend.settings import Settings


class HealthComponent(Component):
    """Filters membership changes between the coordinator's watch and the engine, and runs the configured checks."""

    def __init__(self, context: ComponentContext) -> None:
        settings = context.operators
        engine = context.engine
        background = settings.background
        assert settings.health is not None
        self.clock = context.clock
        self.router_settings = engine.settings  # as of the start: a reload does not change them for the policy
        registry = HealthRegistry(health_policy(settings, self.router_settings), role_lookup(self.router_settings))
        self.service = HealthService(engine, registry, context.log)
        has_watches = any(check.type == "grpc-watch" for check in settings.checks)
        self.descriptors = background.descriptors + (background.watches if has_watches else 0)
        scheduler = Scheduler(
            background.rate,
            Budget(background.running, background.descriptors),
            {WATCH: Budget(background.watches, background.watches)},
            int(context.config.seed, 16),
        )
        self.runner = JobRunner(scheduler, self.clock)
        self.driver = CheckDriver(context, self.service, self.runner, settings.checks)
        self._due_changed = trio.Event()
        self.service.on_due = lambda due_us: self._due_changed.set()
        context.watch.membership_changed = self.service.membership_changed
        context.gauges.append(lambda: {"background_jobs": len(scheduler.jobs), "background_running": scheduler.running})
        if settings.health.passive_fall:
            engine.attempts.on_attempt_end = self.service.attempt_ended

    def start(self, nursery: trio.Nursery) -> None:
        """Starts the timer of the health service and the runner of the checks."""
        nursery.start_soon(self._run_timer)
        nursery.start_soon(self.runner.run)

    async def _run_timer(self) -> None:
        while True:
            self.service.tick()
            self._due_changed = trio.Event()
            with trio.CancelScope() as scope:
                if self.service.due_us:
                    scope.deadline = self.clock.monotonic_at(self.service.due_us)
                await self._due_changed.wait()

    def reload(self, settings: Settings) -> None:
        """Applies the new policy and checks. Health can't be disabled by a reload."""
        if settings.health is None:
            return
        self.service.feed(PolicyChanged(health_policy(settings, self.router_settings)))
        self.driver.replace(settings.checks)
