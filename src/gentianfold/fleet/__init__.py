"""How VMs act together: one of them, the broker, places the requests of all.

All state is soft. A VM that can't reach a broker decides by itself at once; a broker
that starts learns the slots in use from the heartbeats of the other VMs.
"""
