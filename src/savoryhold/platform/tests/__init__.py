"""Tests of `savoryhold.platform`."""
