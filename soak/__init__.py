"""A fault soak of the gateway role: real processes, faults from outside."""
