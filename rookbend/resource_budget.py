"""How a director divides its descriptors and its memory: between clients and members, and between processes."""

from __future__ import annotations

from rookbend.platform_settings import ProcessLimits

OWN_DESCRIPTORS = 40  # listeners, the coordinator, the event loop's own
CLIENT_DESCRIPTORS_DIVISOR = 3  # clients may hold one descriptor in so many
MIN_MEMBER_CONNECTIONS = 16
UNSENT_MEMORY_DIVISOR = 4  # bytes not yet taken by clients may fill one byte of memory in so many
BYTES_PER_MB_SHIFT = 20


class ResourceBudget:
    """Bounds that follow from the limits. During an upgrade `processes` of this director keep to them together."""

    def __init__(self, limits: ProcessLimits) -> None:
        self.limits = limits
        self.component_descriptors = 0  # reserved for the optional components, once they are known

    @property
    def memory_bytes(self) -> int:
        """All the memory that the limits allow."""
        return self.limits.memory_mb << BYTES_PER_MB_SHIFT

    @property
    def max_clients(self) -> int:
        """Connections of clients, to all processes of this director together."""
        return self.limits.sockets // CLIENT_DESCRIPTORS_DIVISOR

    def max_unsent_bytes(self, processes: int = 1) -> int:
        """Bytes of answers that clients have not taken yet, of one process."""
        return self.memory_bytes // UNSENT_MEMORY_DIVISOR // processes

    def max_member_connections(self, processes: int = 1) -> int:
        """Connections to members, of one process: what clients and components leave of the descriptors."""
        member_descriptors = (self.limits.sockets - self.max_clients) // processes
        return max(MIN_MEMBER_CONNECTIONS, member_descriptors - OWN_DESCRIPTORS - self.component_descriptors)
