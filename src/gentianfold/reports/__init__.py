"""Reports that measure the decisions under load and faults."""
