"""The sidecar: the only client of its upstream, with a journal of the runs there."""
