"""The routing decisions: events in, actions out (both in rookbend.interface). `Router` is the entry point.

State: request_state, server_stats, membership, attempt_tracking, cached_copies, purge_log, timers.
Request path: request_lifecycle, request_collapsing, read_sending, write_sending, fill_queue.
Policies: admission, endpoint_selection, source_selection, origin_protection, slow_start, server_load,
fill_concurrency, fill_rate, fill_lateness, outlier_detection, silence_detection, failure_attribution,
retry_policy, transfer_estimates, membership_updates, rendezvous_hash.
"""

from rookbend.routing.router import Router as Router
