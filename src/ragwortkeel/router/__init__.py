"""The router daemon, which serves callers through the sidecars of upstreams."""
