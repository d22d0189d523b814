"""Members' health: evidence in, verdicts out. Pure, but for `service`, which stands between registry and engine.

`model`           states, causes, policies and the verdict, with the order in which evidence counts
`events`          what the registry is fed and what it answers with
`check_state`     what one check has found of one member
`check_schedule`  how soon a check is made again, and by whom
`weight_ramp`     slow start: how the weight of a member rises again after it was out
`member_health`   all that is known of one member, and its verdict but for the tier's limit
`member_timers`   when time alone next changes a verdict
`tier`            members of one kind and zone: the limit on ejection, and panic
`registry`        all members; dispatches events
`service`         passes evidence to the registry, and changed verdicts to the engine
`member_table`, `log_lines`   what operators read
`spare_capacity`  how much of this director is left
`own_status`      what this director reports of itself to a balancer in front

Checks are spoken in `protocol/` (`agent_check`, `http_check`, `grpc_health_client`, `proxy`) and made by
`net/checks.py`.
"""
