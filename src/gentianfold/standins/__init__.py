"""Stand-ins that speak the platform's published protocol, for tests and the demo.

They write the wire's names with the adapter's own encoders.
"""
