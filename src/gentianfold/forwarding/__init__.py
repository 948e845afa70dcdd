"""Takes requests from callers, forwards them to upstreams and returns the answers."""
