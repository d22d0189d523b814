"""Opens a scene, ends it and all that it started, and keeps what a failed one leaves behind."""

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
    """An open scene, whose directors are not started yet. With a `rate` clients ask so often a second, all
    together, from the first admission on. `operators` is the settings' text of all, or by name; in it
    `{state}` is a folder that outlives the process, `{dns}` where its DNS front may listen, `{resolver}` a
    stand-in that knows the members as that director does, `{ledger}` where it reaches the stand-in ledger."""
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
