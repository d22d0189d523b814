"""rookbend: a request director in front of caches of large objects. The router makes its decisions."""

from rookbend.interface import Settings
from rookbend.routing import Router

__all__ = ["Router", "Settings"]
