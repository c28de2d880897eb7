"""Stand-ins for the platform and targets, for the demo and tests."""
