"""Signals that arrive while a director shuts down do not change its exit code 0."""

import signal

import pytest
import trio

from rookbend.testing.cluster import open_cluster

EVERY_S = 0.001


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGINT])
def test_a_signal_at_any_time_during_shutdown_does_not_change_the_exit_code(number):
    # Guards against a SIGHUP after the drain that kills the process.
    async def main():
        async with open_cluster(directors=1, caches=1) as cluster:
            await cluster.start()
            await cluster.wait_until_admitted()
            node = cluster.nodes["n0"]
            node.signal(signal.SIGTERM)
            while node.running:
                node.process.send_signal(number)
                await trio.sleep(EVERY_S)
            assert await node.wait_for_exit() == 0

    trio.run(main)
