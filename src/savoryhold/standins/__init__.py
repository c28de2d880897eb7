"""Stand-ins of the platform and of targets, for the demo and tests."""
