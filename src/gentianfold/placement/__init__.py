"""Decides which upstream runs a request, which request waits and which is refused.

The package reads no clock and no socket: times are arguments, so that reports and tests
run simulated loads against the code that a VM runs.
"""
