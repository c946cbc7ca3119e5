"""The router daemon: callers in front, sidecars behind."""
