"""Stand-ins for external systems, for tests, demo and benchmarks."""
