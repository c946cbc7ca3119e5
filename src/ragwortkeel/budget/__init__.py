"""Prepaid budgets: ledger, slices, seals, receipts, without I/O."""
