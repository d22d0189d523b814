"""rookbend: the decisions of a router in front of caches of large objects."""

from rookbend.interface import Settings
from rookbend.logic import Router

__all__ = ["Router", "Settings"]
