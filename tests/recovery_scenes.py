"""Fleets of processes with recovery, for the tests of several files."""

from contextlib import asynccontextmanager

from rookbend.testing.cluster import stage

RECOVERY = """
[state]
    folder {state}
    fleet  f1
[recovery]
    first-rate 300
    full-rate  400
[health]
"""


@asynccontextmanager
async def fleet(directors=3, rate=60.0, operators=RECOVERY, **more):
    """A fleet that serves; the rules are judged at its end whatever the test looked at."""
    async with stage(directors=directors, caches=3, rate=rate, operators=operators, **more) as scene:
        await scene.start()
        await scene.admitted()
        yield scene
        scene.front.running.cancel()
        scene.verdict()


async def all_reach(scene, what="serving", names=None):
    for name in names or scene.names:
        await scene.nodes[name].said("recovery_stage", stage=what)


def told(scene, name, event, **fields):
    return scene.nodes[name].heard(event, **fields)


def order_on(found, member):
    return next(row["order"] for row in found["members"] if row["member"] == member)


async def same_orders(scene, owner_name):
    """Waits until every director holds the orders of all: what a peer can give back."""
    owner = (await scene.ask(owner_name, "/recovery"))["digests"]["order"]
    for name in scene.names:
        await scene.until_told(name, "/recovery", lambda found: found["digests"]["order"] == owner)
