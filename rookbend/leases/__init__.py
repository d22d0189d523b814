"""One leader at a time for work on behalf of the fleet: leases granted by a majority of voters, and fencing tokens.

The state machines do no I/O; `rookbend.net.leases` drives them. docs/OWNERSHIP.md lists the guard of each leader task.

`machine`, `parts`, `message_dispatcher`   the state machine of one director, its parts, and the dispatch of messages
`events`, `actions`   inputs and outputs of the state machine
`voter`, `lease`, `lease_table`, `voter_configuration`, `fencing`, `tokens`   the protocol's rules, without messages
`voting`, `election`, `renewal`, `handover`, `rebalancing`, `leader_discovery`, `fenced_requests`   the lease protocol
`messenger`, `awaited_rows`, `state`, `status`, `config`, `jitter`   messages, durable rows, status for operators
`order_*`, `fleet_order_log`, `fleet_report`, `ramp_allocation`, `shard_results`, `sharded_checks`   leader tasks
"""
