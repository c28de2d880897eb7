"""A randomized soak test: real node processes under injected faults."""
