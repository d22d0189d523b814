"""One owner at a time for work on behalf of the fleet: leases by a majority of voters, tokens that only grow,
receivers that turn old ones away, and the duties that run on them. Pure; the driver is `net/ownership.py`.
docs/OWNERSHIP.md tells which work is guarded by what."""
