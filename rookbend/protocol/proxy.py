"""The PROXY protocol's version 2 header (The PROXY protocol, section 2.2), as the connecting side sends it."""

from __future__ import annotations

import ipaddress
import struct

SIGNATURE = b"\r\n\r\n\0\r\nQUIT\n"
LOCAL, PROXY = 0x20, 0x21  # version 2, and the command
TCP4, TCP6, UNSPEC = 0x11, 0x21, 0x00


def local_header() -> bytes:
    """For a connection of the sender's own, such as a health check: the receiver uses its real endpoints."""
    return SIGNATURE + struct.pack(">BBH", LOCAL, UNSPEC, 0)


def proxy_header(source: tuple[str, int], destination: tuple[str, int]) -> bytes:
    """For a TCP connection on behalf of `source`. Raises ValueError if the address families differ."""
    source_ip, destination_ip = ipaddress.ip_address(source[0]), ipaddress.ip_address(destination[0])
    if source_ip.version != destination_ip.version:
        raise ValueError("source and destination are of different address families")
    body = source_ip.packed + destination_ip.packed + struct.pack(">HH", source[1], destination[1])
    family = TCP4 if source_ip.version == 4 else TCP6
    return SIGNATURE + struct.pack(">BBH", PROXY, family, len(body)) + body
