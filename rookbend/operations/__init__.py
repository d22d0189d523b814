"""Running day by day, pure: what operators ask of a running director and what two of its processes agree on.

`metrics_text`       the counters and gauges of the operators' endpoint, in the operators' format
`exclusions`         members excluded by an operator, and what of the membership that leaves
`reload_validation`  settings that change: whether a file is complete, and what of it takes effect
`handover`           two processes of one director: which takes connections, which ends, and each one's quota
`persisted_state`    the file that one process leaves for the next
"""
