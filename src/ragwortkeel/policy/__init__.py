"""Load-management decisions: pure functions and small state with an injected clock."""
