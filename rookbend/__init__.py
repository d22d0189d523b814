"""rookbend: the decisions of a router in front of caches of large objects."""

from rookbend.interface import Settings
from rookbend.routing import Router

__all__ = ["Router", "Settings"]
