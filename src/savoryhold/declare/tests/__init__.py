"""Tests of `savoryhold.declare`."""
