"""Thin trio drivers: they read and write sockets and leave every decision to the core."""
