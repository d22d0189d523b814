"""Members' health: evidence (`model`), one member's state (`member`), all members and their tiers (`board`),
the way of verdicts to the engine (`desk`), and our own weight (`headroom`). Checks are spoken in `protocol/`
(`agent`, `http_check`, `grpc_health`, `proxy`) and made by `net/checks.py`."""
