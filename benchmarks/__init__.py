"""The benchmarks; `python -m benchmarks.NAME` runs one."""
