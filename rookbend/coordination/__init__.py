"""Events, actions and rate-limited sending that a director's state machines (recovery, leases) share.

`events`        input events that the driver of every state machine feeds
`actions`       output actions that the driver of every state machine carries out
`action_queue`  collects the actions of one step and rate-limits datagrams
"""
