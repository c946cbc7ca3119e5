"""The sidecar daemon: the only way to its upstream."""
