"""The Unix socket on which a process of a director waits for its successor."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable
from pathlib import Path

import trio

RETRY_S = 1
MAX_PATH_BYTES = 100  # bytes of a Unix socket's path, less than the kernel's 108


class UpgradeListener:
    """Listens at `path`, which a successor takes over once it serves."""

    def __init__(self, path: Path, log: Callable[..., None]) -> None:
        self.path = path
        self.log = log
        self._listener: socket.socket | None = None

    def open(self) -> None:
        """Starts listening: from now on a new process requests its sockets from this one."""
        self.close()
        if len(os.fsencode(self.path)) > MAX_PATH_BYTES:
            return self.log("upgrade_unable", "warning", reason=f"the path is too long: {self.path}")
        sock, fresh = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM), f"{self.path}.{os.getpid()}"
        try:
            Path(fresh).unlink(missing_ok=True)
            sock.bind(fresh)
            sock.listen(8)
            sock.setblocking(False)
            os.replace(fresh, self.path)
            self._listener = sock
        except OSError as error:
            sock.close()
            self.log("upgrade_unable", "error", reason=str(error))

    def shutdown(self) -> None:
        """Stops listening, and removes the path unless another process listens there."""
        self.close()
        if not self.is_listening():
            self.path.unlink(missing_ok=True)

    def is_listening(self) -> bool:
        """Whether a process listens at the path, which must then not be taken from it. A predecessor that hung when its
        sockets were requested learns of its successor only long after that has started on its own sockets."""
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
            probe.setblocking(False)
            try:
                probe.connect(str(self.path))
            except BlockingIOError:
                return True  # its backlog is full, so it listens
            except OSError:
                return False
            return True

    def close(self) -> None:
        """Stops listening: a new process can no longer request the sockets."""
        if self._listener is not None:
            trio.lowlevel.notify_closing(self._listener)
            self._listener.close()
            self._listener = None

    async def accept(self) -> socket.socket:
        """The next connection of a new process; listens first if needed."""
        while True:
            if self._listener is None:
                self.open()
            listener = self._listener
            if listener is None:  # the socket could not be bound
                await trio.sleep(RETRY_S)
                continue
            try:
                await trio.lowlevel.wait_readable(listener)
                return listener.accept()[0]
            except (OSError, trio.ClosedResourceError):
                await trio.sleep(RETRY_S)
