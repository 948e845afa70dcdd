"""Small in-memory platform and upstreams for tests, benchmarks and the demo."""
