"""The ingress: HTTP routes to upstreams, paid from customers' prepaid budgets.

Host and path prefix choose the route, the API key chooses the customer.  Method, path,
query and body reach the upstream unchanged.  An ingress process calls upstreams
directly, without a sidecar beside them.

The modules that make decisions (`routing`, `directory`, `placement`, `waiting`,
`prefixes` and `budget.allowance`) use no clock and no socket, so they can be embedded
alone.
"""
