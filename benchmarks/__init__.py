"""Benchmarks that print figures and check no bounds."""
