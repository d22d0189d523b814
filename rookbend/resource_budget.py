"""Divides a director's file descriptors and memory between clients and members, and between its processes."""

from __future__ import annotations

from rookbend.platform_settings import ProcessLimits

OWN_DESCRIPTORS = 40  # listeners, the coordinator's connection and the event loop
CLIENT_DESCRIPTORS_DIVISOR = 3  # clients may use this part of the descriptors: one third
MIN_MEMBER_CONNECTIONS = 16
INPUT_MEMORY_DIVISOR = 4  # requests may hold this part of the memory that was free at the start: a quarter
MIN_INPUT_MEMORY_DIVISOR = 64  # and at least this part of all memory
UNSENT_MEMORY_DIVISOR = 4  # answers that clients have not read may use this part of the memory: a quarter
BYTES_PER_MB_SHIFT = 20


class ResourceBudget:
    """The bounds that follow from the process limits.

    `processes` is the number of this director's processes, which share the limits during an upgrade.
    """

    def __init__(self, limits: ProcessLimits) -> None:
        self.limits = limits
        self.component_descriptors = 0  # reserved for the optional components, set once they are built

    @property
    def memory_bytes(self) -> int:
        """The memory limit."""
        return self.limits.memory_mb << BYTES_PER_MB_SHIFT

    @property
    def max_clients(self) -> int:
        """The maximum of client connections to all processes of this director together."""
        return self.limits.sockets // CLIENT_DESCRIPTORS_DIVISOR

    def max_input_bytes(self, resident_bytes: int, processes: int = 1) -> int:
        """The maximum of bytes that requests hold in one process: unfinished ones, and the bodies of open ones.

        `resident_bytes` is the memory that the process takes without any.
        """
        memory_bytes = self.memory_bytes // processes
        free_bytes = memory_bytes - resident_bytes
        return max(memory_bytes // MIN_INPUT_MEMORY_DIVISOR, free_bytes // INPUT_MEMORY_DIVISOR)

    def max_unsent_bytes(self, processes: int = 1) -> int:
        """The maximum of answer bytes of one process that clients have not read yet."""
        return self.memory_bytes // UNSENT_MEMORY_DIVISOR // processes

    def max_member_connections(self, processes: int = 1) -> int:
        """The maximum of member connections of one process: the descriptors not reserved for other uses."""
        member_descriptors = (self.limits.sockets - self.max_clients) // processes
        return max(MIN_MEMBER_CONNECTIONS, member_descriptors - OWN_DESCRIPTORS - self.component_descriptors)
