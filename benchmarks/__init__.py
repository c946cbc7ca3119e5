"""Benchmarks: models, schemes and slopes; figures, never verdicts."""
