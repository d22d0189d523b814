"""The tests; `tests/director_scenario.py` has the scenario language, `tests/router_harness.py` a decision module by itself."""
