"""Each kind of fault in a timeline begins and ends on real processes, and the fleet serves afterwards."""

import trio

from rookbend.testing.cluster import open_cluster

TIMELINE = """
[failure power]
    kind power
    part c0
    at   0s
    for  200ms
[failure kill]
    kind kill
    part c2
    at   50ms
    for  200ms
[failure freeze]
    kind freeze
    part n0
    at   100ms
    for  150ms
[failure vanish]
    kind vanish
    part c1
    at   100ms
    for  300ms
[failure wire]
    kind cut-between
    part n0>n1
    at   300ms
    for  200ms
[failure clock]
    kind clock
    part n0
    at   300ms
    for  200ms
    by   2s
    back yes
[failure disk]
    kind disk
    part n0
    at   350ms
    for  200ms
    says full
[failure drop]
    kind drop
    part n0
    at   350ms
    for  200ms
    share 50%
[failure lists]
    kind cut
    part coordinator
    at   400ms
    for  300ms
    by   1s
[failure reload]
    kind hup
    part n0
    at   450ms
[failure stop]
    kind term
    part n1
    at   1500ms
    for  100ms
"""
BEGAN_AND_ENDED = [
    ("power", "off c0"),
    ("power", "off c2"),
    ("n0", "SIGSTOP"),
    ("n0", "SIGCONT"),
    ("c1", "vanished"),
    ("c1", "there again"),
    ("n0>n1", "cut"),
    ("n0>n1", "healed"),
    ("n0", "clock -2s rate 1"),
    ("n0", "clock +0s rate 1"),
    ("n0", "disk full"),
    ("n0", "disk well"),
    ("coordinator", "away"),
    ("coordinator", "back"),
    ("n0", "SIGHUP"),
    ("n1", "SIGTERM"),
]


def test_each_kind_of_fault_begins_and_ends():
    async def main():
        async with open_cluster(directors=2, caches=3, rate=20) as cluster:
            await cluster.start()
            await cluster.wait_until_admitted()
            await cluster.play(TIMELINE)
            noted = {(who, more) for _, what, who, more in cluster.record.rows if what == "fault"}
            assert [fault for fault in BEGAN_AND_ENDED if fault not in noted] == []
            assert cluster.nodes["n1"].start_count == 2
            await cluster.wait_until_admitted()
            await cluster.wait_for_served(10)

    trio.run(main)
