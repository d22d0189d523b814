"""Explicit-state search over the program's own pure machines, under a model of network, clocks and disks."""
