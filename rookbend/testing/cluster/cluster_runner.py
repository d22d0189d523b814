"""Opens a cluster, ends it with all its processes, and keeps the files of a failed one."""

from __future__ import annotations

import tempfile
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from rookbend.testing.cluster import failure_record
from rookbend.testing.cluster.process_cluster import ProcessCluster
from rookbend.testing.cluster.shared_state import MemberProfile


@asynccontextmanager
async def open_cluster(
    directors: int = 3,
    caches: int = 4,
    parents: int = 1,
    seed: int = 7,
    operators: str | Callable[[str], str] = "",
    rate: float = 0.0,
    profiles: dict[str, MemberProfile] | None = None,
    checkout: Path | None = None,
    folder: Path | None = None,
    notice_s: float = 1.0,
) -> AsyncIterator[ProcessCluster]:
    """Opens a cluster without starting its directors. `rate` is the clients' total of requests per second, sent from
    the first admission on. `operators` is text for the operators' settings of all directors, or a function from
    director to text. In it `{state}` is a folder that outlives the process, `{dns}` the address for its DNS front,
    `{resolver}` a stand-in resolver with that director's member addresses, `{ledger}` the stand-in ledger's address."""
    with tempfile.TemporaryDirectory(prefix="rookbend-stage-") as made:
        cluster: ProcessCluster | None = None
        try:
            async with trio.open_nursery() as nursery:
                cluster = ProcessCluster(
                    nursery,
                    folder or Path(made),
                    directors,
                    caches,
                    parents,
                    seed,
                    operators,
                    rate,
                    profiles or {},
                    checkout,
                    notice_s,
                )
                await cluster.open()
                if rate:
                    nursery.start_soon(_when_admitted, cluster)
                try:
                    yield cluster
                    cluster.assert_no_component_fault()
                finally:
                    with trio.CancelScope(shield=True):
                        cluster.front.running.cancel()
                        await cluster.stop()
                nursery.cancel_scope.cancel()
        except Exception as error:
            if cluster is not None:
                failure_record.annotate(error, cluster)
            raise


async def _when_admitted(cluster: ProcessCluster) -> None:
    while not any(t.admitted for t in cluster.front.targets.values()):
        await cluster.front.changed.wait()
    cluster.record.note("fault", "clients", "begin")
    await cluster.front.run()
