"""Decides which upstream runs a request, which request waits and which is refused.

Nothing here reads a clock or a socket: times are arguments, so that reports and tests
replay loads against the same code that a VM runs.
"""
