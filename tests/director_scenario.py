"""A director on loopback, stand-ins for its clients, members and other peers, and the scenario language that scripts them.

A scenario has one step per line: ACTOR VERB WORDS. The verbs are send, expect, close and wait. The clock is
trio's MockClock: it jumps ahead when all tasks wait, so an `expect` that nothing satisfies fails at once.

    client send request 1 video obj=7f3a9c21e0b4d655 budget=1500
    cache1 expect do c=video k=7f3a9c21e0b4d655
    cache1 send ok note=mem body=hello
    client expect served 1 hello
"""

import json
from contextlib import asynccontextmanager

import msgspec
import trio
import trio.testing

from rookbend.config import Config
from rookbend.health.events import OrderReceived
from rookbend.health.model import Order
from rookbend.service import Service
from rookbend.settings import parse
from rookbend.testing.health_agents import listen_on_shared_port
from rookbend.testing.measurement_settings import SETTINGS
from tests.dns_stand_ins import Agent, BalancerProbe, DnsClient, Resolver
from tests.platform_stand_ins import OBJ, TIMEOUT_S, Client, Coordinator, MemberServer

__all__ = ["OBJ", "SETTINGS", "START_UNIX_S", "director_harness", "play", "run_with_director"]
START_UNIX_S = 1_764_576_000.0
HOSTS = {"cache1": "127.0.0.11", "cache2": "127.0.0.12", "upper": "127.0.0.21", "records": "127.0.0.31"}
ROLES = {"upper": ("hub", "parent"), "records": ("hub", "origin")}
OPERATOR_SETTINGS = """
[dns]
    listen 127.0.0.1:0
    resolver 127.0.0.1:{resolver}
    {dns}
[agent-server]
    listen 127.0.0.1:0
[http-server]
    listen 127.0.0.1:0
[grpc-server]
    listen 127.0.0.1:0
{more}
"""


class DirectorHarness:
    """One director in this process and the actors of a scenario by name."""

    def __init__(self, nursery):
        self.nursery, self.ports, self.draining = nursery, {}, set()
        self.clock_step_s = 0.0
        self.actors = {
            "client": Client(self),
            "other": Client(self),
            "coordinator": Coordinator(self),
            "coordinator2": Coordinator(self),
            "dns": DnsClient(self),
            "resolver": Resolver(self),
            "health": BalancerProbe(self),
        }
        for number, (name, host) in enumerate(HOSTS.items(), 1):
            self.actors[f"agent{number}"] = Agent(self, host)
            self.actors[name] = MemberServer(self)
            self.actors[name].host = host

    def unix(self):
        """The wall clock of the director and of the coordinator, which `clock_step_s` steps."""
        return START_UNIX_S + trio.current_time() + self.clock_step_s

    def member(self, name, phase="SERVING"):
        zone, flavor = ROLES.get(name, ("edge", "standard"))
        return {
            "id": name,
            "host_port": f"{HOSTS[name]}:{self.ports[self.actors[name]]}",
            "locality": zone,
            "flavor": flavor,
            "phase": phase,
            "size": 50.0,
        }

    async def open(
        self, members, max_connections=None, operators="", dns="", settings=SETTINGS, operator="", catches_up=True
    ):
        """Opens the actors and the director. Unless it `catches_up`, the coordinator does not answer yet."""
        for name in (*HOSTS, "coordinator", "coordinator2", "dns", "resolver"):
            await self.actors[name].open()
        if not catches_up:
            self.actors["coordinator"].answering = trio.Event()
        agents = [a.health_agent for a in self.actors.values() if isinstance(a, Agent)]
        operators = operators.replace("AGENTS", str(await listen_on_shared_port(agents, self.nursery)))
        known = {
            "index": 1,
            "updates": [{"index": 1, "endpoints": {"complete": True, "members": [self.member(m) for m in members]}}],
        }
        config = msgspec.convert(
            {
                "name": "n0",
                "listen": "127.0.0.1:0",
                "operator": operator,
                "seed": "7",
                "known": known,
                "coordinator": f"127.0.0.1:{self.actors['coordinator'].port}",
                "settings": settings,
            },
            Config,
        )
        self.config = config
        self.operators = parse(
            OPERATOR_SETTINGS.format(resolver=self.actors["resolver"].address[1], more=operators, dns=dns), "test"
        )
        self.service = Service(config, self.operators, self.unix, lambda before: (self.config, self.operators))
        if max_connections is not None:
            self.service.budget.max_member_connections = lambda processes=1: max_connections
        self.done = trio.Event()
        self.nursery.start_soon(self.run)
        await self.service.ready.wait()
        await self.actors["coordinator"].expect(["call"])
        while catches_up and not self.service.watch.catch_up.is_complete:
            await trio.sleep(0.01)

    async def run(self):
        await self.service.run()
        self.done.set()

    def reload(self, coordinator):
        address = f"127.0.0.1:{self.actors[coordinator].port}"
        self.config = msgspec.structs.replace(self.config, coordinator=address)
        self.service.reload()

    def submit_order(self, _, order, name):
        """Gives an operator's order to the health service, as the admin listener does."""
        service = self.service.health.service
        service.feed(OrderReceived(service.find(name), Order(order), "test"))

    def state(self, name):
        """The health state of a member: (state, weight, cause)."""
        row = next(r for r in self.service.health.service.table() if r["member"] == name)
        return row["state"], row["weight"], row["cause"]

    async def send_members(self, coordinator, *lines):
        """Sends a membership event with these members from a coordinator."""
        coordinator.index += 1
        event = {"index": coordinator.index, "endpoints": {"members": lines}}
        await coordinator.write(coordinator.streams[-1], f"data: {json.dumps(event)}\n\n".encode())

    async def wait_for_state(self, name, *states):
        """Waits until the member is in one of these states."""
        with trio.fail_after(TIMEOUT_S):
            while self.state(name)[0] not in states:
                await trio.sleep(0.05)

    async def play(self, scenario):
        for actor, verb, *words in filter(None, map(str.split, scenario.splitlines())):
            if verb == "wait":
                await (self.wait_for_state(actor, *words) if actor in HOSTS else trio.sleep(float(words[0])))
            elif actor == "director":
                if verb == "close":
                    self.service.stop()
                elif verb == "send":
                    self.submit_order(*words) if words[0] == "order" else self.reload(words[1])
                else:
                    with trio.fail_after(TIMEOUT_S):
                        await self.done.wait()
            elif words == ["nothing"]:
                await self.actors[actor].expect_nothing()
            else:
                step = getattr(self.actors[actor], verb)
                await (step() if verb == "close" else step(words))


@asynccontextmanager
async def director_harness(members=("cache1", "upper", "records"), component_faults=0, **changes):
    """Runs a director and its actors. `component_faults` is the number of faults that the test plants.

    Any other number of contained faults fails the test, so that containment can't hide an unexpected one.
    """
    async with trio.open_nursery() as nursery:
        harness = DirectorHarness(nursery)
        await harness.open(members, **changes)
        yield harness
        assert harness.service.counters.component_faults == component_faults
        nursery.cancel_scope.cancel()


def play(scenario, **options):
    """Plays a scenario to its end; returns the service, so that the test can check its counters."""

    async def steps(harness):
        await harness.play(scenario)
        return harness.service

    return run_with_director(steps, **options)


def run_with_director(steps, **options):
    """Runs `steps(harness)` with a director under a MockClock; returns what it returns."""

    async def main():
        async with director_harness(**options) as harness:
            return await steps(harness)

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
