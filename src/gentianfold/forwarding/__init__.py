"""Receives requests from callers and forwards them to upstreams."""
