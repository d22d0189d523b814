"""Test clusters with recovery enabled, for several test files."""

from contextlib import asynccontextmanager

from rookbend.testing.cluster import open_cluster

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
    """Opens a cluster that serves requests, and checks all invariants at the end of the test."""
    async with open_cluster(directors=directors, caches=3, rate=rate, operators=operators, **more) as cluster:
        await cluster.start()
        await cluster.wait_until_admitted()
        yield cluster
        cluster.front.running.cancel()
        cluster.check_invariants()


async def wait_until_all_reach(cluster, stage_name="serving", names=None):
    for name in names or cluster.names:
        await cluster.nodes[name].wait_for_log("recovery_stage", stage=stage_name)


def logged(cluster, name, event, **fields):
    return cluster.nodes[name].find_logs(event, **fields)


def order_of_member(found, member):
    return next(row["order"] for row in found["members"] if row["member"] == member)


async def wait_until_orders_replicated(cluster, owner_name):
    """Waits until every director holds all orders of the owner, so that any peer can return them."""
    owner = (await cluster.admin_request(owner_name, "/recovery"))["digests"]["order"]
    for name in cluster.names:
        await cluster.wait_for_answer(name, "/recovery", lambda found: found["digests"]["order"] == owner)
