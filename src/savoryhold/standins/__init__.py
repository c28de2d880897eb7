"""Stand-ins for the platform and the targets, for the demo and tests."""
