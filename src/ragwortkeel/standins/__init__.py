"""Stand-ins for the systems around the fleet, for tests, demo and benchmarks."""
