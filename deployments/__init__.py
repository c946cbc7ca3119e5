"""Deployments on loopback for the demo, the benchmarks and the tests."""
