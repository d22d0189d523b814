"""What the state machines of one director share (recovery, leases): events, actions and bounded sending.

`events`        what the driver of any machine feeds
`actions`       what the driver of any machine carries out
`action_queue`  collects the actions of one step and keeps datagrams within their budget
"""
