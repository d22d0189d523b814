"""The thread that writes batches to the disk."""

from __future__ import annotations

import contextlib
import queue
import threading
from collections.abc import Callable

import apsw

from rookbend.state.disk import Disk
from rookbend.state.ledger import Batch


class Writer:
    """Starts the writer thread. `ended(number, fault)` is called in that thread and must notify the event loop."""

    def __init__(self, disk: Disk, ended: Callable[[int, str], None]):
        self._disk = disk
        self._ended = ended
        self._queue: queue.SimpleQueue[Batch | int | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="state-writer", daemon=True)
        self._thread.start()

    def write(self, batch: Batch) -> None:
        """Queues a batch."""
        self._queue.put(batch)

    def raise_boot_number(self, boot_number: int) -> None:
        """Queues a higher boot number. If the disk refuses it, peers report it again after the next start."""
        self._queue.put(boot_number)

    def _run(self) -> None:
        while (work := self._queue.get()) is not None:
            if isinstance(work, Batch):
                self._ended(work.number, self._disk.write(work))
            else:
                with contextlib.suppress(apsw.Error):
                    self._disk.raise_boot_number(work)

    def stop(self) -> None:
        """Stops the thread after it has written everything queued. Blocks until then."""
        self._queue.put(None)
        self._thread.join()
