"""Links between the VMs, membership, and the spread of configuration."""
