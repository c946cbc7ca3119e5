"""Prepaid budgets without I/O: ledgers, slices, seals and receipts."""
