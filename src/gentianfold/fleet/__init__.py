"""Coordination of VMs: one of them, the broker, assigns slots for the whole fleet.

All state is soft state, held in memory only. A VM that can't reach a broker assigns
slots itself without delay; a new broker rebuilds its table of slots in use from the
heartbeats of the other VMs.
"""
