"""A randomized soak: real ingress processes under faults, checked from outside."""
