"""A router fleet for prepaid token budgets, and the parts it is made of."""
