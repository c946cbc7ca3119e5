"""A deterministic model of upstreams, callers and routers under load."""
