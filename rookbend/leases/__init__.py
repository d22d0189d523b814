"""One leader at a time for work on behalf of the fleet: leases granted by a majority of voters, and fencing tokens.

Pure: state machines without input and output; `rookbend.net.leases` drives them. docs/OWNERSHIP.md tells which
task is guarded by what.

`machine`, `parts`, `message_dispatcher`   the state machine of one director, its parts, and who gets which message
`events`, `actions`   what it is fed and what it answers with
`voter`, `lease`, `lease_table`, `voter_configuration`, `fencing`, `tokens`   the rules, without messages
`voting`, `election`, `renewal`, `handover`, `rebalancing`, `leader_discovery`, `fenced_requests`   running leases
`messenger`, `awaited_rows`, `state`, `status`, `config`, `jitter`   messages, rows on disk, what operators read
`order_*`, `fleet_order_log`, `fleet_report`, `ramp_allocation`, `shard_results`, `sharded_checks`   leader tasks
"""
