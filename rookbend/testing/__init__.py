"""Test doubles of external systems, simulations and checkers, shared by tests and benchmarks.

The test doubles follow the public specifications of the systems and inject faults on request. The director never
imports this package.
"""
