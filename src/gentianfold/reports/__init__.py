"""Reports that measure the decision layers in simulated time."""
