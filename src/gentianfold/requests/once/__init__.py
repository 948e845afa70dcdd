"""At most one run for each customer and idempotency key, over all VMs."""
