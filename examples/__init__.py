"""Examples that run."""
