"""The process beside each upstream: the only way to it, and the memory of its runs."""
