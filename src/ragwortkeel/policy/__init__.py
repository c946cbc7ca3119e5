"""Decisions under load: pure functions and small state, the clock passed in."""
