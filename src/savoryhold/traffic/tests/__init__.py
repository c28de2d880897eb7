"""Tests of the traffic package."""
