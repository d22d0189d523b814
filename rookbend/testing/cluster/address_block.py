"""The /16 of 127.0.0.0/8 whose addresses a scene uses: claimed, so that scenes on one machine do not meet.

The claim is a socket with an abstract name (unix(7)): the kernel releases it with the process, however that ends.
"""

from __future__ import annotations

import os
import socket

FIRST_BLOCK = 10
BLOCKS = 200
CLAIM_NAME = "\0rookbend-scene-"


class NoFreeAddressBlockError(Exception):
    """Scenes of this machine use all blocks."""


class AddressBlock:
    """A claimed block; `prefix` is the first two numbers of its addresses, as "127.17"."""

    def __init__(self) -> None:
        """Claims a free block, the first to be tried by the process's id. Raises NoFreeAddressBlockError."""
        self._claim = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        for offset in range(BLOCKS):
            self.prefix = f"127.{FIRST_BLOCK + (os.getpid() + offset) % BLOCKS}"
            try:
                self._claim.bind(CLAIM_NAME + self.prefix)
            except OSError:
                continue  # another scene's
            return
        self._claim.close()
        raise NoFreeAddressBlockError(f"{BLOCKS} blocks are in use")

    def release(self) -> None:
        """Another scene may use the block from now on."""
        self._claim.close()
