"""Operation of a running director, without I/O: operators' commands, reloads and upgrades.

`metrics_text`       the text format of the counters and gauges of the operators' endpoint
`exclusions`         members excluded by an operator, and the membership with the exclusions applied
`reload_validation`  reload of settings: whether a file is complete, and which changes take effect
`handover`           an upgrade with two processes of one director: which one accepts connections, and each one's quota
`persisted_state`    the file that a process leaves for its successor
"""
