"""Runs of requests: intents, journals, answers and their replay, without I/O."""
