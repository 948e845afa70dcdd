"""A small local fleet in one process: VMs, stand-in platform and upstreams."""
