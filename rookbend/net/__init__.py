"""Thin trio drivers: they read and write sockets and leave all decisions to the core."""
