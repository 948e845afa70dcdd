"""Small in-memory stand-ins for the platform and for upstreams."""
