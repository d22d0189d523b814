"""Members' health: derives verdicts on members from evidence. All modules but `service` are free of I/O.

`model`           states, causes, policies and the verdict, with the precedence of evidence
`events`          input and output of the registry
`check_state`     the state of one check of one member
`check_schedule`  the interval and priority of a check, and which director runs it
`weight_ramp`     slow start: how the weight of a member rises after it returns to service
`member_health`   the health state of one member, and its verdict before the tier's ejection limit
`member_timers`   when the passage of time next changes a verdict
`tier`            members of one kind and zone: the limit on ejection, and panic
`registry`        all members and tiers; dispatches events
`service`         passes evidence to the registry and changed verdicts to the engine
`member_table`, `log_lines`   output for operators
`spare_capacity`  the spare capacity of this director
`own_status`      the status that this director reports to a load balancer in front of it

The check protocols are in `protocol/` (`agent_check`, `http_check`, `grpc_health_client`, `proxy`); `net/checks.py`
runs the checks.
"""
