"""The tests: `tests/director_scenario.py` defines the scenario language, `tests/router_harness.py` runs a router by itself."""
