"""Claims a /16 of 127.0.0.0/8 for a cluster, so that two clusters on one machine never share an address.

The claim is a socket with an abstract name (unix(7)): the kernel releases it when the process ends for any reason.
"""

from __future__ import annotations

import os
import socket

FIRST_BLOCK = 10
BLOCKS = 200
CLAIM_NAME = "\0rookbend-scene-"


class NoFreeAddressBlockError(Exception):
    """Clusters on this machine use all blocks."""


class AddressBlock:
    """A claimed block; `prefix` is the first two numbers of its addresses, such as "127.17"."""

    def __init__(self) -> None:
        """Claims a free block; the search starts at the process id modulo the count. Raises NoFreeAddressBlockError."""
        self._claim = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        for offset in range(BLOCKS):
            self.prefix = f"127.{FIRST_BLOCK + (os.getpid() + offset) % BLOCKS}"
            try:
                self._claim.bind(CLAIM_NAME + self.prefix)
            except OSError:
                continue  # claimed by another cluster
            return
        self._claim.close()
        raise NoFreeAddressBlockError(f"all {BLOCKS} blocks are in use")

    def release(self) -> None:
        """Releases the claim, so that another cluster can use the block."""
        self._claim.close()
