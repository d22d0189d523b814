"""One leader at a time for work on behalf of the fleet: leases granted by a majority of voters, and fencing tokens.

Pure: state machines without input and output; `rookbend.net.leases` drives them. docs/OWNERSHIP.md tells which
task is guarded by what.

`coordinator`        the state machine of one director: holds the parts below and passes them events
`events`, `actions`  what it is fed and what it answers with
`voter`, `lease`, `voter_configuration`, `fencing`   the rules of the protocol, without messages
`voting`, `election`, `renewal`, `handover`, `rebalancing`, `leader_discovery`   the parts that run leases
`order_*`, `fleet_report`, `ramp_allocation`, `shard_results`, `sharded_checks`   the tasks of a leader
"""
