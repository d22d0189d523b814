"""sorrelrill: the decisions of a router in front of caches of large objects."""

from sorrelrill.interface import Settings
from sorrelrill.logic import Router

__all__ = ["Router", "Settings"]
