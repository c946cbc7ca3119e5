"""The ingress: raw HTTP routes to upstreams, drawn on customers' prepaid budgets.

A route is chosen by host and path prefix, a customer by its API key; method,
path, query and body go to the upstream unchanged.  An ingress process calls
upstreams directly, without a sidecar beside them.

The modules that decide (`routing`, `directory`, `placement`, `waiting`,
`prefixes`, `allowance`) read no clock and no socket and can be embedded alone.
"""
